package decider

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/matcher"
	"limpetcleat/scheduler"
)

// core is the state that the components of a node share. A component writes
// only the fields that it owns.
type core struct {
	self       definer.Member
	dataCentre definer.DataCentre
	// address is where peers reach this node.
	address string
	// bootstrapVMs are the VMs known before the platform's list can be read.
	bootstrapVMs []ListedVM
	// policy is the scheduling policy of all shards.
	policy scheduler.Policy
	// now is the time of the current event; it never goes back.
	now time.Time
	// actions holds the actions of the current event, in order.
	actions []Action
	// pending holds events that follow from the current one, in order.
	pending []Event
	// configuration is nil until the first is applied; the configurer owns it.
	configuration *definer.Configuration
	// matcher holds the compiled rules of configuration and is nil with it.
	matcher *matcher.Matcher
	// roster holds the live members; it is a component and owns itself.
	roster *roster
	// watching reports whether this node watches the platform, and so sees its
	// list of VMs and its configuration; the configurer owns it.
	watching bool
	// draining is set once a planned stop has begun; the drainer owns it.
	draining bool
	// seed makes the node's jitter and keys differ from those of other nodes.
	seed uint64
	// openClaims counts the claims whose end is not stored yet; the claims
	// component owns it.
	openClaims int
	// openRequests counts the requests without a final answer; the requester
	// owns it.
	openRequests int
	// calls counts the calls to the platform, which are numbered by it.
	calls uint64
}

// emit adds an action.
func (core *core) emit(action Action) { core.actions = append(core.actions, action) }

// enqueue adds an event that is handled after the current one.
func (core *core) enqueue(event Event) { core.pending = append(core.pending, event) }

// log adds a numbered event with its key-value pairs to the log.
func (core *core) log(number int, pairs ...any) { core.emit(LogEvent{Number: number, Pairs: pairs}) }

// setTimer sets a timer that fires once, after the wait.
func (core *core) setTimer(component, id string, wait time.Duration) {
	core.emit(SetTimer{Key: TimerKey{Component: component, ID: id}, At: core.now.Add(wait)})
}

// clearTimer cancels a timer.
func (core *core) clearTimer(component, id string) {
	core.emit(ClearTimer{Key: TimerKey{Component: component, ID: id}})
}

// callPlatform adds a call to the platform and returns its number.
func (core *core) callPlatform(call CallPlatform) uint64 {
	core.calls++
	call.Call = core.calls
	core.emit(call)
	return call.Call
}

// configurationChanged reports that another configuration is in force.
type configurationChanged struct{}

// membersChanged reports that a member joined, went or changed.
type membersChanged struct {
	// gone lists the members that failed, left or were replaced.
	gone []definer.Member
}

// drainBegan reports that a planned stop has begun.
type drainBegan struct{}

// drainEnded reports that the stopping node has no open request or claim left.
type drainEnded struct{}

func (drainBegan) isEvent()           {}
func (drainEnded) isEvent()           {}
func (configurationChanged) isEvent() {}
func (membersChanged) isEvent()       {}
