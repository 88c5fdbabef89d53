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

// TestDeadlineWithoutOwner checks that a request whose owners never answer is
// refused at its deadline, as not run, and not only at its class's longest
// wait.
func TestDeadlineWithoutOwner(t *testing.T) {
	// The deadline comes before the owners are declared dead.
	const deadline, slack = time.Second, 500 * time.Millisecond
	document := claimDocument()
	document.Classes[0].LongestWaitMs = 60000
	sums, sections, err := sectioner.Split(document)
	assert.NilError(t, err)
	now := time.Unix(1000, 0)
	self := definer.Member{VM: "self", Incarnation: 1}
	var members []messenger.MemberChange
	for index := range 20 {
		member := definer.Member{VM: definer.VM(fmt.Sprintf("silent-%d", index)), Incarnation: 1}
		members = append(members, messenger.MemberChange{Member: member, DataCentre: "dc", Address: "nowhere", State: messenger.Alive, Sequence: 1})
	}
	decider := New(self, "dc", "here")
	actions := decider.Start(now)
	actions = append(actions, decider.Handle(now, ConfigurationFound{Head: ConfigurationHead{Version: 1, Sections: sums}, Contents: sections})...)
	actions = append(actions, decider.Handle(now, MessageReceived{From: members[0].Member, DataCentre: "dc", Message: &messenger.HeartbeatAnswer{Changes: members}})...)
	assert.Equal(t, len(decider.core.roster.members), len(members)+1)
	actions = append(actions, decider.Handle(now, RequestArrived{
		Request: "request", Organisation: "org", Deadline: deadline,
		Properties: matcher.Properties{Organisation: "org", Service: "stock"},
	})...)
	timers := make(map[TimerKey]time.Time)
	arrival := now
	for step := 0; now.Sub(arrival) < deadline+slack; step++ {
		for _, action := range actions {
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
		actions = decider.Handle(now, TimerFired{Key: next})
	}
	t.Fatalf("no answer %v after the deadline", slack)
}
