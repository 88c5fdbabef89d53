// Package predictor predicts what a model engine does with a request: when its first event is due,
// and how long the pauses of the streams that run there become. It learns the figures of a service
// from the first events and the streams that a node observes, and how each engine deviates from
// them from the observations of all nodes. It reads no clock: the callers pass all times.
package predictor
