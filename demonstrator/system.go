// Package demonstrator runs a whole small system in one process on loopback:
// the stand-ins for platform, engines and service, and two nodes.
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
	// DataCentre is the one data centre of the demonstration.
	DataCentre definer.DataCentre = "skopje"
	readyEvery                    = 20 * time.Millisecond
	readyLimit                    = 10 * time.Second
	// The stand-in engines run this many sequences, at this speed.
	engineRunning = 6
	tokenTime     = 4 * time.Millisecond
	tokenSlope    = 300 * time.Microsecond
	prefillTime   = 20 * time.Millisecond
	serviceTime   = 20 * time.Millisecond
)

// System is a running demonstration.
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

// Wasted returns the tokens that the nodes counted as computed and discarded,
// by class.
func (system *System) Wasted() map[string]uint64 {
	wasted := make(map[string]uint64)
	for _, node := range system.nodes {
		for _, class := range node.Snapshot().Classes {
			wasted[string(class.Class)] += class.Total.WastedTokens
		}
	}
	return wasted
}

// OperatorToken is the operators' token of the demonstration's nodes.
const OperatorToken = "demo-operators-token"

// Start runs the system. The first node serves callers on the address; the
// callers' key belongs to the first organisation.
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
	if err := Store(ctx, system.platform, system.document); err != nil {
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
	limited, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	return AwaitReady(limited, system.callers...)
}

// Stop ends the system and waits for all of it.
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
			engine.WithModels(ModelName), engine.WithMaxRunning(engineRunning),
			engine.WithTokenTime(tokenTime, tokenSlope), engine.WithPrefillTime(prefillTime)))
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
		return "", fail("run", "%w", err)
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
		return fail("startNode", "%w", err)
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
