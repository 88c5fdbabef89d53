package decider

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/matcher"
	"limpetcleat/scheduler"
)

// core is what the parts of a node share. A part writes only what it owns.
type core struct {
	self       definer.Member
	dataCentre definer.DataCentre
	// address is where peers reach this node.
	address string
	// seeds are the VMs known before the platform's list can be read.
	seeds []ListedVM
	// policy is that of every scheduler.
	policy scheduler.Policy
	// now is the time of the event in hand; it never goes back.
	now time.Time
	// actions are those of the event in hand, in order.
	actions []Action
	// pending holds events that follow from the one in hand, in order.
	pending []Event
	// configuration is nil before the first; the configurer owns it.
	configuration *definer.Configuration
	// matcher belongs to configuration and is nil with it.
	matcher *matcher.Matcher
	// roster tells which members live; it owns itself.
	roster *roster
	// holding says that this node sees the platform's list and configuration;
	// the configurer owns it.
	holding bool
	// draining is set once a planned stop began; the drainer owns it.
	draining bool
	// seed makes the node's jitter and keys differ from those of others.
	seed uint64
	// claims counts the claims whose end is not stored; the claims part owns it.
	claims int
	// open counts the requests that have no final answer; the requester owns it.
	open int
	// calls counts the calls to the platform, to number them.
	calls uint64
}

// act adds an action.
func (core *core) act(action Action) { core.actions = append(core.actions, action) }

// notify adds an event that follows from the one in hand.
func (core *core) notify(event Event) { core.pending = append(core.pending, event) }

// log adds a numbered event to the log.
func (core *core) log(number int, pairs ...any) { core.act(LogEvent{Number: number, Pairs: pairs}) }

// after sets a timer that fires once.
func (core *core) after(part, id string, wait time.Duration) {
	core.act(SetTimer{Key: TimerKey{Part: part, ID: id}, At: core.now.Add(wait)})
}

// clear takes a timer back.
func (core *core) clear(part, id string) { core.act(ClearTimer{Key: TimerKey{Part: part, ID: id}}) }

// call adds a call to the platform and returns its number.
func (core *core) call(call CallPlatform) uint64 {
	core.calls++
	call.Call = core.calls
	core.act(call)
	return call.Call
}

// configurationChanged tells the parts that another configuration is in force.
type configurationChanged struct{}

// membersChanged tells the parts that a member came, went or changed.
type membersChanged struct {
	// gone lists members that failed, left or were replaced.
	gone []definer.Member
}

// drainBegan tells the parts that a planned stop began.
type drainBegan struct{}

// drainEnded tells the parts that the node has no open request left.
type drainEnded struct{}

func (drainBegan) isEvent()           {}
func (drainEnded) isEvent()           {}
func (configurationChanged) isEvent() {}
func (membersChanged) isEvent()       {}
