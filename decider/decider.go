package decider

import (
	"cmp"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/scheduler"
)

// Decider is the core of one node. It is not safe for concurrent use: the
// shell hands it one event at a time.
type Decider struct {
	core *core
	// parts are in the order in which they see each event.
	parts []part
}

// part is one role of a node. It sees every event and ignores what is not its
// own. A part never calls another: it reads the core and notifies.
type part interface {
	// priority orders the parts; a lower one sees an event first.
	priority() int
	// handle takes in one event and adds actions to the core.
	handle(event Event)
}

// The priorities of the parts: what an event changes for all comes first.
const (
	configurerPriority = 100
	rosterPriority     = 200
	claimsPriority     = 250
	ownerPriority      = 300
	requesterPriority  = 400
	drainerPriority    = 500
)

// Option changes one setting of a Decider.
type Option func(*core)

// WithVMs sets the VMs known before the platform's list can be read.
func WithVMs(vms []ListedVM) Option {
	return func(core *core) { core.seeds = vms }
}

// WithSeed sets the seed of everything that is drawn at random.
func WithSeed(seed uint64) Option {
	return func(core *core) { core.seed = seed }
}

// New returns the core of one node. The address is where its peers reach it.
func New(self definer.Member, dataCentre definer.DataCentre, address string, options ...Option) *Decider {
	core := &core{self: self, dataCentre: dataCentre, address: address, policy: scheduler.ServiceLevels}
	for _, option := range options {
		option(core)
	}
	decider := &Decider{core: core, parts: defaultParts(core)}
	slices.SortStableFunc(decider.parts, func(a, b part) int { return cmp.Compare(a.priority(), b.priority()) })
	return decider
}

// defaultParts returns every part that a node has.
func defaultParts(core *core) []part {
	core.roster = newRoster(core)
	return []part{
		newConfigurer(core),
		core.roster,
		newClaims(core),
		newClaimWriter(core),
		newOwner(core),
		newRequester(core),
		newDrainer(core),
	}
}

// Handle takes in one event at a time that never goes back and returns the
// actions to carry out, in order.
func (decider *Decider) Handle(now time.Time, event Event) []Action {
	core := decider.core
	core.now = now
	core.pending = append(core.pending, event)
	for len(core.pending) > 0 {
		next := core.pending[0]
		core.pending = core.pending[1:]
		for _, part := range decider.parts {
			part.handle(next)
		}
	}
	actions := core.actions
	core.actions = nil
	return actions
}

// Configuration returns the configuration in force, or nil before the first.
func (decider *Decider) Configuration() *definer.Configuration { return decider.core.configuration }

// Self returns the member that this node is.
func (decider *Decider) Self() definer.Member { return decider.core.self }

// started is the first event of a node's life.
type started struct{}

func (started) isEvent() {}

// Start returns the actions that begin a node's life.
func (decider *Decider) Start(now time.Time) []Action { return decider.Handle(now, started{}) }

// send sends a message to a member, or to this node itself as a next event.
func (core *core) send(to definer.VM, message messenger.Message) {
	if to == core.self.VM {
		core.notify(MessageReceived{From: core.self, DataCentre: core.dataCentre, Message: message})
		return
	}
	address, ok := core.roster.address(to)
	if !ok {
		return
	}
	core.act(SendMessage{To: to, Address: address, Message: message})
}
