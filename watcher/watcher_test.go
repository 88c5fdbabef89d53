package watcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/editor"
	"limpetcleat/logger"
	"limpetcleat/sectioner"
	"limpetcleat/standin/controller"
	"limpetcleat/standin/platform"
	"limpetcleat/storer"
	"limpetcleat/watcher"
)

const patience = 20 * time.Second

// bench is one watcher at one stand-in of the platform.
type bench struct {
	t       *testing.T
	address string
	store   *counting
	events  chan decider.Event
	logged  chan int
	watcher *watcher.Watcher
	waits   chan time.Duration
}

// closing is a stand-in of the platform whose hanging calls can be ended.
type closing struct {
	http.Handler
	platform *platform.Platform
}

func newPlatform(options ...platform.Option) *closing {
	platform := platform.New(options...)
	return &closing{Handler: platform.Handler(), platform: platform}
}

// counting counts the sections that are read.
type counting struct {
	*storer.Storer
	sections atomic.Int64
}

func (counting *counting) Read(ctx context.Context, kind, name string) (storer.Object, error) {
	if kind == sectioner.SectionKind {
		counting.sections.Add(1)
	}
	return counting.Storer.Read(ctx, kind, name)
}

func start(t *testing.T, handler http.Handler, options ...watcher.Option) *bench {
	earlier := goleak.IgnoreCurrent()
	server := httptest.NewServer(handler)
	address := strings.TrimPrefix(server.URL, "http://")
	bench := &bench{
		t:       t,
		address: address,
		store:   &counting{Storer: storer.New([]string{address}, "", storer.WithTimeout(300*time.Millisecond))},
		events:  make(chan decider.Event, 1000),
		logged:  make(chan int, 1000),
		waits:   make(chan time.Duration, 100_000),
	}
	options = append([]watcher.Option{
		watcher.WithPlatform(bench.store),
		watcher.WithLog(func(number int, _ ...any) { bench.logged <- number }),
		watcher.WithPause(bench.pause),
	}, options...)
	bench.watcher = watcher.New(nil, "", func(event decider.Event) { bench.events <- event }, options...)
	ctx, cancel := context.WithCancel(context.Background())
	bench.watcher.Start(ctx)
	t.Cleanup(func() {
		cancel()
		<-bench.watcher.Done()
		if closer, ok := handler.(*closing); ok {
			assert.NilError(t, closer.platform.Close())
		}
		server.CloseClientConnections()
		server.Close()
		goleak.VerifyNone(t, earlier)
	})
	return bench
}

// pause records each wait and waits a little.
func (bench *bench) pause(ctx context.Context, wait time.Duration) error {
	select {
	case bench.waits <- wait:
	default:
	}
	select {
	case <-time.After(time.Millisecond):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (bench *bench) faults(body string) {
	assert.NilError(bench.t, controller.New(bench.address).Faults(context.Background(), json.RawMessage(body)))
}

func (bench *bench) edit(rules int) uint64 {
	store := storer.New([]string{bench.address}, "")
	defer store.Close()
	version, err := editor.New(store, "maria").Edit(context.Background(), editor.Replace(0, "test", document(rules)))
	assert.NilError(bench.t, err)
	return version.Number()
}

func document(rules int) definer.Document {
	document := definer.Document{
		Classes: []definer.ClassDocument{{Name: "desk", Attainment: 0.99, LongestWaitMs: 1000}},
		Pools:   []definer.PoolDocument{{Name: "models", Kind: "engine", Upstreams: []definer.UpstreamDocument{{Name: "e1", DataCentre: "north", Address: "127.0.0.1:1", Slots: 4}}}},
	}
	for index := range rules {
		document.Rules = append(document.Rules, definer.RuleDocument{Name: fmt.Sprint(index), When: "true", Then: definer.ActionDocument{Class: "desk", Pool: "models"}})
	}
	return document
}

// await returns the next event of a type.
func await[Type decider.Event](bench *bench) Type {
	bench.t.Helper()
	deadline := time.After(patience)
	for {
		select {
		case event := <-bench.events:
			if found, ok := event.(Type); ok {
				return found
			}
		case <-deadline:
			bench.t.Fatalf("no %T came", *new(Type))
		}
	}
}

func (bench *bench) awaitLog(number int) {
	bench.t.Helper()
	deadline := time.After(patience)
	for {
		select {
		case logged := <-bench.logged:
			if logged == number {
				return
			}
		case <-deadline:
			bench.t.Fatalf("event %d was not logged", number)
		}
	}
}

func TestWorksThroughAnOutageAtStart(t *testing.T) {
	bench := start(t, newPlatform())
	bench.edit(1)
	bench.faults(`{"outage":true}`)
	bench.watcher.Hold(true)
	bench.awaitLog(logger.EventPlatformAway)
	bench.faults(`{"outage":false}`)
	found := await[decider.ConfigurationFound](bench)
	assert.Equal(t, found.Head.Version, uint64(1))
	bench.awaitLog(logger.EventPlatformBack)
}

func TestReadsOnlyNewSections(t *testing.T) {
	bench := start(t, newPlatform())
	bench.watcher.Hold(true)
	bench.edit(1)
	first := await[decider.ConfigurationFound](bench)
	before := bench.store.sections.Load()
	assert.Equal(t, before, int64(len(first.Head.Sections)))
	assert.Equal(t, bench.edit(2), uint64(2))
	second := await[decider.ConfigurationFound](bench)
	assert.Equal(t, second.Head.Version, uint64(2))
	assert.Equal(t, bench.store.sections.Load()-before, int64(1))
	joined, err := sectioner.Join(second.Head.Sections, second.Contents)
	assert.NilError(t, err)
	assert.Equal(t, len(joined.Rules), 2)
}

func TestFindsChangesAfterTheHistoryWasCut(t *testing.T) {
	bench := start(t, newPlatform(platform.WithHistory(2)))
	bench.watcher.Hold(true)
	bench.edit(1)
	await[decider.ConfigurationFound](bench)
	for index := range 20 {
		_, err := bench.store.Create(context.Background(), "claim", fmt.Sprint(index), []byte("1"))
		assert.NilError(t, err)
	}
	bench.edit(2)
	for await[decider.ConfigurationFound](bench).Head.Version != 2 {
		continue
	}
}

func TestReadsAgainAnUnusableSection(t *testing.T) {
	bench := start(t, newPlatform())
	bench.edit(1)
	ctx := context.Background()
	head, err := bench.store.Read(ctx, sectioner.HeadKind, sectioner.HeadName)
	assert.NilError(t, err)
	parsed, err := sectioner.ParseHead(head.Value)
	assert.NilError(t, err)
	hash := parsed.Sections[0].Hash
	section, err := bench.store.Storer.Read(ctx, sectioner.SectionKind, hash)
	assert.NilError(t, err)
	altered, err := bench.store.Update(ctx, sectioner.SectionKind, hash, section.Version, []byte(`[]`))
	assert.NilError(t, err)
	bench.watcher.Hold(true)
	bench.awaitLog(logger.EventHeadUnusable)
	_, err = bench.store.Update(ctx, sectioner.SectionKind, hash, altered.Version, section.Value)
	assert.NilError(t, err)
	assert.Equal(t, await[decider.ConfigurationFound](bench).Head.Version, uint64(1))
}

func TestHonoursRetryAfter(t *testing.T) {
	bench := start(t, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Retry-After", "7")
		writer.WriteHeader(http.StatusTooManyRequests)
	}))
	bench.watcher.Hold(true)
	for range 10 {
		assert.Assert(t, <-bench.waits >= 7*time.Second)
	}
}

func TestPollsOnlyWhileHeld(t *testing.T) {
	bench := start(t, newPlatform())
	put := func(name string) {
		vm := storer.VM{Name: name, DataCentre: "north", Address: "127.0.0.1:9", Role: "entry", State: "leaving"}
		assert.NilError(t, controller.New(bench.address).PutVM(context.Background(), vm))
	}
	bench.watcher.Hold(true)
	assert.Equal(t, len(await[decider.VMsListed](bench).VMs), 0)
	put("a")
	want := decider.ListedVM{Name: "a", DataCentre: "north", Address: "127.0.0.1:9", Leaving: true}
	assert.DeepEqual(t, await[decider.VMsListed](bench).VMs, []decider.ListedVM{want})
	bench.watcher.Hold(false)
	put("b")
	bench.watcher.Hold(true)
	assert.Equal(t, len(await[decider.VMsListed](bench).VMs), 2)
}

func TestCallResults(t *testing.T) {
	create := decider.CallPlatform{Verb: decider.CreateObject, Kind: "claim", Name: "new", Value: []byte("1")}
	update := decider.CallPlatform{Verb: decider.UpdateObject, Kind: "claim", Name: "old", Version: 1, Value: []byte("2")}
	remove := decider.CallPlatform{Verb: decider.DeleteObject, Kind: "claim", Name: "old", Version: 1}
	read := decider.CallPlatform{Verb: decider.ReadObject, Kind: "claim", Name: "old"}
	stale := update
	stale.Version = 99
	absent := decider.CallPlatform{Verb: decider.ReadObject, Kind: "claim", Name: "none"}
	taken := create
	taken.Name = "old"
	invalid := create
	invalid.Value = []byte("{")
	gone := update
	gone.Name = "none"
	cases := []struct {
		name   string
		faults string
		call   decider.CallPlatform
		want   decider.PlatformResult
		// version 0 is that of no object, 2 is that of a first write.
		version uint64
	}{
		{"create", `{}`, create, decider.CallDone, 2},
		{"create what exists", `{}`, taken, decider.CallConflict, 1},
		{"create without an answer", `{"loseAnswers":1}`, create, decider.CallLost, 0},
		{"create that fails", `{"failWrites":1}`, create, decider.CallLost, 0},
		{"create in an outage", `{"outage":true}`, create, decider.CallRejected, 0},
		{"create in an outage that hangs", `{"outage":true,"outageHang":true}`, create, decider.CallLost, 0},
		{"create too slowly", `{"slowMs":2000}`, create, decider.CallLost, 0},
		{"create of what the platform refuses", `{}`, invalid, decider.CallRejected, 0},
		{"update", `{}`, update, decider.CallDone, 2},
		{"update of another version", `{}`, stale, decider.CallConflict, 1},
		{"update of nothing", `{}`, gone, decider.CallMissing, 0},
		{"delete", `{}`, remove, decider.CallDone, 2},
		{"read", `{}`, read, decider.CallDone, 1},
		{"read of nothing", `{}`, absent, decider.CallMissing, 0},
		{"read in an outage", `{"outage":true}`, read, decider.CallLost, 0},
		{"read too slowly", `{"slowMs":2000}`, read, decider.CallLost, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			bench := start(t, newPlatform())
			_, err := bench.store.Create(context.Background(), "claim", "old", []byte("1"))
			assert.NilError(t, err)
			bench.faults(test.faults)
			test.call.Call = 7
			bench.watcher.Call(test.call)
			answer := await[decider.PlatformAnswered](bench)
			assert.Equal(t, answer.Call, uint64(7))
			assert.Equal(t, answer.Result, test.want)
			assert.Equal(t, answer.Version, test.version)
		})
	}
}

func TestCallRejectedWithoutAConnection(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	dead := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	write := decider.CallPlatform{Verb: decider.CreateObject, Kind: "claim", Name: "a", Value: []byte("1")}
	away := start(t, newPlatform(), watcher.WithPlatform(storer.New([]string{dead}, "")))
	away.watcher.Call(write)
	assert.Equal(t, await[decider.PlatformAnswered](away).Result, decider.CallRejected)
	second := start(t, newPlatform(), watcher.WithPlatform(storer.New([]string{dead, away.address}, "")))
	second.watcher.Call(write)
	assert.Equal(t, await[decider.PlatformAnswered](second).Result, decider.CallDone)
}
