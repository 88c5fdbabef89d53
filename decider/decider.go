package decider

import (
	"cmp"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/scheduler"
)

// Decider is the state machine of one node. It is not safe for concurrent use:
// the shell, which does the input and output, passes it one event at a time.
type Decider struct {
	core *core
	// components are in the order in which they receive each event.
	components []component
}

// component is one role of a node. It receives every event and ignores those
// that do not concern it. Components never call each other: they read the
// shared core and enqueue events.
type component interface {
	// priority returns the place in the order of components; a lower one
	// receives an event first.
	priority() int
	// handle processes one event and adds actions to the core.
	handle(event Event)
}

// The priorities of the components. Components that change shared state, such
// as the configuration and the list of members, come first.
const (
	configurerPriority = 100
	rosterPriority     = 200
	claimsPriority     = 250
	ownerPriority      = 300
	requesterPriority  = 400
	drainerPriority    = 500
)

// Option sets one option of a Decider.
type Option func(*core)

// WithBootstrapVMs sets the VMs that the node knows before it can read the platform's
// list.
func WithBootstrapVMs(vms []ListedVM) Option {
	return func(core *core) { core.bootstrapVMs = vms }
}

// WithSeed sets the seed of all random numbers.
func WithSeed(seed uint64) Option {
	return func(core *core) { core.seed = seed }
}

// New returns the state machine of one node. Its peers reach the node at the
// address.
func New(self definer.Member, dataCentre definer.DataCentre, address string, options ...Option) *Decider {
	core := &core{self: self, dataCentre: dataCentre, address: address, policy: scheduler.ServiceLevels}
	for _, option := range options {
		option(core)
	}
	decider := &Decider{core: core, components: newComponents(core)}
	slices.SortStableFunc(decider.components, func(a, b component) int { return cmp.Compare(a.priority(), b.priority()) })
	return decider
}

// newComponents returns every component of a node.
func newComponents(core *core) []component {
	core.roster = newRoster(core)
	return []component{
		newConfigurer(core),
		core.roster,
		newClaims(core),
		newClaimWriter(core),
		newOwner(core),
		newRequester(core),
		newDrainer(core),
	}
}

// Handle processes one event and returns the actions to carry out, in order.
// The time must not go back from one call to the next.
func (decider *Decider) Handle(now time.Time, event Event) []Action {
	core := decider.core
	core.now = now
	core.pending = append(core.pending, event)
	for len(core.pending) > 0 {
		next := core.pending[0]
		core.pending = core.pending[1:]
		for _, component := range decider.components {
			component.handle(next)
		}
	}
	actions := core.actions
	core.actions = nil
	return actions
}

// Configuration returns the configuration in force, or nil while there is none.
func (decider *Decider) Configuration() *definer.Configuration { return decider.core.configuration }

// Self returns this node as a member.
func (decider *Decider) Self() definer.Member { return decider.core.self }

// started is the first event that a node handles.
type started struct{}

func (started) isEvent() {}

// Start returns the actions that start the node. It is called once, before
// Handle.
func (decider *Decider) Start(now time.Time) []Action { return decider.Handle(now, started{}) }

// send sends a message to a member. A message to this node itself becomes the
// next event, and one to a member without a known address is dropped.
func (core *core) send(to definer.VM, message messenger.Message) {
	if to == core.self.VM {
		core.enqueue(MessageReceived{From: core.self, DataCentre: core.dataCentre, Message: message})
		return
	}
	address, ok := core.roster.address(to)
	if !ok {
		return
	}
	core.emit(SendMessage{To: to, Address: address, Message: message})
}
