package server_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat"
	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/demonstrator"
	"limpetcleat/dispatcher"
	"limpetcleat/server"
	"limpetcleat/standin/caller"
	"limpetcleat/standin/controller"
	"limpetcleat/standin/engine"
	"limpetcleat/standin/platform"
	"limpetcleat/standin/runner"
	"limpetcleat/standin/service"
	"limpetcleat/storer"
	"limpetcleat/watcher"
)

const (
	model      = "m"
	apiKey     = "caller-key"
	dataCentre = "skopje"
	// nowhere is an address that nobody serves.
	nowhere = "127.0.0.1:1"
)

// plan says which system a test wants.
type plan struct {
	nodes   int
	engines int
	engine  []engine.Option
	// engineAt and serviceAt take the place of the stand-ins' addresses.
	engineAt, serviceAt string
	dispatcher          []dispatcher.Option
	server              []server.Option
	node                []limpetcleat.Option
	slots               int
	change              func(document *definer.Document)
}

// system is a platform, engines, a service and nodes on loopback.
type system struct {
	t        testing.TB
	plan     plan
	platform string
	engines  []string
	service  string
	callers  []string
	nodes    []*limpetcleat.Node
	group    conc.WaitGroup
}

func start(t testing.TB, plan plan) *system {
	t.Helper()
	plan.nodes, plan.engines = max(plan.nodes, 1), max(plan.engines, 1)
	if plan.slots == 0 {
		plan.slots = 8
	}
	system := &system{t: t, plan: plan}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		system.group.Wait()
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	})
	system.platform = system.run(ctx, platform.New(platform.WithListLag(0)))
	for range plan.engines {
		options := append([]engine.Option{engine.WithModels(model), engine.WithTokenTime(time.Millisecond, 0), engine.WithPrefillTime(time.Millisecond), engine.WithLoadLag(0)}, plan.engine...)
		system.engines = append(system.engines, system.run(ctx, engine.New(options...)))
	}
	system.service = system.run(ctx, service.New(service.WithName("stock"), service.WithLatency(time.Millisecond)))
	assert.NilError(t, demonstrator.Store(ctx, system.platform, system.document()))
	for index := range plan.nodes {
		system.startNode(ctx, fmt.Sprintf("entry-%d", index+1))
	}
	assert.NilError(t, demonstrator.AwaitReady(ctx, system.callers...))
	return system
}

func (system *system) listen() net.Listener {
	listener, err := net.Listen("tcp", runner.Loopback)
	assert.NilError(system.t, err)
	return listener
}

func (system *system) run(ctx context.Context, standin runner.Server) string {
	running, err := runner.Start(ctx, standin, runner.Loopback)
	assert.NilError(system.t, err)
	system.t.Cleanup(func() { assert.NilError(system.t, running.Stop()) })
	return running.Address()
}

// document gives a rule to each way of repeating, chosen by a header.
func (system *system) document() definer.Document {
	sum := sha256.Sum256([]byte(apiKey))
	document := definer.Document{
		Classes: []definer.ClassDocument{{Name: "class", TotalMs: 60000, Attainment: 0.9, LongestWaitMs: 20000}},
		Pools: []definer.PoolDocument{
			{Name: "models", Kind: string(definer.Engine)},
			{Name: "stock", Kind: string(definer.Service), Upstreams: []definer.UpstreamDocument{
				{Name: "stock", DataCentre: dataCentre, Address: or(system.plan.serviceAt, system.service), Slots: 64},
			}},
		},
		Organisations: []definer.OrganisationDocument{{Name: "buttons", KeyHashes: []string{hex.EncodeToString(sum[:])}}},
		Limits:        definer.LimitsDocument{RetryShare: 0.1, ClaimKeepMs: 600000},
	}
	for index, address := range system.engines {
		document.Pools[0].Upstreams = append(document.Pools[0].Upstreams, definer.UpstreamDocument{
			Name: fmt.Sprintf("engine-%d", index+1), DataCentre: dataCentre, Address: or(system.plan.engineAt, address), Slots: system.plan.slots, MaxSlots: system.plan.slots, Models: []string{model},
		})
	}
	for _, repeat := range []definer.Repeat{definer.Never, definer.Keyed, definer.Idempotent} {
		for _, pool := range []string{"stock", "models"} {
			document.Rules = append(document.Rules, definer.RuleDocument{
				Name: string(repeat) + " " + pool,
				When: fmt.Sprintf(`headers["x-repeat"] == %q && (service != "") == %t`, repeat, pool == "stock"),
				Then: definer.ActionDocument{Class: "class", Pool: pool, Repeat: string(repeat), LocalKeys: true},
			})
		}
	}
	document.Rules = append(document.Rules, definer.RuleDocument{Name: "rest", When: `service == ""`, Then: definer.ActionDocument{Class: "class", Pool: "models"}})
	if system.plan.change != nil {
		system.plan.change(&document)
	}
	return document
}

func or(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

func (system *system) startNode(ctx context.Context, name string) {
	callers, inner := system.listen(), system.listen()
	vm := storer.VM{Name: name, DataCentre: dataCentre, Address: inner.Addr().String(), Role: "entry", State: "live"}
	assert.NilError(system.t, at(system.platform).PutVM(ctx, vm))
	options := append([]limpetcleat.Option{
		limpetcleat.WithCallers(callers, system.plan.server...),
		limpetcleat.WithInner(inner, inner.Addr().String()),
		limpetcleat.WithDispatcher(system.plan.dispatcher...),
		limpetcleat.WithPlatform(func(deliver func(decider.Event)) limpetcleat.Platform {
			return watcher.New([]string{system.platform}, "", deliver)
		}),
	}, system.plan.node...)
	node := limpetcleat.New(definer.VM(name), dataCentre, options...)
	system.nodes = append(system.nodes, node)
	system.callers = append(system.callers, callers.Addr().String())
	system.group.Go(func() { _ = node.Run(ctx) })
}

// do sends a request as it is.
func (system *system) do(request *http.Request) caller.Reply {
	system.t.Helper()
	return caller.New(caller.WithTransport(http.DefaultTransport)).Do(request, nil)
}

// request returns a caller's request to the first node.
func (system *system) request(path, body string, headers ...string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, "http://"+system.callers[0]+path, bytes.NewReader([]byte(body)))
	assert.NilError(system.t, err)
	request.Header.Set("Authorization", "Bearer "+apiKey)
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	return request
}

func chat(prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, model, stream, prompt)
}

// expected is the text that an engine answers to a prompt.
func expected(prompt string, tokens int) string {
	return engine.Answer(model, "user: "+prompt+"\n", 0, tokens)
}

// at returns what controls the stand-in of the address.
func at(address string) *controller.Controller {
	return controller.New(address, controller.WithClient(http.DefaultClient))
}

// fault orders faults at every upstream; empty ones are none.
func (system *system) fault(engines, services string) {
	system.t.Helper()
	for _, address := range system.engines {
		if engines != "" {
			assert.NilError(system.t, at(address).Faults(context.Background(), json.RawMessage(engines)))
		}
	}
	if services != "" {
		assert.NilError(system.t, at(system.service).ServiceFaults(context.Background(), json.RawMessage(services)))
	}
}

// records returns what the engines know of a request's attempts.
func (system *system) records(request string) []engine.Record {
	var found []engine.Record
	for _, address := range system.engines {
		records, err := at(address).AttemptsOf(context.Background(), request)
		assert.NilError(system.t, err)
		found = append(found, records...)
	}
	return found
}

// runs returns how often the upstreams began to run a request.
func (system *system) runs(request string) int {
	total := 0
	for _, record := range system.records(request) {
		total += record.Starts
	}
	services, err := at(system.service).ServiceRuns(context.Background(), "")
	assert.NilError(system.t, err)
	for attempt, count := range services.Attempts {
		if controller.IsOf(attempt, request) {
			total += count
		}
	}
	return total
}
