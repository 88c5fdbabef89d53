// Package estimator learns how long answers are, for each class and model, and
// foretells the length of new and running ones. It is free of input, output,
// clocks and goroutines.
package estimator
