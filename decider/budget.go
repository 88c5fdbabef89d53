package decider

const (
	// initialRetries is how many retries are allowed before any success.
	initialRetries = 10
	// maxSavedRetries bounds how many retries accumulate.
	maxSavedRetries = 100
)

// budget limits retries to a share of the successes.
type budget struct {
	// left is between 0 and maxSavedRetries.
	left float64
}

func newBudget() *budget { return &budget{left: initialRetries} }

// earn adds the share of a retry that one success allows.
func (budget *budget) earn(share float64) { budget.left = min(budget.left+share, maxSavedRetries) }

// spend takes one retry and reports whether one was left.
func (budget *budget) spend() bool {
	if budget.left < 1 {
		return false
	}
	budget.left--
	return true
}
