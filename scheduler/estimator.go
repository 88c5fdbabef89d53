package scheduler

import (
	"time"

	"limpetcleat/definer"
)

// Estimator foretells how many tokens a request will produce.
type Estimator interface {
	// Output returns the expected number of output tokens.
	Output(class definer.ClassName, model string) float64
	// Remainder returns how many more tokens to expect after those produced.
	Remainder(class definer.ClassName, model string, produced int) float64
	// Learn takes in the length of one finished answer.
	Learn(now time.Time, class definer.ClassName, model string, tokens int)
}

// usualOutput is what the fixed estimator expects of every request, in tokens.
const usualOutput = 256

// fixedEstimator expects the same of every request.
type fixedEstimator struct{}

// Output returns the usual output.
func (fixedEstimator) Output(definer.ClassName, string) float64 { return usualOutput }

// Remainder returns what is missing to the usual output, or as much again as
// was produced when that is passed.
func (fixedEstimator) Remainder(_ definer.ClassName, _ string, produced int) float64 {
	if produced < usualOutput {
		return float64(usualOutput - produced)
	}
	return float64(produced)
}

// Learn learns nothing.
func (fixedEstimator) Learn(time.Time, definer.ClassName, string, int) {}
