package decider

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/quarantiner"
)

// Status is the state of a node, for operators.
type Status struct {
	VM            definer.VM          `json:"vm"`
	Incarnation   definer.Incarnation `json:"incarnation"`
	DataCentre    definer.DataCentre  `json:"dataCentre"`
	Configuration uint64              `json:"configuration"`
	Draining      bool                `json:"draining"`
	OpenRequests  int                 `json:"openRequests"`
	Members       []MemberStatus      `json:"members"`
	Shards        []ShardStatus       `json:"shards"`
}

// memberDraining is the state of a live member that takes no new requests.
const memberDraining = "draining"

// MemberStatus is the state of one member as the node sees it.
type MemberStatus struct {
	VM         definer.VM         `json:"vm"`
	DataCentre definer.DataCentre `json:"dataCentre"`
	Address    string             `json:"address"`
	State      string             `json:"state"`
}

// ShardStatus is one shard that the node owns.
type ShardStatus struct {
	Pool    definer.PoolName `json:"pool"`
	Index   int              `json:"index"`
	Waiting int              `json:"waiting"`
	Running int              `json:"running"`
}

// describer is a component that adds to the status.
type describer interface {
	describe(status *Status)
}

// Suspicions returns the requests that upstreams ended with, as this node knows
// them.
func (decider *Decider) Suspicions(now time.Time) []quarantiner.Suspicion {
	for _, component := range decider.components {
		if requester, ok := component.(*requester); ok {
			return requester.suspicions.quarantiner.List(now)
		}
	}
	return nil
}

// Status returns the present state of the node.
func (decider *Decider) Status() Status {
	core := decider.core
	status := Status{
		VM:           core.self.VM,
		Incarnation:  core.self.Incarnation,
		DataCentre:   core.dataCentre,
		Draining:     core.draining,
		OpenRequests: core.openRequests,
	}
	if core.configuration != nil {
		status.Configuration = core.configuration.Version()
	}
	for _, component := range decider.components {
		if describer, ok := component.(describer); ok {
			describer.describe(&status)
		}
	}
	return status
}

func (roster *roster) describe(status *Status) {
	for _, vm := range sortedKeys(roster.members) {
		member := roster.members[vm]
		state := string(member.State)
		if member.Draining {
			state = memberDraining
		}
		status.Members = append(status.Members, MemberStatus{VM: vm, DataCentre: member.DataCentre, Address: member.Address, State: state})
	}
}

func (owner *owner) describe(status *Status) {
	for _, shard := range sortedShards(owner.shards) {
		held := owner.shards[shard]
		status.Shards = append(status.Shards, ShardStatus{Pool: shard.Pool, Index: shard.Index, Waiting: held.scheduler.Waiting() + len(held.pending), Running: held.scheduler.Running()})
	}
}
