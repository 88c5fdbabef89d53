package simulator

import (
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// fleet is the name under which nodes learn what all others do.
const fleet definer.VM = "fleet"

// exchange has every node learn what the others do, in one report as in a group.
func (world *world) exchange() {
	loads := make(map[definer.UpstreamStart]messenger.UpstreamLoad)
	kinds := make(map[string]messenger.KindWork)
	var reads []messenger.PartsRead
	reports := make([]*messenger.LoadReport, 0, len(world.nodes))
	for _, node := range world.nodes {
		report := node.selector.Report(world.now)
		for _, load := range report.Loads {
			loads[load.Start()] = load.Plus(loads[load.Start()])
		}
		for _, kind := range report.Kinds {
			kinds[kind.Rule] = kind.Plus(kinds[kind.Rule])
		}
		reads = append(reads, report.Reads...)
		reports = append(reports, report)
	}
	for index, node := range world.nodes {
		node.selector.ApplyReport(world.now, fleet, world.others(loads, kinds, reads, reports[index]), len(world.nodes)-1)
	}
}

// others returns the report of all nodes but one.
func (world *world) others(loads map[definer.UpstreamStart]messenger.UpstreamLoad, kinds map[string]messenger.KindWork, reads []messenger.PartsRead, own *messenger.LoadReport) *messenger.LoadReport {
	report := &messenger.LoadReport{Nodes: len(world.nodes) - 1, Reads: reads}
	ownLoads := make(map[definer.UpstreamStart]messenger.UpstreamLoad, len(own.Loads))
	for _, load := range own.Loads {
		ownLoads[load.Start()] = load
	}
	for _, upstream := range world.list {
		start := upstream.Start()
		if load := loads[start].Minus(ownLoads[start]); load.InFlight > 0 {
			load.Upstream, load.Incarnation = start.Upstream, start.Incarnation
			report.Loads = append(report.Loads, load)
		}
	}
	ownKinds := make(map[string]messenger.KindWork, len(own.Kinds))
	for _, kind := range own.Kinds {
		ownKinds[kind.Rule] = kind
	}
	for index := range world.pattern.Classes {
		name := world.pattern.Classes[index].Name
		if kind, known := kinds[name]; known {
			report.Kinds = append(report.Kinds, kind.Minus(ownKinds[name]))
		}
	}
	return report
}
