package tester

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"limpetcleat/decider"
	"limpetcleat/demonstrator"
	"limpetcleat/editor"
	"limpetcleat/standin/runner"
	"limpetcleat/storer"
)

const (
	// StartTimeout bounds the start of a process.
	StartTimeout = 20 * time.Second
	// PollInterval is the time between two checks of a condition.
	PollInterval = 15 * time.Millisecond
	// Loopback is the host of all processes.
	Loopback      = "127.0.0.1"
	operatorToken = "operators-token-of-the-tests"
	// West is the data centre of the platform.
	West = "west"
	// East is the other data centre.
	East = "east"
	// QuickTimeout bounds a request of the test itself, including one to a frozen process.
	QuickTimeout = 2 * time.Second
)

// System is a complete system of separate processes.
type System struct {
	T         *testing.T
	directory string
	platform  *Child
	// platformAddress is the platform's own address, which bypasses every relay.
	platformAddress string
	Engines         []*Upstream
	Service         *Upstream
	Entries         []*Entry
	Store           *storer.Storer
	// RunsBeforeKill counts the runs, by key, that the service had recorded before it was killed.
	RunsBeforeKill map[string]int
	// upstreamCount is the number of upstreams started; each has its own IP address.
	upstreamCount int
}

// Upstream is a stand-in behind a relay.
type Upstream struct {
	Name       string
	DataCentre string
	Process    *Child
	Relay      *runningRelay
	address    string
	args       []string
}

// Entry is one node with its relays: peers connect to it through PeerRelay, and it connects to the
// platform through PlatformRelay.
type Entry struct {
	system          *System
	Name            string
	DataCentre      string
	Process         *Child
	callerAddress   string
	operatorAddress string
	peerAddress     string
	PeerRelay       *runningRelay
	PlatformRelay   *runningRelay
	startCount      int
}

// Eventually waits until a condition holds.
func Eventually(t *testing.T, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", description)
	}, poll.WithTimeout(timeout), poll.WithDelay(PollInterval))
}

// Topology lists the data centre of each entry and each engine of a system.
type Topology struct {
	Entries []string
	Engines []string
}

// StartSystem starts a system with two data centres: west with two entries, two engines and the
// service, east with one entry and one engine.
func StartSystem(t *testing.T) *System {
	t.Helper()
	return StartTopology(t, Topology{Entries: []string{West, West, East}, Engines: []string{West, West, East}})
}

// StartTopology starts a system and waits until every entry is ready.
func StartTopology(t *testing.T, topology Topology) *System {
	t.Helper()
	system := &System{T: t, directory: t.TempDir(), RunsBeforeKill: make(map[string]int)}
	t.Cleanup(func() { LogOutput(t, system.processes()...) })
	system.platform = startChild(t, system.directory, "platform", "standin", "platform", "-listLag", "100ms")
	system.platformAddress = system.platform.AwaitListenAddress()
	system.Store = storer.New([]string{"http://" + system.platformAddress}, "")
	t.Cleanup(system.Store.Close)
	for index, dataCentre := range topology.Engines {
		system.Engines = append(system.Engines, system.startUpstream(fmt.Sprintf("engine-%d", index+1), dataCentre,
			"standin", "engine", "-models", ModelName, "-running", "4", "-tokenTime", "10ms", "-slope", "1ms", "-prefill", "20ms"))
	}
	system.Service = system.startUpstream("stock-1", West, "standin", "service", "-name", "stock", "-latency", "20ms")
	system.edit(editor.Replace(0, "first version", system.configurationDocument()))
	for index, dataCentre := range topology.Entries {
		system.Entries = append(system.Entries, system.NewEntry(fmt.Sprintf("entry-%d", index+1), dataCentre))
	}
	for _, entry := range system.Entries {
		entry.Start()
	}
	system.AwaitReady()
	return system
}

func (system *System) processes() []*Child {
	children := []*Child{system.platform}
	for _, upstream := range append(system.Engines, system.Service) {
		if upstream != nil {
			children = append(children, upstream.Process)
		}
	}
	for _, entry := range system.Entries {
		if entry.Process != nil {
			children = append(children, entry.Process)
		}
	}
	return children
}

// AwaitReady waits until every entry is ready and has discovered all others, and each pool of a
// data centre has exactly one owner.
func (system *System) AwaitReady() {
	system.T.Helper()
	for _, entry := range system.Entries {
		entry.awaitReady()
	}
	Eventually(system.T, StartTimeout, "each shard has one owner", func() bool {
		owners := make(map[string]int)
		for _, entry := range system.RunningEntries() {
			for _, shard := range entry.Status().Shards {
				owners[entry.DataCentre+"/"+string(shard.Pool)]++
			}
		}
		for _, count := range owners {
			if count != 1 {
				return false
			}
		}
		return len(owners) > 0
	})
}

func (system *System) startUpstream(name, dataCentre string, args ...string) *Upstream {
	system.T.Helper()
	upstream := &Upstream{Name: name, DataCentre: dataCentre, args: args}
	upstream.Process = startChild(system.T, system.directory, name, args...)
	upstream.address = upstream.Process.AwaitListenAddress()
	// Each upstream has an IP address of its own, as VMs do.
	system.upstreamCount++
	upstream.Relay = startRelay(system.T, fmt.Sprintf("127.0.1.%d", system.upstreamCount), upstream.address)
	return upstream
}

// Restart restarts a killed stand-in at its address; its record of runs starts empty.
func (upstream *Upstream) Restart(system *System) {
	upstream.Process = startChild(system.T, system.directory, upstream.Name, append(upstream.args, "-listen", upstream.address)...)
	Eventually(system.T, StartTimeout, upstream.Name+" accepts connections", func() bool {
		conn, err := net.DialTimeout("tcp", upstream.address, time.Second)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
}

// NewEntry returns a node of the system that has not been started.
func (system *System) NewEntry(name, dataCentre string) *Entry {
	entry := &Entry{system: system, Name: name, DataCentre: dataCentre}
	entry.callerAddress, entry.operatorAddress, entry.peerAddress = freeAddress(system.T), freeAddress(system.T), freeAddress(system.T)
	entry.PeerRelay = startRelay(system.T, Loopback, entry.peerAddress, "entry-1", "entry-2", "entry-3", "entry-4")
	entry.PlatformRelay = startRelay(system.T, Loopback, system.platformAddress)
	return entry
}

// CallerAddress returns the address for callers.
func (entry *Entry) CallerAddress() string { return entry.callerAddress }

// OperatorAddress returns the address for operators.
func (entry *Entry) OperatorAddress() string { return entry.operatorAddress }

// Start starts the node and adds it to the platform's list of VMs.
func (entry *Entry) Start() {
	entry.system.T.Helper()
	path := filepath.Join(entry.system.directory, entry.Name+".ini")
	assert.NilError(entry.system.T, os.WriteFile(path, []byte(entry.settings()), 0o600))
	entry.putVM("live")
	entry.startCount++
	entry.Process = startChild(entry.system.T, entry.system.directory, fmt.Sprintf("%s-%d", entry.Name, entry.startCount), "serve", "-settings", path)
}

// settings returns the content of the node's settings file, with every other entry as a seed.
func (entry *Entry) settings() string {
	var listed []string
	for _, seed := range entry.system.Entries {
		if seed != entry {
			listed = append(listed, seed.Name+"@"+seed.DataCentre+"@"+seed.PeerRelay.Address())
		}
	}
	return fmt.Sprintf(`[node]
name = %s
dataCentre = %s
[callers]
listen = %s
[operators]
listen = %s
token = %s
[inner]
listen = %s
address = %s
plain = true
[platform]
addresses = http://%s
timeout = 1s
[peers]
seeds = %s
[drain]
balancerDelay = 500ms
timeout = 60s
[dispatch]
firstByteTimeout = 2s
stallTimeout = 1500ms
`, entry.Name, entry.DataCentre, entry.callerAddress, entry.operatorAddress, operatorToken, entry.peerAddress, entry.PeerRelay.Address(), entry.PlatformRelay.Address(), strings.Join(listed, ", "))
}

// putVM sets the entry's state in the platform's list of VMs.
func (entry *Entry) putVM(state string) {
	entry.system.PutVM(storer.VM{Name: entry.Name, DataCentre: entry.DataCentre, Address: entry.PeerRelay.Address(), Role: "entry", State: state})
}

func (entry *Entry) awaitReady() {
	entry.system.T.Helper()
	Eventually(entry.system.T, StartTimeout, entry.Name+" is ready", func() bool {
		members := len(entry.Status().Members)
		return entry.Ready() && (members == 0 || members >= len(entry.system.RunningEntries()))
	})
}

// Ready reports whether the node is ready to serve callers.
func (entry *Entry) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), QuickTimeout)
	defer cancel()
	return demonstrator.IsReady(ctx, entry.callerAddress)
}

// Status returns the node's status, or an empty status if the node does not respond.
func (entry *Entry) Status() decider.Status {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var status decider.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.operatorAddress+"/status", http.NoBody)
	assert.NilError(entry.system.T, err)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&status)
	return status
}

// RunningEntries returns the entries whose process is running.
func (system *System) RunningEntries() []*Entry {
	var alive []*Entry
	for _, entry := range system.Entries {
		if entry.Process == nil {
			continue
		}
		select {
		case <-entry.Process.Exited():
		default:
			alive = append(alive, entry)
		}
	}
	return alive
}

// Owner returns the entry that reports that it owns the pool in the data centre.
func (system *System) Owner(dataCentre, pool string) *Entry {
	system.T.Helper()
	var owner *Entry
	Eventually(system.T, StartTimeout, "an entry owns "+pool+" in "+dataCentre, func() bool {
		owner = nil
		for _, entry := range system.RunningEntries() {
			for _, shard := range entry.Status().Shards {
				if entry.DataCentre == dataCentre && string(shard.Pool) == pool {
					owner = entry
				}
			}
		}
		return owner != nil
	})
	return owner
}

// OtherEntry returns a running entry of the data centre other than the excluded one.
func (system *System) OtherEntry(dataCentre string, excluded *Entry) *Entry {
	for _, entry := range system.RunningEntries() {
		if entry != excluded && entry.DataCentre == dataCentre {
			return entry
		}
	}
	system.T.Fatalf("no other entry in %s", dataCentre)
	return nil
}

// edit changes the stored configuration and returns the accepted version.
func (system *System) edit(change editor.Change) uint64 {
	system.T.Helper()
	version, err := editor.New(system.Store, "tests").Edit(context.Background(), change)
	assert.NilError(system.T, err)
	return version.Number()
}

// freeAddress returns an address on loopback that is reserved until the test ends, even while the
// process that uses it is down.
func freeAddress(t *testing.T) string {
	t.Helper()
	reservation, err := runner.Reserve(t.Context())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = reservation.Close() })
	return reservation.Address()
}
