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
	// reportInterval is the time between two usage reports to a senior; the counts of a
	// window pass two nodes before they are settled.
	reportInterval = 400 * time.Millisecond
	// stepInterval is the time between two steps of the usage duty.
	stepInterval = 200 * time.Millisecond
	// scalingInterval is the time between two steps of the scaling duty.
	scalingInterval = 500 * time.Millisecond
	// discoveryDelay is how long after its start a process takes on no duty.
	discoveryDelay = 2 * time.Second
	// callTimeout bounds a call to the store or the platform.
	callTimeout = 1500 * time.Millisecond
	// yieldDuration is how long a node that has yielded is passed over.
	yieldDuration = 10 * time.Second
	// defaultLease applies if the platform's settings name no lease.
	defaultLease = 3 * time.Second
	// defaultUsageWindow is the width of the counted windows if no usage is reported.
	defaultUsageWindow = 5 * time.Second
)

// The names of the duties.
const (
	// UsageDuty is the duty to report usage.
	UsageDuty = "usage"
	// ScalingDuty is the duty to order engines.
	ScalingDuty = "scaling"
)

// Settings configure the duties of a Steward.
type Settings struct {
	// Lease is how long a claim on a duty is valid.
	Lease time.Duration
	// UsageWindow is the width of a usage window; 0 disables usage reports.
	UsageWindow time.Duration
	// UsageDeadline is how long after the end of a window its usage has to be reported.
	UsageDeadline time.Duration
	// Scales is set if engines may be ordered; Headroom is the number of engines to provide
	// for each one that the usual load occupies.
	Scales   bool
	Headroom float64
}

// Dependencies are the dependencies of a Steward.
type Dependencies struct {
	Fleet    Fleet
	Clock    Clock
	Sender   Sender
	Store    leaseholder.Store
	Platform Platform
	Services Services
	// Engines lists the engines, Demand measures the load on them.
	Engines Directory
	Demand  Demand
	// Log writes a numbered event; it must not block.
	Log func(number int, pairs ...any)
	// StatusChanged is called with each change of this node's status of the duties; it must not
	// block. It may be nil.
	StatusChanged func(status Status)
}

// Steward performs the duties of one process. It is safe for concurrent use.
type Steward struct {
	self     definer.Member
	settings Settings
	parts    Dependencies
	tallier  *tallier.Tallier
	usage    *usageDuty
	scaling  *scalingDuty
	statuses *statusStore
	// done is closed by Run.
	done chan struct{}

	// mutex guards yieldedAt; no other lock is taken under it.
	mutex sync.Mutex
	// yieldedAt holds when each node that leaves duties to others announced it.
	yieldedAt map[definer.VM]time.Time
}

// New returns a Steward for the process self.
func New(self definer.Member, settings Settings, parts Dependencies) *Steward {
	if settings.Lease <= 0 {
		settings.Lease = defaultLease
	}
	window := settings.UsageWindow
	if window <= 0 {
		window = defaultUsageWindow
	}
	steward := &Steward{
		self:      self,
		settings:  settings,
		parts:     parts,
		tallier:   tallier.New(self, window),
		statuses:  &statusStore{changed: parts.StatusChanged},
		done:      make(chan struct{}),
		yieldedAt: make(map[definer.VM]time.Time),
	}
	if parts.StatusChanged == nil {
		steward.statuses.changed = func(Status) {}
	}
	steward.usage = newUsageDuty(steward)
	steward.scaling = newScalingDuty(steward)
	return steward
}

// CountRequest counts a request that has begun at an upstream.
func (steward *Steward) CountRequest(organisation definer.OrganisationName) {
	if organisation != "" {
		steward.tallier.Count(steward.parts.Clock.Now(), organisation)
	}
}

// Receive processes a message from a peer.
func (steward *Steward) Receive(from definer.Member, message messenger.Message) {
	steward.tallier.RecordPeer(from)
	switch message := message.(type) {
	case *messenger.UsageReport:
		steward.tallier.Merge(steward.parts.Clock.Now(), from, message)
	case *messenger.DutyNotice:
		steward.mutex.Lock()
		if message.Yields {
			steward.yieldedAt[from.VM] = time.Now()
		} else {
			delete(steward.yieldedAt, from.VM)
		}
		steward.mutex.Unlock()
		steward.applyNotice(from.VM, message)
	}
}

// applyNotice updates the status of the usage duty from another node's notice.
func (steward *Steward) applyNotice(from definer.VM, notice *messenger.DutyNotice) {
	if notice.Duty != UsageDuty {
		return
	}
	reported := tallier.Window(notice.Window)
	steward.usage.markReported(reported)
	if notice.Token == 0 {
		return
	}
	steward.statuses.update(func(status *Status) {
		status.Usage.DutyStatus = DutyStatus{Holder: from, Token: notice.Token}
		status.Usage.ReportedUntil = max(status.Usage.ReportedUntil, reported)
	})
}

// hasYielded reports whether a node leaves duties to others.
func (steward *Steward) hasYielded(vm definer.VM) bool {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	since, known := steward.yieldedAt[vm]
	if known && time.Since(since) > yieldDuration {
		delete(steward.yieldedAt, vm)
		return false
	}
	return known
}

// Run performs the duties until the context ends, and then hands them over to other nodes.
func (steward *Steward) Run(ctx context.Context) {
	defer close(steward.done)
	var loops conc.WaitGroup
	loops.Go(func() { repeat(ctx, reportInterval, steward.sendCounts) })
	if steward.settings.UsageWindow > 0 {
		loops.Go(func() { steward.runDuty(ctx, stepInterval, steward.usage.step) })
	}
	if steward.settings.Scales {
		loops.Go(func() { steward.runDuty(ctx, scalingInterval, steward.scaling.step) })
	}
	loops.Wait()
	steward.handOver(context.WithoutCancel(ctx))
}

// runDuty calls a duty's step periodically, once this node has had time to discover the
// others: before that each node would consider itself the first in precedence.
func (steward *Steward) runDuty(ctx context.Context, interval time.Duration, step func(ctx context.Context)) {
	_ = timer.Sleep(ctx, discoveryDelay) // The error can be ignored: the loop ends with the context too.
	repeat(ctx, interval, step)
}

// Done is closed once Run has ended.
func (steward *Steward) Done() <-chan struct{} { return steward.done }

// repeat calls step at the interval until the context ends.
func repeat(ctx context.Context, interval time.Duration, step func(ctx context.Context)) {
	for timer.Sleep(ctx, interval) == nil {
		step(ctx)
	}
}

// sendCounts sends the counts of this node and of those that report to it to its seniors.
func (steward *Steward) sendCounts(ctx context.Context) {
	precedence := steward.parts.Fleet.Precedence(time.Now(), steward.hasYielded)
	for _, senior := range precedence.Seniors {
		steward.parts.Sender.Send(ctx, senior.Address, steward.tallier.NextReport(steward.parts.Clock.Now(), senior.VM))
	}
}

// notifyAudience sends a notice to the nodes that may take on duties.
func (steward *Steward) notifyAudience(ctx context.Context, notice *messenger.DutyNotice) {
	precedence := steward.parts.Fleet.Precedence(time.Now(), steward.hasYielded)
	for _, peer := range precedence.Audience {
		steward.parts.Sender.Send(ctx, peer.Address, notice)
	}
}

// handOver announces that this node leaves the duties to others.
func (steward *Steward) handOver(ctx context.Context) {
	steward.notifyAudience(ctx, &messenger.DutyNotice{Duty: UsageDuty, Window: uint64(steward.usage.reportedUntil()), Yields: true})
}
