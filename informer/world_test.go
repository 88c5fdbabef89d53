package informer

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"limpetcleat/confiner"
	"limpetcleat/definer"
	"limpetcleat/delegator"
	"limpetcleat/exchanger"
	"limpetcleat/follower"
	"limpetcleat/historian"
	"limpetcleat/registrar"
	"limpetcleat/selector"
)

const (
	// storeDelay is the time the store takes to answer, messageDelay the time a message
	// takes between two nodes.
	storeDelay   = 4 * time.Millisecond
	messageDelay = time.Millisecond
	// staleness is the age of the data in a stale answer of the store.
	staleness = 2 * time.Second
	pool      = definer.PoolName("pool")
	// maxPropagation is how long after a change a connected node may take to apply it.
	// It is the users' bound for their small deployments; large ones allow 4 s.
	maxPropagation = 2 * time.Second
	// maxConfirmedAge is the age of a confirmation from which nodes refuse keys.
	maxConfirmedAge = 4700 * time.Millisecond
)

// usersBounds returns the users' bounds for their small deployments.
func usersBounds() delegator.Bounds {
	return delegator.Bounds{Revocation: 5 * time.Second, Application: 2 * time.Second, Leaving: 2 * time.Second, Evacuation: 5 * time.Second}
}

// change is one change of an entry in the store.
type change[Entry any] struct {
	name     string
	revision uint64
	at       time.Time
	removed  bool
	entry    Entry
}

// table holds the changes of one kind of entries in order.
type table[Entry any] struct {
	changes []change[Entry]
	// heardUpTo is the revision up to which watches return changes while they lag; 0 if they do not.
	heardUpTo uint64
	// unheard is the revision of a change that no watch returns; 0 for none.
	unheard uint64
}

// heardAfter returns the changes after a revision that watches return at present.
func (table *table[Entry]) heardAfter(revision uint64) []change[Entry] {
	var heard []change[Entry]
	for _, change := range table.changes {
		if change.revision > revision && change.revision != table.unheard && (table.heardUpTo == 0 || change.revision <= table.heardUpTo) {
			heard = append(heard, change)
		}
	}
	return heard
}

// at returns the entries as of a time, and the revision of the last change up to it.
func (table *table[Entry]) at(now time.Time) (map[string]change[Entry], uint64) {
	entries := make(map[string]change[Entry])
	var revision uint64
	for _, change := range table.changes {
		if change.at.After(now) {
			break
		}
		revision = change.revision
		if change.removed {
			delete(entries, change.name)
		} else {
			entries[change.name] = change
		}
	}
	return entries, revision
}

// reachability says whether a node reaches the store.
type reachability int

const (
	served reachability = iota
	// Calls of rejected nodes fail at once; calls of unreachable nodes get no answer, nor do
	// those that were open when the node became unreachable.
	rejected
	unreachable
)

// watchFault says how watches fail while the store answers other calls.
type watchFault int

const (
	watchesServed watchFault = iota
	// Watches that are cut fail a few milliseconds after the call, those that hang are never answered.
	watchesCut
	watchesHang
)

// cluster simulates a store and a set of nodes, on the fake clock of the synctest
// bubble.
type cluster struct {
	t *testing.T
	// faultRandom draws the faults of a random run.
	faultRandom *rand.Rand

	// mutex guards the fields below; no lock of a node is taken while it is held.
	mutex sync.Mutex
	// random decides which messages are lost, and supplies the random numbers of the nodes.
	random         *rand.Rand
	revision       uint64
	configurations table[uint64]
	upstreams      table[registrar.Upstream]
	peers          table[exchanger.Peer]
	// evacuations are the orders to evacuate data centres, by their names.
	evacuations table[definer.DataCentre]
	// versions are the entries of software versions.
	versions table[historian.Entry]
	// withdrawalDelay is how late the store executes the removals of nodes' entries, which it does not answer then.
	withdrawalDelay time.Duration
	// services is the number of services whose answers are streams.
	services int
	// changed is closed and replaced at each change; droppedUpTo is the revision up to
	// which the history has been dropped.
	changed     chan struct{}
	droppedUpTo uint64
	// lostAnswers counts for each node how often the answers to its open calls were lost.
	lostAnswers map[definer.VM]int
	// reaches says which nodes reach the store (served if absent), partitioned whether
	// two nodes cannot reach each other; loss is the fraction of the messages between
	// nodes that is lost.
	reaches map[definer.VM]reachability
	// watchFaults says whose watches fail.
	watchFaults map[definer.VM]watchFault
	partitioned func(from, to definer.VM) bool
	loss        float64
	// withholds is set while parts of configurations are lost between nodes.
	withholds bool
	nodes     map[definer.VM]*member
	order     []exchanger.Peer
	// bounds are those of the platform.
	bounds delegator.Bounds
	// alone reports whether a node reads the store for itself only; nil means that none does.
	alone func(vm definer.VM) bool
	// crossingEntries counts the entries sent between data centres.
	crossingEntries int
	// calls sums the cost of the calls to the store by reason: one that accepts a stale
	// answer is billed as a tenth of a call. messages counts the messages between nodes.
	calls    map[follower.Reason]float64
	messages int
	// events counts the log events of all nodes by their numbers.
	events map[int]int
}

// member is one process of a node.
type member struct {
	informer *Informer
	confiner *confiner.Confiner
	end      context.CancelFunc
	// version is the highest version that it has had in force.
	version uint64
	// calmSince is when a fault last affected it, or when it started.
	calmSince time.Time
}

// newCluster returns a store with a configuration and 20 upstreams, and the nodes of data
// centres of the given sizes, which are not started.
func newCluster(t *testing.T, seed uint64, sizes ...int) *cluster {
	cluster := &cluster{
		t: t, faultRandom: rand.New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 2)),
		changed: make(chan struct{}), partitioned: func(_, _ definer.VM) bool { return false },
		services: 1, bounds: usersBounds(),
		reaches: make(map[definer.VM]reachability), watchFaults: make(map[definer.VM]watchFault), lostAnswers: make(map[definer.VM]int), nodes: make(map[definer.VM]*member), calls: make(map[follower.Reason]float64), events: make(map[int]int),
	}
	for place, size := range sizes {
		for index := range size {
			vm := definer.VM(fmt.Sprintf("%d-%03d", place, index))
			cluster.order = append(cluster.order, exchanger.Peer{VM: vm, DataCentre: definer.DataCentre(fmt.Sprint(place)), Address: string(vm)})
		}
	}
	cluster.configure()
	for number := range 20 {
		cluster.listUpstream(fmt.Sprintf("u%02d", number), false)
	}
	return cluster
}

// write appends a change to a table; mutex is held.
func write[Entry any](cluster *cluster, table *table[Entry], name string, removed bool, entry Entry) {
	cluster.revision++
	table.changes = append(table.changes, change[Entry]{name: name, revision: cluster.revision, at: time.Now(), removed: removed, entry: entry})
	close(cluster.changed)
	cluster.changed = make(chan struct{})
}

// configure writes the next version of the configuration.
func (cluster *cluster) configure() {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	write(cluster, &cluster.configurations, "main", false, cluster.newest()+1)
}

// newest returns the newest version; mutex is held.
func (cluster *cluster) newest() uint64 {
	if len(cluster.configurations.changes) == 0 {
		return 0
	}
	return cluster.configurations.changes[len(cluster.configurations.changes)-1].entry
}

// listUpstream writes the entry of an upstream.
func (cluster *cluster) listUpstream(name string, leaving bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	write(cluster, &cluster.upstreams, name, false, registrar.Upstream{ID: definer.UpstreamName(name), Service: pool, Address: name, Leaving: leaving})
}

// evacuate writes or removes the order to evacuate a data centre.
func (cluster *cluster) evacuate(dataCentre definer.DataCentre, withdrawn bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	write(cluster, &cluster.evacuations, string(dataCentre), withdrawn, dataCentre)
}

// removeUpstream removes the entry of an upstream.
func (cluster *cluster) removeUpstream(name string) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	write(cluster, &cluster.upstreams, name, true, registrar.Upstream{})
}

// dropHistory drops the history, so that watches from older revisions fail.
func (cluster *cluster) dropHistory() {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.droppedUpTo = cluster.revision
}

// setReachability sets whether nodes reach the store.
func (cluster *cluster) setReachability(reachability reachability, vms ...definer.VM) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for _, vm := range vms {
		cluster.reaches[vm] = reachability
		if reachability == unreachable {
			cluster.lostAnswers[vm]++
		}
	}
}

// failWatches makes the watches of nodes fail, the open ones included, or ends that.
func (cluster *cluster) failWatches(fault watchFault, vms ...definer.VM) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for _, vm := range vms {
		cluster.watchFaults[vm] = fault
	}
	close(cluster.changed)
	cluster.changed = make(chan struct{})
}

// lagWatches makes watches return no change of the tables that is made from now on, until the time has passed.
func (cluster *cluster) lagWatches(lasts time.Duration, heardUpTo ...*uint64) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for _, heard := range heardUpTo {
		*heard = cluster.revision
	}
	time.AfterFunc(lasts, func() {
		cluster.mutex.Lock()
		defer cluster.mutex.Unlock()
		for _, heard := range heardUpTo {
			*heard = 0
		}
		close(cluster.changed)
		cluster.changed = make(chan struct{})
	})
}

// allHeard returns the state of the watches on all kinds of entries.
func allHeard(cluster *cluster) []*uint64 {
	return []*uint64{&cluster.configurations.heardUpTo, &cluster.upstreams.heardUpTo, &cluster.peers.heardUpTo, &cluster.evacuations.heardUpTo, &cluster.versions.heardUpTo}
}

// loseAnswers loses the answers to the open calls of nodes; their next calls are answered.
func (cluster *cluster) loseAnswers(vms ...definer.VM) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for _, vm := range vms {
		cluster.lostAnswers[vm]++
	}
}

// partition sets which nodes cannot reach each other.
func (cluster *cluster) partition(severed func(from, to definer.VM) bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.partitioned = severed
}

// setLoss sets the fraction of the messages between nodes that is lost.
func (cluster *cluster) setLoss(loss float64) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.loss = loss
}

// randomFloat returns a random number between 0 and 1.
func (cluster *cluster) randomFloat() float64 {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.random.Float64()
}

// newMember returns a process of a node that does not run.
func (cluster *cluster) newMember(peer exchanger.Peer, first bool) *member {
	link := link{cluster, definer.Member{VM: peer.VM, Incarnation: definer.Incarnation(time.Now().UnixNano())}}
	confiner := confiner.New(nil)
	informer := New(peer, Feeds{Configurations: configurationFeed{link}, Upstreams: upstreamFeed{link}, Peers: peerFeed{link}, Evacuations: evacuationFeed{link}, Versions: versionFeed{link}},
		selector.New(peer.DataCentre), link, cluster.options(peer.VM, first, WithIncarnation(link.self.Incarnation), WithConfiner(confiner))...)
	return &member{informer: informer, confiner: confiner, calmSince: time.Now()}
}

// start starts the process of a node.
func (cluster *cluster) start(peer exchanger.Peer, first bool) {
	ctx, end := context.WithCancel(cluster.t.Context())
	node := cluster.newMember(peer, first)
	node.end = end
	cluster.mutex.Lock()
	cluster.nodes[peer.VM] = node
	cluster.mutex.Unlock()
	go node.informer.Run(ctx)
}

// options returns the options of a node, in addition to the given ones.
func (cluster *cluster) options(vm definer.VM, first bool, more ...Option) []Option {
	options := []Option{WithRandom(cluster.randomFloat), WithBounds(cluster.bounds), WithLog(cluster.countEvent)}
	if cluster.alone == nil || !cluster.alone(vm) {
		options = append(options, WithDelegation(first))
	}
	return append(options, more...)
}

// countEvent counts a log event of a node.
func (cluster *cluster) countEvent(number int, _ ...any) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.events[number]++
}

// countEvents returns how often the nodes have logged an event.
func (cluster *cluster) countEvents(number int) int {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.events[number]
}

// startAll starts all nodes, 1 ms apart.
func (cluster *cluster) startAll(first bool) {
	for _, peer := range cluster.order {
		cluster.start(peer, first)
		time.Sleep(time.Millisecond)
	}
}

// kill ends the process of a node without removing its entry.
func (cluster *cluster) kill(vm definer.VM) {
	cluster.mutex.Lock()
	killed := cluster.nodes[vm]
	delete(cluster.nodes, vm)
	cluster.mutex.Unlock()
	killed.end()
	<-killed.informer.Done()
}

// withdraw ends the process of a node as a planned stop does, after removing its entry.
func (cluster *cluster) withdraw(vm definer.VM) {
	cluster.mutex.Lock()
	node := cluster.nodes[vm]
	cluster.mutex.Unlock()
	node.informer.Withdraw()
	cluster.kill(vm)
}

// stop ends all processes.
func (cluster *cluster) stop() {
	for vm := range maps.Clone(cluster.nodes) {
		cluster.kill(vm)
	}
}

// markDisturbed records that a fault affects the nodes now; checkUpToDate skips them for
// a time.
func (cluster *cluster) markDisturbed(vms ...definer.VM) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for _, vm := range vms {
		if node, runs := cluster.nodes[vm]; runs {
			node.calmSince = time.Now()
		}
	}
}

// run lets simulated time pass and checks the invariants every 50 ms.
func (cluster *cluster) run(passes time.Duration) {
	const every = 50 * time.Millisecond
	for range passes / every {
		time.Sleep(every)
		cluster.checkInvariants()
	}
}

// takeCosts returns the cost of the calls since the last takeCosts, in billed calls, and
// resets it.
func (cluster *cluster) takeCosts() (total float64, byReason map[follower.Reason]float64) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	byReason = cluster.calls
	cluster.calls = make(map[follower.Reason]float64)
	for _, count := range byReason {
		total += count
	}
	return total, byReason
}
