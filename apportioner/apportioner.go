package apportioner

import (
	"math"
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/logger"
)

const (
	// timeConstant is the time constant of the sums of work: they fall to 1/e in this time. A
	// steady rate of one second of work per second has a sum of timeConstant.
	timeConstant = time.Second
	// shortAbove and enoughBelow are the utilisations at which capacity becomes short and stops
	// being short. They differ so that noise in the sums does not change the state repeatedly.
	shortAbove  = 0.85
	enoughBelow = 0.75
	// allocatedShare is the part of the capacity that is divided. The rest keeps the requests
	// within their share from waiting for each other; requests beyond their share use it.
	allocatedShare = shortAbove
	// detailAbove is the utilisation from which on organisations are reported individually, below
	// shortAbove so that the sums are complete when capacity becomes short.
	detailAbove = 0.6
	// refreshInterval is how long an allocation is used before it is computed again; reports of
	// peers arrive every 100 ms.
	refreshInterval = 100 * time.Millisecond
	// reportLifetime is how long a peer's report counts, as for the load reports of package
	// selector.
	reportLifetime = 1500 * time.Millisecond
)

// Claim is the work that one request of an organisation needs.
type Claim struct {
	Service definer.PoolName
	// Tier is the priority of the request's rule; 0 is the highest.
	Tier         int
	Organisation definer.OrganisationName
	// Work is the predicted engine time of the request.
	Work time.Duration
}

// Verdict is the judgement whether a request exceeds its organisation's share.
type Verdict struct {
	// Short is set while the capacity of the service is short; if it is not, no request exceeds a
	// share and the other fields are 0.
	Short bool
	// Beyond is set if the request exceeds the share of its organisation.
	Beyond bool
	// Work is the work of the organisation's requests, and Share what it may use, both in
	// engine time per second.
	Work  time.Duration
	Share time.Duration
}

// Option changes one setting of an Apportioner.
type Option func(*Apportioner)

// WithWeights sets the function that returns the weight of an organisation; the default is 1 for
// all. Weights that are not above 0 and finite count as 1.
func WithWeights(weight func(organisation definer.OrganisationName) float64) Option {
	return func(apportioner *Apportioner) { apportioner.weight = weight }
}

// WithLog sets the function that receives log events; the default discards them. It is called
// with the Apportioner locked and must not block.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(apportioner *Apportioner) { apportioner.log = log }
}

// WithShortCount sets the function that is called with the number of services whose capacity is
// short, after each change; the default does nothing. It is called with the Apportioner locked.
func WithShortCount(count func(services int)) Option {
	return func(apportioner *Apportioner) { apportioner.countShort = count }
}

// Apportioner judges which requests exceed the share of their organisation. It is safe for
// concurrent use.
type Apportioner struct {
	weight     func(organisation definer.OrganisationName) float64
	log        func(number int, pairs ...any)
	countShort func(services int)
	// mutex guards the fields below; no lock is taken while it is held, except by the functions
	// passed to New.
	mutex sync.Mutex
	// own holds the work of this node's requests.
	own map[tableKey]*table
	// peers holds the work that peers report.
	peers peerWork
	// services holds the state of each service whose capacity is known.
	services map[definer.PoolName]*service
	// nodes is the number of listed nodes, this one included.
	nodes int
	// rejections limits the log lines about invalid values from peers.
	rejections map[definer.VM]time.Time
}

// New returns an Apportioner that knows no other nodes.
func New(options ...Option) *Apportioner {
	apportioner := &Apportioner{
		weight:     func(definer.OrganisationName) float64 { return 1 },
		log:        func(int, ...any) {},
		countShort: func(int) {},
		own:        make(map[tableKey]*table),
		peers:      newPeerWork(),
		services:   make(map[definer.PoolName]*service),
		nodes:      1,
		rejections: make(map[definer.VM]time.Time),
	}
	for _, option := range options {
		option(apportioner)
	}
	return apportioner
}

// SetNodes sets the number of listed nodes, this one included. The sums are extrapolated to it
// from the nodes that report.
func (apportioner *Apportioner) SetNodes(count int) {
	apportioner.mutex.Lock()
	defer apportioner.mutex.Unlock()
	apportioner.nodes = min(max(count, 1), maxReportedNodes)
}

// SetCapacity sets the number of a service's engines that can be sent requests. Until it is
// called, the service's capacity is not short.
func (apportioner *Apportioner) SetCapacity(now time.Time, name definer.PoolName, engines float64) {
	if math.IsNaN(engines) || math.IsInf(engines, 0) || engines < 0 {
		return
	}
	apportioner.mutex.Lock()
	defer apportioner.mutex.Unlock()
	known, ok := apportioner.services[name]
	if !ok {
		known = &service{}
		apportioner.services[name] = known
	}
	if !now.Before(known.capacityAt) {
		known.engines, known.capacityAt = engines, now
	}
}

// Record counts a request of this node, whether it will be served or refused.
func (apportioner *Apportioner) Record(now time.Time, claim Claim) {
	if claim.Work <= 0 || claim.Work > maxReportedWork {
		return
	}
	apportioner.mutex.Lock()
	defer apportioner.mutex.Unlock()
	key := tableKey{claim.Service, claim.Tier}
	known, ok := apportioner.own[key]
	if !ok {
		if len(apportioner.own) >= maxTables {
			return
		}
		known = &table{at: now}
		apportioner.own[key] = known
	}
	known.add(now, claim.Organisation, claim.Work)
}

// Judge determines whether a request that was recorded exceeds the share of its organisation. The
// draw is a random number from 0 up to 1; of the requests of an organisation that asks for more
// than its share, the fraction by which it exceeds the share is judged to be beyond it.
func (apportioner *Apportioner) Judge(now time.Time, claim Claim, draw float64) Verdict {
	apportioner.mutex.Lock()
	defer apportioner.mutex.Unlock()
	known, ok := apportioner.services[claim.Service]
	if !ok {
		return Verdict{}
	}
	apportioner.refresh(now, claim.Service, known)
	if !known.short {
		return Verdict{}
	}
	key := tableKey{claim.Service, claim.Tier}
	work := apportioner.work(now, key, claim.Organisation)
	// At least one request in each time constant is within the share, so that none starves.
	share := max(known.share(claim.Tier, apportioner.weightOf(claim.Organisation)), claim.Work.Seconds())
	verdict := Verdict{Short: true, Work: seconds(work), Share: seconds(min(share, work)), Beyond: draw*work < work-share}
	if verdict.Beyond {
		apportioner.logExceeded(known, claim, verdict)
	}
	return verdict
}

// work returns the work of an organisation's requests on all nodes. The mutex is held.
func (apportioner *Apportioner) work(now time.Time, key tableKey, organisation definer.OrganisationName) float64 {
	work := apportioner.peers.workOf(key, organisation)
	if own, ok := apportioner.own[key]; ok {
		work += own.workOf(now, organisation)
	}
	return work * apportioner.scale()
}

// scale returns the factor that extrapolates the sums of the nodes that report to all listed
// nodes. The mutex is held.
func (apportioner *Apportioner) scale() float64 {
	return max(float64(apportioner.nodes)/float64(1+apportioner.peers.nodes), 1)
}

// weightOf returns the weight of an organisation, above 0 and finite.
func (apportioner *Apportioner) weightOf(organisation definer.OrganisationName) float64 {
	if weight := apportioner.weight(organisation); weight > 0 && !math.IsInf(weight, 0) {
		return weight
	}
	return 1
}

// logExceeded logs that an organisation exceeds its share, once in each shortage. The mutex is
// held.
func (apportioner *Apportioner) logExceeded(known *service, claim Claim, verdict Verdict) {
	exceeded := exceeding{claim.Tier, claim.Organisation}
	if known.exceeded[exceeded] || len(known.exceeded) >= maxExceeded {
		return
	}
	known.exceeded[exceeded] = true
	apportioner.log(logger.EventShareExceeded, "service", claim.Service, "tier", claim.Tier, "organisation", claim.Organisation,
		"work", verdict.Work.Seconds(), "share", verdict.Share.Seconds())
}

// seconds returns a number of seconds as a duration, or the longest one if it exceeds that.
func seconds(value float64) time.Duration {
	if value >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(value * float64(time.Second))
}
