package decider

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/matcher"
	"limpetcleat/messenger"
	"limpetcleat/sectioner"
)

// testingT is the common interface of testing.T and rapid.T.
type testingT interface {
	assert.TestingT
	Helper()
}

// cluster runs Deciders under a simulated clock. Messages are delayed and may
// be lost or cut off, nodes may be killed and frozen, and attempts take time.
type cluster struct {
	t          testingT
	now        time.Time
	random     *rand.Rand
	nodes      map[definer.VM]*clusterNode
	deliveries []delivery
	listed     []ListedVM
	head       ConfigurationHead
	data       []messenger.Section
	loss       float64
	cut        func(from, to definer.VM) bool
	// endsUpstream holds the requests that end every upstream that runs them;
	// endedUpstreams counts these ends.
	endsUpstream   map[definer.RequestID]bool
	endedUpstreams int
	// service is how long an attempt runs.
	service time.Duration
	running map[definer.UpstreamName]map[definer.AttemptID]bool
	// peak is the largest number of attempts that ran at once on all upstreams
	// of a data centre.
	peak            map[definer.DataCentre]int
	starts          []start
	arrived         map[definer.RequestID]time.Time
	ended           map[definer.RequestID]string
	canceled        []definer.AttemptID
	stopped         []definer.VM
	emergencyGrants int
}

type start struct {
	request  definer.RequestID
	upstream definer.UpstreamName
	at       time.Time
}

type clusterNode struct {
	decider    *Decider
	dataCentre definer.DataCentre
	timers     map[TimerKey]time.Time
	frozen     bool
	backlog    []Event
}

type delivery struct {
	at    time.Time
	to    definer.VM
	run   definer.Member
	event Event
	// then is called at delivery, whether or not the node is running.
	then func()
}

const (
	clusterStep = 5 * time.Millisecond
	slots       = 2
	// tokens is the length of every answer in tokens.
	tokens = 300
)

// clusterDocument returns a configuration with two engines of two slots in each
// data centre.
func clusterDocument(dataCentres int) definer.Document {
	pool := definer.PoolDocument{Name: "models", Kind: "engine"}
	for d := range dataCentres {
		for e := range 2 {
			pool.Upstreams = append(pool.Upstreams, definer.UpstreamDocument{Name: fmt.Sprintf("dc%d-engine%d", d, e), DataCentre: fmt.Sprintf("dc%d", d), Address: fmt.Sprintf("10.%d.1.%d:80", d, e), Models: []string{"m"}, Slots: slots})
		}
	}
	return definer.Document{
		Classes: []definer.ClassDocument{
			{Name: "desk", Tier: 0, Protected: true, Attainment: 0.99, LongestWaitMs: 600000},
			{Name: "batch", Tier: 2, Attainment: 0.9, LongestWaitMs: 600000},
		},
		Pools:         []definer.PoolDocument{pool},
		Organisations: []definer.OrganisationDocument{{Name: "o", KeyHashes: []string{"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"}}},
		Rules: []definer.RuleDocument{
			{Name: "desk", When: `path == "/desk"`, Then: definer.ActionDocument{Class: "desk", Pool: "models", Repeat: "idempotent"}},
			{Name: "rest", When: "true", Then: definer.ActionDocument{Class: "batch", Pool: "models", Repeat: "idempotent"}},
		},
		Limits: definer.LimitsDocument{RetryShare: 0.1, ClaimKeepMs: 60000},
	}
}

func newCluster(t testingT, seed int64, dataCentres, perDataCentre int) *cluster {
	t.Helper()
	cluster := &cluster{
		t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewSource(seed)), service: 3 * time.Second,
		nodes: make(map[definer.VM]*clusterNode), running: make(map[definer.UpstreamName]map[definer.AttemptID]bool),
		peak: make(map[definer.DataCentre]int), arrived: make(map[definer.RequestID]time.Time), ended: make(map[definer.RequestID]string),
	}
	sums, sections, err := sectioner.Split(clusterDocument(dataCentres))
	assert.NilError(t, err)
	cluster.head, cluster.data = ConfigurationHead{Version: 1, Sections: sums}, sections
	for d := range dataCentres {
		for v := range perDataCentre {
			cluster.listed = append(cluster.listed, listedVM(fmt.Sprintf("dc%d-vm%d", d, v), d))
		}
	}
	for _, vm := range cluster.listed {
		cluster.start(vm, 1)
		cluster.run(time.Duration(cluster.random.Intn(200)) * time.Millisecond)
	}
	return cluster
}

func listedVM(name string, dataCentre int) ListedVM {
	return ListedVM{Name: name, DataCentre: definer.DataCentre(fmt.Sprintf("dc%d", dataCentre)), Address: name}
}

func (cluster *cluster) start(vm ListedVM, incarnation definer.Incarnation) *clusterNode {
	node := &clusterNode{dataCentre: vm.DataCentre, timers: make(map[TimerKey]time.Time)}
	node.decider = New(definer.Member{VM: definer.VM(vm.Name), Incarnation: incarnation}, vm.DataCentre, vm.Address, WithBootstrapVMs(cluster.listed))
	cluster.nodes[definer.VM(vm.Name)] = node
	cluster.carryOut(node, node.decider.Start(cluster.now))
	cluster.handle(node, ConfigurationFound{Head: cluster.head, Contents: cluster.data})
	assert.Assert(cluster.t, node.decider.Configuration() != nil)
	return node
}

// handle passes an event to a node, or keeps it while the node is frozen.
func (cluster *cluster) handle(node *clusterNode, event Event) {
	if node.frozen {
		node.backlog = append(node.backlog, event)
		return
	}
	cluster.carryOut(node, node.decider.Handle(cluster.now, event))
}

func (cluster *cluster) carryOut(node *clusterNode, actions []Action) {
	self := node.decider.Self()
	for _, action := range actions {
		switch action := action.(type) {
		case SendMessage:
			cluster.send(self, node.dataCentre, action)
		case SetTimer:
			node.timers[action.Key] = action.At
		case ClearTimer:
			delete(node.timers, action.Key)
		case StartAttempt:
			cluster.startAttempt(self, action)
		case CancelUpstreamWork:
			cluster.canceled = append(cluster.canceled, action.Attempt)
			delete(cluster.running[action.Upstream.Name()], action.Attempt)
		case FinishRequest:
			cluster.recordEnd(action.Request, "finished")
		case RefuseRequest:
			cluster.recordEnd(action.Request, string(action.Refusal.Reason))
		case Stopped:
			cluster.stopped = append(cluster.stopped, self.VM)
			delete(cluster.nodes, self.VM)
		case LogEvent:
			if action.Number == EventEmergencyGrant {
				cluster.emergencyGrants++
			}
		}
	}
}

// recordEnd records a final answer; a request has exactly one.
func (cluster *cluster) recordEnd(request definer.RequestID, how string) {
	assert.Equal(cluster.t, cluster.ended[request], "", "%s got two final answers", request)
	cluster.ended[request] = how
}

func (cluster *cluster) send(from definer.Member, dataCentre definer.DataCentre, action SendMessage) {
	if cluster.random.Float64() < cluster.loss || cluster.cut != nil && cluster.cut(from.VM, action.To) {
		return
	}
	delay := time.Duration(1+cluster.random.Intn(4)) * time.Millisecond
	cluster.deliveries = append(cluster.deliveries, delivery{at: cluster.now.Add(delay), to: action.To, event: MessageReceived{From: from, DataCentre: dataCentre, Message: action.Message}})
}

// startAttempt runs an attempt on its upstream, which continues if the entry VM
// ends.
func (cluster *cluster) startAttempt(entry definer.Member, action StartAttempt) {
	name := action.Upstream.Name()
	if cluster.running[name] == nil {
		cluster.running[name] = make(map[definer.AttemptID]bool)
	}
	cluster.running[name][action.Attempt] = true
	cluster.starts = append(cluster.starts, start{request: action.Request, upstream: name, at: cluster.now})
	sum := 0
	for other, attempts := range cluster.running {
		if other[:3] == name[:3] {
			sum += len(attempts)
		}
	}
	if cluster.endsUpstream[action.Request] {
		cluster.endUpstream(entry, action)
		return
	}
	dataCentre := action.Upstream.DataCentre()
	cluster.peak[dataCentre] = max(cluster.peak[dataCentre], sum)
	cluster.deliveries = append(cluster.deliveries, delivery{at: cluster.now.Add(cluster.service), to: entry.VM, run: entry, event: AttemptEnded{
		Request: action.Request, Attempt: action.Attempt, Result: AttemptComplete, Delivered: tokens, AnswerBegun: true,
		Observation: messenger.Observation{FirstToken: time.Second, BetweenTokens: 20 * time.Millisecond, Tokens: tokens, Total: cluster.service},
	}, then: func() { delete(cluster.running[name], action.Attempt) }})
}

// endUpstream ends an upstream while it runs an attempt, a short time after the
// start.
func (cluster *cluster) endUpstream(entry definer.Member, action StartAttempt) {
	cluster.deliveries = append(cluster.deliveries, delivery{at: cluster.now.Add(40 * time.Millisecond), to: entry.VM, run: entry, event: AttemptEnded{
		Request: action.Request, Attempt: action.Attempt, Result: AttemptCut, UpstreamEnded: true,
	}, then: func() {
		delete(cluster.running[action.Upstream.Name()], action.Attempt)
		cluster.endedUpstreams++
	}})
}

func (cluster *cluster) run(length time.Duration) {
	for end := cluster.now.Add(length); cluster.now.Before(end); {
		cluster.now = cluster.now.Add(clusterStep)
		due := cluster.deliveries
		cluster.deliveries = nil
		for _, delivery := range due {
			if delivery.at.After(cluster.now) {
				cluster.deliveries = append(cluster.deliveries, delivery)
				continue
			}
			cluster.deliver(delivery)
		}
		for _, vm := range sortedKeys(cluster.nodes) {
			if node := cluster.nodes[vm]; !node.frozen {
				cluster.fireTimers(node)
			}
		}
	}
}

func (cluster *cluster) deliver(delivery delivery) {
	if delivery.then != nil {
		delivery.then()
	}
	node, ok := cluster.nodes[delivery.to]
	if !ok || delivery.run.VM != "" && delivery.run != node.decider.Self() {
		return
	}
	event := delivery.event
	if ended, ok := event.(AttemptEnded); ok && slices.Contains(cluster.canceled, ended.Attempt) {
		ended.Result, ended.Resumable = AttemptCut, true
		event = ended
	}
	cluster.handle(node, event)
}

func (cluster *cluster) fireTimers(node *clusterNode) {
	var keys []TimerKey
	for key, at := range node.timers {
		if !at.After(cluster.now) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b TimerKey) int { return cmp.Or(cmp.Compare(a.Component, b.Component), cmp.Compare(a.ID, b.ID)) })
	for _, key := range keys {
		// A timer that fired before may have cleared or moved this one.
		if at, set := node.timers[key]; !set || at.After(cluster.now) {
			continue
		}
		delete(node.timers, key)
		cluster.handle(node, TimerFired{Key: key})
	}
}

func (cluster *cluster) resume(vm definer.VM) {
	node := cluster.nodes[vm]
	node.frozen = false
	backlog := node.backlog
	node.backlog = nil
	for _, event := range backlog {
		cluster.handle(node, event)
	}
}

// request sends a caller's request to a VM.
func (cluster *cluster) request(vm definer.VM, id, path string) {
	request := definer.RequestID(id)
	cluster.arrived[request] = cluster.now
	cluster.handle(cluster.nodes[vm], RequestArrived{Request: request, Organisation: "o", Properties: matcher.Properties{Model: "m", Path: path, PromptTokens: 100, MaxTokens: tokens}})
}

// owner returns the owner of the pool's shard in a data centre, as one node
// sees it.
func (cluster *cluster) owner(seenBy definer.VM, dataCentre definer.DataCentre) definer.VM {
	vm, _ := cluster.nodes[seenBy].decider.core.roster.owner(messenger.Shard{DataCentre: dataCentre, Pool: "models"})
	return vm
}

// others returns the VMs of a data centre except one.
func (cluster *cluster) others(dataCentre definer.DataCentre, but definer.VM) []definer.VM {
	var vms []definer.VM
	for _, vm := range sortedKeys(cluster.nodes) {
		if vm != but && cluster.nodes[vm].dataCentre == dataCentre {
			vms = append(vms, vm)
		}
	}
	return vms
}

// ownerOf returns the owner component of a node.
func (cluster *cluster) ownerOf(vm definer.VM) *owner {
	for _, component := range cluster.nodes[vm].decider.components {
		if owner, ok := component.(*owner); ok {
			return owner
		}
	}
	return nil
}

// sendRequests sends requests to the VMs in turn.
func (cluster *cluster) sendRequests(prefix, path string, vms []definer.VM, count int, every time.Duration) []definer.RequestID {
	var ids []definer.RequestID
	for index := range count {
		id := fmt.Sprintf("%s%03d", prefix, index)
		ids = append(ids, definer.RequestID(id))
		cluster.request(vms[index%len(vms)], id, path)
		cluster.run(every)
	}
	return ids
}

// checkFinished runs for the given time and checks that each request was
// finished.
func (cluster *cluster) checkFinished(ids []definer.RequestID, within time.Duration) {
	cluster.t.Helper()
	cluster.run(within)
	for _, id := range ids {
		assert.Equal(cluster.t, cluster.ended[id], "finished", "%s", id)
	}
}

// checkOrderedAfter checks that the requests that started after an instant
// started in the order of their arrival.
func (cluster *cluster) checkOrderedAfter(at time.Time) {
	cluster.t.Helper()
	var last start
	for _, start := range cluster.starts {
		if start.at.Before(at) {
			continue
		}
		if last.request != "" {
			assert.Assert(cluster.t, !cluster.arrived[start.request].Before(cluster.arrived[last.request]) || start.at.Equal(last.at), "%s arrived before %s and started after it", start.request, last.request)
		}
		last = start
	}
}

// servedAfter returns how long after an instant the first attempt started in a
// data centre.
func (cluster *cluster) servedAfter(at time.Time, dataCentre definer.DataCentre) time.Duration {
	for _, start := range cluster.starts {
		if !start.at.Before(at) && string(start.upstream)[:3] == string(dataCentre) {
			return start.at.Sub(at)
		}
	}
	return time.Hour
}
