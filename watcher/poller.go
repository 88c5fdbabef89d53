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

// pollVMs polls the list of VMs until the context ends and delivers it first and then
// whenever it has changed. The interval is random between pollInterval and twice that.
func (watcher *Watcher) pollVMs(ctx context.Context) {
	var known []decider.ListedVM
	var backoff backoff
	for ctx.Err() == nil {
		listed, err := watcher.platform.VMs(ctx)
		if ctx.Err() != nil {
			return
		}
		watcher.handleResult(ctx, &backoff, "vms", err)
		if err != nil {
			continue
		}
		if vms := toListedVMs(listed.VMs); known == nil || !slices.Equal(vms, known) {
			known = vms
			watcher.deliver(decider.VMsListed{VMs: vms})
		}
		_ = watcher.pause(ctx, jitter(2*watcher.pollInterval)) // The loop checks the context.
	}
}

func toListedVMs(vms []storer.VM) []decider.ListedVM {
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
