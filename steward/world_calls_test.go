package steward_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/leaseholder"
	"limpetcleat/steward"
	"limpetcleat/tallier"
)

// call makes one call to a system; carry is called with the simulation locked when the call is
// carried out. It returns whether the caller gets an answer, and whether the call was refused.
func (process *process) call(ctx context.Context, fault *fault, carry func()) (answered, refused bool) {
	if !process.waitWhileFrozen() {
		<-ctx.Done()
		return false, false
	}
	simulation, node := process.node.simulation, process.node
	simulation.mutex.Lock()
	now := *fault
	lost, late, lateBy := simulation.random.Float64() < fault.lost, simulation.random.Float64() < fault.late, 2*time.Second+time.Duration(simulation.random.Int64N(int64(10*time.Second)))
	simulation.mutex.Unlock()
	if now.silent != nil && now.silent(node) {
		<-ctx.Done()
		return false, false
	}
	wait := func(span time.Duration) bool {
		select {
		case <-time.After(span):
			return true
		case <-ctx.Done():
			return false
		}
	}
	locked := func() {
		simulation.mutex.Lock()
		defer simulation.mutex.Unlock()
		carry()
	}
	if now.down != nil && now.down(node) {
		wait(responseTime)
		return false, true
	}
	if late {
		time.AfterFunc(lateBy, locked)
		<-ctx.Done()
		return false, false
	}
	// The call is carried out whether or not the caller still waits.
	time.AfterFunc((responseTime+now.slow)/2, locked)
	if lost || !wait(responseTime+now.slow) {
		<-ctx.Done()
		return false, false
	}
	return process.waitWhileFrozen(), false
}

// Read reads an object of the store.
func (process *process) Read(ctx context.Context, duty string) (leaseholder.Object, error) {
	simulation := process.node.simulation
	var object leaseholder.Object
	answered, refused := process.call(ctx, &simulation.store, func() {
		simulation.storeCalls[duty]++
		object = simulation.objects[duty]
	})
	if err := callError(answered, refused); err != nil {
		return leaseholder.Object{}, err
	}
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	return object, nil
}

func callError(answered, refused bool) error {
	switch {
	case refused:
		return leaseholder.Fail("test", leaseholder.Refused, "call refused")
	case !answered:
		return leaseholder.Fail("test", leaseholder.Unanswered, "no answer")
	}
	return nil
}

// Write writes an object of the store if its revision still matches.
func (process *process) Write(ctx context.Context, duty string, object leaseholder.Object) (uint64, error) {
	simulation := process.node.simulation
	var revision uint64
	var conflict bool
	answered, refused := process.call(ctx, &simulation.store, func() {
		simulation.storeCalls[duty]++
		if simulation.objects[duty].Revision != object.Revision {
			conflict = true
			return
		}
		simulation.revision++
		revision = simulation.revision
		simulation.objects[duty] = leaseholder.Object{Revision: revision, Content: object.Content}
	})
	if err := callError(answered, refused); err != nil {
		return 0, err
	}
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	if conflict {
		return 0, leaseholder.Fail("test", leaseholder.Conflict, "the object has another revision")
	}
	return revision, nil
}

// ReportUsage accepts a usage report.
func (process *process) ReportUsage(ctx context.Context, grant steward.Grant, usage *steward.SettledWindow) error {
	simulation := process.node.simulation
	window, counts := usage.Window, maps.Clone(usage.Requests)
	var outdated bool
	answered, refused := process.call(ctx, &simulation.cloudAPI, func() {
		if outdated = !simulation.acceptAct("usage", process, grant); outdated {
			return
		}
		if reported, again := simulation.reports[window]; again {
			assert.Check(simulation.t, maps.Equal(reported, counts), "window %d is reported twice, with different counts", window)
			return
		}
		simulation.reports[window] = counts
		simulation.lateness[window] = time.Since(windowEnd(window))
	})
	if err := callError(answered, refused); err != nil {
		return err
	}
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	if outdated {
		return leaseholder.Fail("test", leaseholder.Outdated, "a newer token was seen")
	}
	return nil
}

// Order accepts an order of engines.
func (process *process) Order(ctx context.Context, grant steward.Grant, order *steward.Order) error {
	simulation := process.node.simulation
	placed := *order
	var outdated, none bool
	answered, refused := process.call(ctx, &simulation.cloudAPI, func() {
		subject := fmt.Sprintf("%s in %s", placed.Service, placed.DataCentre)
		if outdated = !simulation.acceptAct(subject, process, grant); outdated {
			return
		}
		none = !simulation.engines.order(&placed)
	})
	if err := callError(answered, refused); err != nil {
		return err
	}
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	switch {
	case outdated:
		return leaseholder.Fail("test", leaseholder.Outdated, "a newer token was seen")
	case none:
		return leaseholder.Fail("test", leaseholder.Unavailable, "no engines are available")
	}
	return nil
}

func windowEnd(window tallier.Window) time.Time {
	return time.Unix(0, int64(time.Duration(window+1)*usageWindow))
}

// acceptAct reports whether an act passes the fencing token. It checks that no token has two
// holders, and that no holder acts again within a lease once another has acted after it. The
// caller holds mutex.
func (simulation *simulation) acceptAct(subject string, process *process, grant steward.Grant) bool {
	machine := string(process.node.peer.VM)
	if grant.Token < simulation.highest[subject] {
		return false
	}
	simulation.highest[subject] = grant.Token
	acts := simulation.acts[subject]
	for index := range acts {
		assert.Check(simulation.t, acts[index].token != grant.Token || acts[index].machine == machine, "%s and %s act with token %d", acts[index].machine, machine, grant.Token)
	}
	for index := len(acts) - 1; index >= 0 && time.Since(acts[index].at) < leaseTerm; index-- {
		between := slices.ContainsFunc(acts[index:], func(act act) bool { return act.machine != machine })
		assert.Check(simulation.t, acts[index].machine != machine || !between, "%s acts again %v after its last act, with another holder in between", machine, time.Since(acts[index].at))
	}
	simulation.acts[subject] = append(acts, act{machine, grant.Token, time.Now()})
	return true
}
