package scheduler

import (
	"time"

	"limpetcleat/definer"
)

// Estimator predicts how many tokens a request will produce.
type Estimator interface {
	// ExpectedOutput returns the expected number of output tokens.
	ExpectedOutput(class definer.ClassName, model string) float64
	// ExpectedRemainder returns the expected number of further output tokens of a request
	// that has produced the given number.
	ExpectedRemainder(class definer.ClassName, model string, produced int) float64
	// Learn records the length of one finished answer, in tokens.
	Learn(now time.Time, class definer.ClassName, model string, tokens int)
}

// defaultOutput is the output that fixedEstimator expects of every request, in tokens.
const defaultOutput = 256

// fixedEstimator expects the same output of every request.
type fixedEstimator struct{}

// ExpectedOutput returns defaultOutput.
func (fixedEstimator) ExpectedOutput(definer.ClassName, string) float64 { return defaultOutput }

// ExpectedRemainder returns the difference to defaultOutput, or the number of tokens produced
// once defaultOutput is reached.
func (fixedEstimator) ExpectedRemainder(_ definer.ClassName, _ string, produced int) float64 {
	if produced < defaultOutput {
		return float64(defaultOutput - produced)
	}
	return float64(produced)
}

// Learn does nothing.
func (fixedEstimator) Learn(time.Time, definer.ClassName, string, int) {}
