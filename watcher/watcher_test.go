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

const eventTimeout = 20 * time.Second

// fixture is a watcher connected to a stand-in of the platform.
type fixture struct {
	t       *testing.T
	address string
	store   *countingStore
	events  chan decider.Event
	logged  chan int
	watcher *watcher.Watcher
	waits   chan time.Duration
}

// platformHandler serves a stand-in of the platform; closing the platform ends calls
// that hang.
type platformHandler struct {
	http.Handler
	platform *platform.Platform
}

func newPlatform(options ...platform.Option) *platformHandler {
	platform := platform.New(options...)
	return &platformHandler{Handler: platform.Handler(), platform: platform}
}

// countingStore is a client of the platform that counts the sections read.
type countingStore struct {
	*storer.Storer
	sections atomic.Int64
}

func (countingStore *countingStore) Read(ctx context.Context, kind, name string) (storer.Object, error) {
	if kind == sectioner.SectionKind {
		countingStore.sections.Add(1)
	}
	return countingStore.Storer.Read(ctx, kind, name)
}

func start(t *testing.T, handler http.Handler, options ...watcher.Option) *fixture {
	earlier := goleak.IgnoreCurrent()
	server := httptest.NewServer(handler)
	address := strings.TrimPrefix(server.URL, "http://")
	fixture := &fixture{
		t:       t,
		address: address,
		store:   &countingStore{Storer: storer.New([]string{address}, "", storer.WithTimeout(300*time.Millisecond))},
		events:  make(chan decider.Event, 1000),
		logged:  make(chan int, 1000),
		waits:   make(chan time.Duration, 100_000),
	}
	options = append([]watcher.Option{
		watcher.WithPlatform(fixture.store),
		watcher.WithLog(func(number int, _ ...any) { fixture.logged <- number }),
		watcher.WithPause(fixture.pause),
	}, options...)
	fixture.watcher = watcher.New(nil, "", func(event decider.Event) { fixture.events <- event }, options...)
	ctx, cancel := context.WithCancel(context.Background())
	fixture.watcher.Start(ctx)
	t.Cleanup(func() {
		cancel()
		<-fixture.watcher.Done()
		if closer, ok := handler.(*platformHandler); ok {
			assert.NilError(t, closer.platform.Close())
		}
		server.CloseClientConnections()
		server.Close()
		goleak.VerifyNone(t, earlier)
	})
	return fixture
}

// pause records the requested wait and waits 1 ms instead.
func (fixture *fixture) pause(ctx context.Context, wait time.Duration) error {
	select {
	case fixture.waits <- wait:
	default:
	}
	select {
	case <-time.After(time.Millisecond):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (fixture *fixture) faults(body string) {
	assert.NilError(fixture.t, controller.New(fixture.address).SetFaults(context.Background(), json.RawMessage(body)))
}

func (fixture *fixture) edit(rules int) uint64 {
	store := storer.New([]string{fixture.address}, "")
	defer store.Close()
	version, err := editor.New(store, "maria").Edit(context.Background(), editor.Replace(0, "test", document(rules)))
	assert.NilError(fixture.t, err)
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

// await returns the next event of the type and discards events of other types before it.
func await[Type decider.Event](fixture *fixture) Type {
	fixture.t.Helper()
	deadline := time.After(eventTimeout)
	for {
		select {
		case event := <-fixture.events:
			if found, ok := event.(Type); ok {
				return found
			}
		case <-deadline:
			fixture.t.Fatalf("no %T was delivered", *new(Type))
		}
	}
}

func (fixture *fixture) awaitLog(number int) {
	fixture.t.Helper()
	deadline := time.After(eventTimeout)
	for {
		select {
		case logged := <-fixture.logged:
			if logged == number {
				return
			}
		case <-deadline:
			fixture.t.Fatalf("event %d was not logged", number)
		}
	}
}

// TestWorksThroughAnOutageAtStart checks that an outage that began before the watch is
// logged, and that the configuration is delivered once it ends.
func TestWorksThroughAnOutageAtStart(t *testing.T) {
	fixture := start(t, newPlatform())
	fixture.edit(1)
	fixture.faults(`{"outage":true}`)
	fixture.watcher.SetWatching(true)
	fixture.awaitLog(logger.EventPlatformAway)
	fixture.faults(`{"outage":false}`)
	found := await[decider.ConfigurationFound](fixture)
	assert.Equal(t, found.Head.Version, uint64(1))
	fixture.awaitLog(logger.EventPlatformBack)
}

// TestReadsOnlyNewSections checks that an edit of one section leads to the read of one
// section, and that the sections delivered still make up the whole configuration.
func TestReadsOnlyNewSections(t *testing.T) {
	fixture := start(t, newPlatform())
	fixture.watcher.SetWatching(true)
	fixture.edit(1)
	first := await[decider.ConfigurationFound](fixture)
	before := fixture.store.sections.Load()
	assert.Equal(t, before, int64(len(first.Head.Sections)))
	assert.Equal(t, fixture.edit(2), uint64(2))
	second := await[decider.ConfigurationFound](fixture)
	assert.Equal(t, second.Head.Version, uint64(2))
	assert.Equal(t, fixture.store.sections.Load()-before, int64(1))
	joined, err := sectioner.Join(second.Head.Sections, second.Contents)
	assert.NilError(t, err)
	assert.Equal(t, len(joined.Rules), 2)
}

// TestFindsChangesAfterTheHistoryWasCut checks that an edit is found although the
// platform's history, of 2 changes here, no longer covers the revision of the watch.
func TestFindsChangesAfterTheHistoryWasCut(t *testing.T) {
	fixture := start(t, newPlatform(platform.WithHistoryLimit(2)))
	fixture.watcher.SetWatching(true)
	fixture.edit(1)
	await[decider.ConfigurationFound](fixture)
	for index := range 20 {
		_, err := fixture.store.Create(context.Background(), "claim", fmt.Sprint(index), []byte("1"))
		assert.NilError(t, err)
	}
	fixture.edit(2)
	for await[decider.ConfigurationFound](fixture).Head.Version != 2 {
		continue
	}
}

// laggingStore is a client of the platform whose watches return no change, but the revision behind it.
type laggingStore struct{ *storer.Storer }

func (store laggingStore) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (storer.Items, error) {
	items, err := store.Storer.Watch(ctx, kind, since, wait)
	items.Items = nil
	return items, err
}

// TestFindsAHeadThatWatchesSkipped guards against an edit that stays unknown for good, because a watch that lagged named
// its revision without holding it.
func TestFindsAHeadThatWatchesSkipped(t *testing.T) {
	handler := newPlatform()
	server := httptest.NewServer(handler)
	defer server.Close()
	lagging := laggingStore{storer.New([]string{server.URL}, "", storer.WithTimeout(300*time.Millisecond))}
	fixture := start(t, handler, watcher.WithPlatform(lagging), watcher.WithCheckInterval(50*time.Millisecond))
	fixture.edit(1)
	fixture.watcher.SetWatching(true)
	assert.Equal(t, await[decider.ConfigurationFound](fixture).Head.Version, uint64(1))
	fixture.edit(2)
	assert.Equal(t, await[decider.ConfigurationFound](fixture).Head.Version, uint64(2))
}

// TestReadsAgainAnUnusableSection checks that a section that does not match its hash is
// logged and read again until it does.
func TestReadsAgainAnUnusableSection(t *testing.T) {
	fixture := start(t, newPlatform())
	fixture.edit(1)
	ctx := context.Background()
	head, err := fixture.store.Read(ctx, sectioner.HeadKind, sectioner.HeadName)
	assert.NilError(t, err)
	parsed, err := sectioner.ParseHead(head.Value)
	assert.NilError(t, err)
	hash := parsed.Sections[0].Hash
	section, err := fixture.store.Storer.Read(ctx, sectioner.SectionKind, hash)
	assert.NilError(t, err)
	altered, err := fixture.store.Update(ctx, sectioner.SectionKind, hash, section.Version, []byte(`[]`))
	assert.NilError(t, err)
	fixture.watcher.SetWatching(true)
	fixture.awaitLog(logger.EventHeadUnusable)
	_, err = fixture.store.Update(ctx, sectioner.SectionKind, hash, altered.Version, section.Value)
	assert.NilError(t, err)
	assert.Equal(t, await[decider.ConfigurationFound](fixture).Head.Version, uint64(1))
}

// TestHonoursRetryAfter checks that no wait is shorter than the Retry-After of the
// platform.
func TestHonoursRetryAfter(t *testing.T) {
	fixture := start(t, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Retry-After", "7")
		writer.WriteHeader(http.StatusTooManyRequests)
	}))
	fixture.watcher.SetWatching(true)
	for range 10 {
		assert.Assert(t, <-fixture.waits >= 7*time.Second)
	}
}

// TestPollsOnlyWhileHeld checks that the list of VMs is delivered when the watch is
// acquired and after a change, and again once the watch is acquired anew.
func TestPollsOnlyWhileHeld(t *testing.T) {
	fixture := start(t, newPlatform())
	put := func(name string) {
		vm := storer.VM{Name: name, DataCentre: "north", Address: "127.0.0.1:9", Role: "entry", State: "leaving"}
		assert.NilError(t, controller.New(fixture.address).PutVM(context.Background(), vm))
	}
	fixture.watcher.SetWatching(true)
	assert.Equal(t, len(await[decider.VMsListed](fixture).VMs), 0)
	put("a")
	want := decider.ListedVM{Name: "a", DataCentre: "north", Address: "127.0.0.1:9", Leaving: true}
	assert.DeepEqual(t, await[decider.VMsListed](fixture).VMs, []decider.ListedVM{want})
	fixture.watcher.SetWatching(false)
	put("b")
	fixture.watcher.SetWatching(true)
	assert.Equal(t, len(await[decider.VMsListed](fixture).VMs), 2)
}

// TestCallResults checks the result and the version reported for each kind of call under
// each fault. A write that may have taken effect must be Lost, never Rejected.
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
		// version is 0 if no object is returned, and 2 after the first write of the call.
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
			fixture := start(t, newPlatform())
			_, err := fixture.store.Create(context.Background(), "claim", "old", []byte("1"))
			assert.NilError(t, err)
			fixture.faults(test.faults)
			test.call.Call = 7
			fixture.watcher.Call(test.call)
			answer := await[decider.PlatformAnswered](fixture)
			assert.Equal(t, answer.Call, uint64(7))
			assert.Equal(t, answer.Result, test.want)
			assert.Equal(t, answer.Version, test.version)
		})
	}
}

// TestCallRejectedWithoutAConnection checks that a write is Rejected if no address can be
// connected to, and sent to the second address if only the first cannot.
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
