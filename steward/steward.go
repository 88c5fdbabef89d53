package steward

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat/definer"
	"limpetcleat/leaseholder"
	"limpetcleat/messenger"
	"limpetcleat/tallier"
	"limpetcleat/timer"
)

const (
	// tellInterval is the time between two reports of usage to a senior; a window's counts
	// cross two nodes until they are settled.
	tellInterval = 400 * time.Millisecond
	// stepInterval is the time between two looks at what there is to do.
	stepInterval = 200 * time.Millisecond
	// scaleInterval is the same for engines.
	scaleInterval = 500 * time.Millisecond
	// meetingTime is how long a process that starts leaves duties to others.
	meetingTime = 2 * time.Second
	// callTimeout bounds a call to the store or the platform.
	callTimeout = 1500 * time.Millisecond
	// yieldLife is how long a node that yields is passed over.
	yieldLife = 10 * time.Second
	// defaultLease is that of a platform which names none.
	defaultLease = 3 * time.Second
	// defaultUsageWindow is the width of the windows that are counted where none are told.
	defaultUsageWindow = 5 * time.Second
)

// The names of the duties.
const (
	// UsageDuty is telling usage.
	UsageDuty = "usage"
	// ScalingDuty is ordering engines.
	ScalingDuty = "scaling"
)

// Settings are what a Steward is told of the platform's duties.
type Settings struct {
	// Lease is how long a claim on a duty holds.
	Lease time.Duration
	// UsageWindow is the width of a window of usage; 0 is when none is asked for.
	UsageWindow time.Duration
	// UsageDeadline is how long after its end a window's usage has to be told.
	UsageDeadline time.Duration
	// Scales is set if engines may be ordered; Headroom is how many there are to be for
	// each one that the usual work takes.
	Scales   bool
	Headroom float64
}

// Parts are what a Steward works with.
type Parts struct {
	Fleet    Fleet
	Clock    Clock
	Sender   Sender
	Shelf    leaseholder.Shelf
	Platform Platform
	Services Services
	// Engines lists them, Demand tells what work they have.
	Engines Directory
	Demand  Demand
	// Log takes numbered events; it must not block.
	Log func(number int, pairs ...any)
	// Observe is told of each change of what this node knows of the duties; it must not
	// block. Nil is nobody.
	Observe func(status Status)
}

// Steward fulfils the duties. It is safe for concurrent use.
type Steward struct {
	self     definer.Member
	settings Settings
	parts    Parts
	tallier  *tallier.Tallier
	usage    *usageDuty
	scaling  *scalingDuty
	board    *board
	// done is closed by Run.
	done chan struct{}

	// mutex guards yielding; no other lock is taken under it.
	mutex sync.Mutex
	// yielding holds since when nodes leave duties to others.
	yielding map[definer.VM]time.Time
}

// New returns a Steward of one process.
func New(self definer.Member, settings Settings, parts Parts) *Steward {
	if settings.Lease <= 0 {
		settings.Lease = defaultLease
	}
	window := settings.UsageWindow
	if window <= 0 {
		window = defaultUsageWindow
	}
	steward := &Steward{
		self:     self,
		settings: settings,
		parts:    parts,
		tallier:  tallier.New(self, window),
		board:    &board{observe: parts.Observe},
		done:     make(chan struct{}),
		yielding: make(map[definer.VM]time.Time),
	}
	if parts.Observe == nil {
		steward.board.observe = func(Status) {}
	}
	steward.usage = newUsageDuty(steward)
	steward.scaling = newScalingDuty(steward)
	return steward
}

// Begun counts a request that has begun at an upstream.
func (steward *Steward) Begun(organisation definer.OrganisationName) {
	if organisation != "" {
		steward.tallier.Count(steward.parts.Clock.Now(), organisation)
	}
}

// Receive takes in a message from a peer.
func (steward *Steward) Receive(from definer.Member, message messenger.Message) {
	switch message := message.(type) {
	case *messenger.UsageReport:
		steward.tallier.Take(steward.parts.Clock.Now(), from, message)
	case *messenger.DutyNotice:
		steward.mutex.Lock()
		if message.Yields {
			steward.yielding[from.VM] = time.Now()
		} else {
			delete(steward.yielding, from.VM)
		}
		steward.mutex.Unlock()
		steward.learn(from.VM, message)
	}
}

// learn takes in what has become of a duty at another node.
func (steward *Steward) learn(from definer.VM, notice *messenger.DutyNotice) {
	if notice.Duty != UsageDuty {
		return
	}
	told := tallier.Window(notice.Window)
	steward.usage.hear(told)
	if notice.Token == 0 {
		return
	}
	steward.board.change(func(status *Status) {
		status.Usage.DutyStatus = DutyStatus{Holder: from, Token: notice.Token}
		status.Usage.ToldUntil = max(status.Usage.ToldUntil, told)
	})
}

// yields tells whether a node leaves duties to others.
func (steward *Steward) yields(vm definer.VM) bool {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	since, known := steward.yielding[vm]
	if known && time.Since(since) > yieldLife {
		delete(steward.yielding, vm)
		return false
	}
	return known
}

// Run fulfils the duties until the context ends, and then leaves them to others.
func (steward *Steward) Run(ctx context.Context) {
	defer close(steward.done)
	var loops conc.WaitGroup
	loops.Go(func() { every(ctx, tellInterval, steward.tell) })
	if steward.settings.UsageWindow > 0 {
		loops.Go(func() { steward.fulfil(ctx, stepInterval, steward.usage.step) })
	}
	if steward.settings.Scales {
		loops.Go(func() { steward.fulfil(ctx, scaleInterval, steward.scaling.step) })
	}
	loops.Wait()
	steward.yield(context.WithoutCancel(ctx))
}

// fulfil calls a duty's step again and again, once this node had time to find the others:
// before that each takes itself for the first of all.
func (steward *Steward) fulfil(ctx context.Context, interval time.Duration, step func(ctx context.Context)) {
	_ = timer.Sleep(ctx, meetingTime) // What follows ends with the context too.
	every(ctx, interval, step)
}

// Done is closed once Run has ended.
func (steward *Steward) Done() <-chan struct{} { return steward.done }

// every calls a step again and again until the context ends.
func every(ctx context.Context, interval time.Duration, step func(ctx context.Context)) {
	for timer.Sleep(ctx, interval) == nil {
		step(ctx)
	}
}

// tell tells the seniors what this node and those that report to it counted.
func (steward *Steward) tell(ctx context.Context) {
	precedence := steward.parts.Fleet.Precedence(time.Now(), steward.yields)
	for _, senior := range precedence.Seniors {
		steward.parts.Sender.Send(ctx, senior.Address, steward.tallier.Tell(steward.parts.Clock.Now(), senior.VM))
	}
}

// notify tells those that may take duties on.
func (steward *Steward) notify(ctx context.Context, notice *messenger.DutyNotice) {
	precedence := steward.parts.Fleet.Precedence(time.Now(), steward.yields)
	for _, peer := range precedence.Audience {
		steward.parts.Sender.Send(ctx, peer.Address, notice)
	}
}

// yield leaves the duties to others.
func (steward *Steward) yield(ctx context.Context) {
	steward.notify(ctx, &messenger.DutyNotice{Duty: UsageDuty, Window: uint64(steward.usage.toldUntil()), Yields: true})
}
