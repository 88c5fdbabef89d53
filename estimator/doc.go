// Package estimator predicts the number of output tokens of requests from the
// lengths of earlier answers of the same class and model. It does no input or
// output, starts no goroutines and reads no clock: callers pass the time.
package estimator
