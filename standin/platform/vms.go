package platform

import (
	"net/http"
	"slices"
	"strings"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/standin/internal/host"
)

// VM is one entry of the list of VMs.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	Address    string `json:"address"`
	// Role is entry or upstream.
	Role string `json:"role"`
	// State is live or leaving.
	State string `json:"state"`
}

// VMList is a snapshot of the list of VMs, as old as the configured delay.
type VMList struct {
	VMs      []VM  `json:"vms"`
	Revision int64 `json:"revision"`
}

func (platform *Platform) listVMs(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	platform.delayRequest(request)
	platform.mu.Lock()
	list := platform.vmList.Get(platform.now())
	platform.mu.Unlock()
	host.WriteJSON(writer, http.StatusOK, list)
}

func (platform *Platform) putVM(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	var vm VM
	if !host.DecodeJSON(writer, request, &vm) {
		return
	}
	vm.Name = params.ByName("name")
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.vms[vm.Name] = vm
	platform.publishLocked()
	host.WriteJSON(writer, http.StatusOK, vm)
}

func (platform *Platform) deleteVM(writer http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	delete(platform.vms, params.ByName("name"))
	platform.publishLocked()
	host.WriteJSON(writer, http.StatusOK, struct{}{})
}

// publishLocked records a snapshot of the current VMs, which becomes visible after the delay.
func (platform *Platform) publishLocked() {
	vms := make([]VM, 0, len(platform.vms))
	for _, vm := range platform.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(a.Name, b.Name) })
	platform.store.revision++
	platform.vmList.Put(platform.now(), VMList{VMs: vms, Revision: platform.store.revision})
}
