package tester

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
)

// Ledger judges the replies to requests that may not be repeated against their runs. It is safe for concurrent use.
type Ledger struct {
	// mutex guards the fields below.
	mutex    sync.Mutex
	accounts map[string]*account
	served   int
	refused  int
	failed   int
	strange  []string
}

// account is what became of the requests with one id.
type account struct {
	// runs counts their runs, sent those that a caller has sent, and refused those that were refused as not run.
	runs    int
	sent    int
	refused int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: make(map[string]*account)} }

// account returns the account of an id. The mutex is held.
func (ledger *Ledger) account(id string) *account {
	if ledger.accounts[id] == nil {
		ledger.accounts[id] = &account{}
	}
	return ledger.accounts[id]
}

// Run records a run of a request and returns the text that belongs to its answer alone.
func (ledger *Ledger) Run(id string) string {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.account(id).runs++
	return answerTo(id)
}

// Record records the reply that the caller of a request has got. It reports whether the request was refused as not run.
func (ledger *Ledger) Record(id string, reply Reply) bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	account := ledger.account(id)
	account.sent++
	switch reply.Status {
	case http.StatusOK:
		ledger.served++
		if reply.Text != answerTo(id) {
			ledger.strange = append(ledger.strange, fmt.Sprintf("%s was answered %q", id, reply.Text))
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		ledger.refused++
		account.refused++
		return true
	default:
		ledger.failed++
	}
	return false
}

// answerTo returns the text of the answer to requests with the id.
func answerTo(id string) string { return "answer to " + id }

// Broken returns what broke: requests that were refused as not run and ran, that ran more than once, and that were
// answered with what is not their own.
func (ledger *Ledger) Broken() []string {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	broken := slices.Clone(ledger.strange)
	for id, account := range ledger.accounts {
		if account.runs > account.sent-account.refused {
			broken = append(broken, fmt.Sprintf("%s was sent %d times, refused %d times and ran %d times", id, account.sent, account.refused, account.runs))
		}
	}
	return broken
}

// Served returns the number of requests that were answered.
func (ledger *Ledger) Served() int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.served
}

// String returns how many requests were served, refused and failed.
func (ledger *Ledger) String() string {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return fmt.Sprintf("%d served, %d refused, %d failed", ledger.served, ledger.refused, ledger.failed)
}
