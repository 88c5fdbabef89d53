package watcher

import (
	"context"
	"slices"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/storer"
)

const (
	upstreamRole = "upstream"
	leavingState = "leaving"
)

// pollVMs delivers the list of VMs whenever it changed, until the context ends.
func (watcher *Watcher) pollVMs(ctx context.Context) {
	var known []decider.ListedVM
	var backoff backoff
	for ctx.Err() == nil {
		listed, err := watcher.platform.VMs(ctx)
		if ctx.Err() != nil {
			return
		}
		watcher.settle(ctx, &backoff, "vms", err)
		if err != nil {
			continue
		}
		if vms := convert(listed.VMs); known == nil || !slices.Equal(vms, known) {
			known = vms
			watcher.deliver(decider.VMsListed{VMs: vms})
		}
		_ = watcher.pause(ctx, jitter(2*watcher.poll)) // The loop sees the context end.
	}
}

func convert(vms []storer.VM) []decider.ListedVM {
	listed := make([]decider.ListedVM, 0, len(vms))
	for _, vm := range vms {
		listed = append(listed, decider.ListedVM{
			Name:       vm.Name,
			DataCentre: definer.DataCentre(vm.DataCentre),
			Address:    vm.Address,
			Upstream:   vm.Role == upstreamRole,
			Leaving:    vm.State == leavingState,
		})
	}
	return listed
}
