package decider

const (
	// startingRetries is what may be spent before any success.
	startingRetries = 10
	// maxRetries bounds what can be saved up.
	maxRetries = 100
)

// budget bounds retries to a share of successes.
type budget struct {
	// left is between 0 and maxRetries.
	left float64
}

func newBudget() *budget { return &budget{left: startingRetries} }

// earn adds the share of one success.
func (budget *budget) earn(share float64) { budget.left = min(budget.left+share, maxRetries) }

// spend takes one retry and tells whether there was one.
func (budget *budget) spend() bool {
	if budget.left < 1 {
		return false
	}
	budget.left--
	return true
}
