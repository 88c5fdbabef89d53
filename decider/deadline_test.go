package decider

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/matcher"
	"limpetcleat/messenger"
	"limpetcleat/sectioner"
)

// TestDeadlineWithoutOwner asks owners that never answer: the request must end
// at its deadline, as not run, and not at its class's longest wait.
func TestDeadlineWithoutOwner(t *testing.T) {
	const deadline, slack = 2 * time.Second, 500 * time.Millisecond
	document := claimDocument()
	document.Classes[0].LongestWaitMs = 60000
	sums, sections, err := sectioner.Cut(document)
	assert.NilError(t, err)
	now := time.Unix(1000, 0)
	self := definer.Member{VM: "self", Incarnation: 1}
	var vms []ListedVM
	for index := range 20 {
		vms = append(vms, ListedVM{Name: fmt.Sprintf("silent-%d", index), DataCentre: "dc", Address: "nowhere"})
	}
	decider := New(self, "dc", "here", WithVMs(vms))
	begun := decider.Start(now)
	begun = append(begun, decider.Handle(now, ConfigurationFound{Head: Head{Version: 1, Sections: sums}, Contents: sections})...)
	begun = append(begun, decider.Handle(now, RequestArrived{
		Request: "request", Organisation: "org", Deadline: deadline,
		Properties: matcher.Properties{Organisation: "org", Service: "stock"},
	})...)
	timers := make(map[TimerKey]time.Time)
	began := now
	for step := 0; now.Sub(began) < deadline+slack; step++ {
		for _, action := range begun {
			switch action := action.(type) {
			case SetTimer:
				timers[action.Key] = action.At
			case ClearTimer:
				delete(timers, action.Key)
			case RefuseRequest:
				assert.Equal(t, action.Refusal.Reason, messenger.DeadlineMissed)
				assert.Equal(t, action.Refusal.Outcome, definer.NotRun)
				return
			}
		}
		var next TimerKey
		for key, at := range timers {
			if next == (TimerKey{}) || at.Before(timers[next]) {
				next = key
			}
		}
		now = timers[next]
		delete(timers, next)
		begun = decider.Handle(now, TimerFired{Key: next})
	}
	t.Fatalf("no answer %v after the deadline", slack)
}
