// Package demonstrator runs a small complete system in one process on the loopback interface. The
// system consists of stand-in servers for the platform, three engines and a service, and two nodes.
package demonstrator

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat"
	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/standin/controller"
	"limpetcleat/standin/engine"
	"limpetcleat/standin/platform"
	"limpetcleat/standin/runner"
	"limpetcleat/standin/service"
	"limpetcleat/storer"
	"limpetcleat/watcher"
)

const (
	engineCount = 3
	nodeCount   = 2
	// DataCentre is the only data centre of the demonstration.
	DataCentre            definer.DataCentre = "skopje"
	readinessPollInterval                    = 20 * time.Millisecond
	readinessTimeout                         = 10 * time.Second
	// Capacity and speed of each stand-in engine, and latency of the stand-in service. tokenTime is
	// that of a sequence running alone; each further sequence adds tokenTimePerExtraSequence.
	engineMaxRunning          = 6
	tokenTime                 = 4 * time.Millisecond
	tokenTimePerExtraSequence = 300 * time.Microsecond
	prefillTime               = 20 * time.Millisecond
	serviceTime               = 20 * time.Millisecond
)

// System is a running demonstration. Stop ends it.
type System struct {
	document  definer.Document
	platform  string
	engines   []string
	services  []string
	callers   []string
	operators []string
	nodes     []*limpetcleat.Node
	standins  []*runner.Runner
	cancel    context.CancelFunc
	group     conc.WaitGroup
}

// Callers returns the addresses at which the nodes serve callers.
func (system *System) Callers() []string { return system.callers }

// Engines returns the addresses of the stand-in engines.
func (system *System) Engines() []string { return system.engines }

// Operators returns the addresses at which the nodes serve operators.
func (system *System) Operators() []string { return system.operators }

// Platform returns the address of the stand-in platform.
func (system *System) Platform() string { return system.platform }

// Wasted returns, by class, the number of tokens that were computed and discarded according to the
// nodes' statistics.
func (system *System) Wasted() map[string]uint64 {
	wasted := make(map[string]uint64)
	for _, node := range system.nodes {
		for _, class := range node.Snapshot().Classes {
			wasted[string(class.Class)] += class.Total.WastedTokens
		}
	}
	return wasted
}

// OperatorToken is the operators' bearer token of the demonstration's nodes.
const OperatorToken = "demo-operators-token"

// Start starts the system and returns when every node is ready. The first node serves callers on
// the listen address; the key is the API key of the first Organisation. The options apply to every
// node. After success, the caller must call Stop.
func Start(ctx context.Context, listen, key string, options ...limpetcleat.Option) (*System, error) {
	life, cancel := context.WithCancel(ctx)
	system := &System{cancel: cancel}
	if err := system.start(life, listen, key, options); err != nil {
		system.Stop()
		return nil, err
	}
	return system, nil
}

func (system *System) start(ctx context.Context, listen, key string, options []limpetcleat.Option) error {
	if err := system.startStandins(ctx); err != nil {
		return err
	}
	system.document = Document(key, system.engines, system.services)
	if err := StoreConfiguration(ctx, system.platform, system.document); err != nil {
		return err
	}
	for index := range nodeCount {
		address := listen
		if index > 0 {
			address = runner.Loopback
		}
		if err := system.startNode(ctx, nodeName(index), address, options); err != nil {
			return err
		}
	}
	limited, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	return AwaitReady(limited, system.callers...)
}

// Stop ends the system and waits until every part has ended.
func (system *System) Stop() {
	system.cancel()
	system.group.Wait()
	for _, standin := range system.standins {
		_ = standin.Stop()
	}
}

func (system *System) startStandins(ctx context.Context) error {
	address, err := system.run(ctx, platform.New(platform.WithListLag(0)))
	if err != nil {
		return err
	}
	system.platform = address
	for range engineCount {
		address, err := system.run(ctx, engine.New(
			engine.WithModels(ModelName), engine.WithMaxRunning(engineMaxRunning),
			engine.WithTokenInterval(tokenTime, tokenTimePerExtraSequence), engine.WithPrefillTime(prefillTime)))
		if err != nil {
			return err
		}
		system.engines = append(system.engines, address)
	}
	address, err = system.run(ctx, service.New(service.WithName("stock"), service.WithLatency(serviceTime)))
	system.services = append(system.services, address)
	return err
}

func (system *System) run(ctx context.Context, server runner.Server) (string, error) {
	running, err := runner.Start(ctx, server, runner.Loopback)
	if err != nil {
		return "", newError("run", "%w", err)
	}
	system.standins = append(system.standins, running)
	return running.Address(), nil
}

func (system *System) startNode(ctx context.Context, name, address string, options []limpetcleat.Option) error {
	callers, err := listen(ctx, address)
	if err != nil {
		return err
	}
	inner, err := listen(ctx, runner.Loopback)
	if err != nil {
		return err
	}
	operators, err := listen(ctx, runner.Loopback)
	if err != nil {
		return err
	}
	vm := storer.VM{Name: name, DataCentre: string(DataCentre), Address: inner.Addr().String(), Role: "entry", State: "live"}
	if err := controller.New(system.platform, controller.WithClient(http.DefaultClient)).PutVM(ctx, vm); err != nil {
		return newError("startNode", "%w", err)
	}
	all := append([]limpetcleat.Option{
		limpetcleat.WithCallers(callers),
		limpetcleat.WithInner(inner, inner.Addr().String()),
		limpetcleat.WithOperators(operators, OperatorToken),
		limpetcleat.WithPlatform(func(deliver func(decider.Event)) limpetcleat.Platform {
			return watcher.New([]string{system.platform}, "", deliver)
		}),
	}, options...)
	node := limpetcleat.New(definer.VM(name), DataCentre, all...)
	system.nodes = append(system.nodes, node)
	system.callers = append(system.callers, callers.Addr().String())
	system.operators = append(system.operators, operators.Addr().String())
	system.group.Go(func() { _ = node.Run(ctx) })
	return nil
}
