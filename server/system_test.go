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
	// closedAddress refuses connections.
	closedAddress = "127.0.0.1:1"
)

// setup describes the system of a test; zero values select defaults.
type setup struct {
	nodes   int
	engines int
	engine  []engine.Option
	// engineAddress and serviceAddress override the stand-ins' addresses in the configuration.
	engineAddress, serviceAddress string
	dispatcher                    []dispatcher.Option
	server                        []server.Option
	node                          []limpetcleat.Option
	slots                         int
	configure                     func(document *definer.Document)
}

// system is a platform, engines, a service and nodes on loopback addresses.
type system struct {
	t               testing.TB
	setup           setup
	platformAddress string
	engineAddresses []string
	serviceAddress  string
	callerAddresses []string
	nodes           []*limpetcleat.Node
	group           conc.WaitGroup
}

func start(t testing.TB, setup setup) *system {
	t.Helper()
	setup.nodes, setup.engines = max(setup.nodes, 1), max(setup.engines, 1)
	if setup.slots == 0 {
		setup.slots = 8
	}
	system := &system{t: t, setup: setup}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		system.group.Wait()
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	})
	system.platformAddress = system.run(ctx, platform.New(platform.WithListLag(0)))
	for range setup.engines {
		options := append([]engine.Option{engine.WithModels(model), engine.WithTokenInterval(time.Millisecond, 0), engine.WithPrefillTime(time.Millisecond), engine.WithLoadLag(0)}, setup.engine...)
		system.engineAddresses = append(system.engineAddresses, system.run(ctx, engine.New(options...)))
	}
	system.serviceAddress = system.run(ctx, service.New(service.WithName("stock"), service.WithLatency(time.Millisecond)))
	assert.NilError(t, demonstrator.StoreConfiguration(ctx, system.platformAddress, system.document()))
	for index := range setup.nodes {
		system.startNode(ctx, fmt.Sprintf("entry-%d", index+1))
	}
	assert.NilError(t, demonstrator.AwaitReady(ctx, system.callerAddresses...))
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

// document returns a configuration with one rule for each repeat policy, which requests select with
// the header X-Repeat.
func (system *system) document() definer.Document {
	sum := sha256.Sum256([]byte(apiKey))
	document := definer.Document{
		Classes: []definer.ClassDocument{{Name: "class", TotalMs: 60000, Attainment: 0.9, LongestWaitMs: 20000}},
		Pools: []definer.PoolDocument{
			{Name: "models", Kind: string(definer.Engine)},
			{Name: "stock", Kind: string(definer.Service), Upstreams: []definer.UpstreamDocument{
				{Name: "stock", DataCentre: dataCentre, Address: firstNonEmpty(system.setup.serviceAddress, system.serviceAddress), Slots: 64},
			}},
		},
		Organisations: []definer.OrganisationDocument{{Name: "buttons", KeyHashes: []string{hex.EncodeToString(sum[:])}}},
		Limits:        definer.LimitsDocument{RetryShare: 0.1, ClaimKeepMs: 600000},
	}
	for index, address := range system.engineAddresses {
		document.Pools[0].Upstreams = append(document.Pools[0].Upstreams, definer.UpstreamDocument{
			Name: fmt.Sprintf("engine-%d", index+1), DataCentre: dataCentre, Address: firstNonEmpty(system.setup.engineAddress, address), Slots: system.setup.slots, MaxSlots: system.setup.slots, Models: []string{model},
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
	if system.setup.configure != nil {
		system.setup.configure(&document)
	}
	return document
}

func firstNonEmpty(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

func (system *system) startNode(ctx context.Context, name string) {
	callers, inner := system.listen(), system.listen()
	vm := storer.VM{Name: name, DataCentre: dataCentre, Address: inner.Addr().String(), Role: "entry", State: "live"}
	assert.NilError(system.t, controllerOf(system.platformAddress).PutVM(ctx, vm))
	options := append([]limpetcleat.Option{
		limpetcleat.WithCallers(callers, system.setup.server...),
		limpetcleat.WithInner(inner, inner.Addr().String()),
		limpetcleat.WithDispatcherOptions(system.setup.dispatcher...),
		limpetcleat.WithPlatform(func(deliver func(decider.Event)) limpetcleat.Platform {
			return watcher.New([]string{system.platformAddress}, "", deliver)
		}),
	}, system.setup.node...)
	node := limpetcleat.New(definer.VM(name), dataCentre, options...)
	system.nodes = append(system.nodes, node)
	system.callerAddresses = append(system.callerAddresses, callers.Addr().String())
	system.group.Go(func() { _ = node.Run(ctx) })
}

// do sends a request unchanged and returns the reply.
func (system *system) do(request *http.Request) caller.Reply {
	system.t.Helper()
	return caller.New(caller.WithTransport(http.DefaultTransport)).Do(request, nil)
}

// request returns an authenticated request to the first node; headers are names and values in turn.
func (system *system) request(path, body string, headers ...string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, "http://"+system.callerAddresses[0]+path, bytes.NewReader([]byte(body)))
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

// expected returns the text that an engine generates for a prompt.
func expected(prompt string, tokens int) string {
	return engine.ResponseText(model, "user: "+prompt+"\n", 0, tokens)
}

// controllerOf returns the controller of the stand-in at an address.
func controllerOf(address string) *controller.Controller {
	return controller.New(address, controller.WithClient(http.DefaultClient))
}

// injectFaults sets the faults of all engines and of the service; an empty string changes nothing.
func (system *system) injectFaults(engines, services string) {
	system.t.Helper()
	for _, address := range system.engineAddresses {
		if engines != "" {
			assert.NilError(system.t, controllerOf(address).SetFaults(context.Background(), json.RawMessage(engines)))
		}
	}
	if services != "" {
		assert.NilError(system.t, controllerOf(system.serviceAddress).SetServiceFaults(context.Background(), json.RawMessage(services)))
	}
}

// records returns the engines' records of a request's attempts.
func (system *system) records(request string) []engine.Record {
	var found []engine.Record
	for _, address := range system.engineAddresses {
		records, err := controllerOf(address).AttemptsOf(context.Background(), request)
		assert.NilError(system.t, err)
		found = append(found, records...)
	}
	return found
}

// runs returns how many times upstreams started to run a request.
func (system *system) runs(request string) int {
	total := 0
	for _, record := range system.records(request) {
		total += record.Starts
	}
	services, err := controllerOf(system.serviceAddress).ServiceRuns(context.Background(), "")
	assert.NilError(system.t, err)
	for attempt, count := range services.Attempts {
		if controller.IsAttemptOf(attempt, request) {
			total += count
		}
	}
	return total
}
