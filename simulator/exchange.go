package simulator

import (
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// peers is the sender's name on the combined report that a node receives from all other nodes.
const peers definer.VM = "fleet"

// composeReports composes for each node one combined load report of all other nodes, as in a group.
func (simulation *simulation) composeReports() {
	totalLoads := make(map[definer.UpstreamStart]messenger.UpstreamLoad)
	totalWork := make(map[string]messenger.KindWork)
	var partsRead []messenger.PartsRead
	reports := make([]*messenger.LoadReport, 0, len(simulation.nodes))
	for _, node := range simulation.nodes {
		report := node.selector.Report(simulation.now)
		for _, load := range report.Loads {
			totalLoads[load.Start()] = load.Plus(totalLoads[load.Start()])
		}
		for _, work := range report.Kinds {
			totalWork[work.Rule] = work.Plus(totalWork[work.Rule])
		}
		partsRead = append(partsRead, report.Reads...)
		reports = append(reports, report)
	}
	simulation.reports = nil
	for index := range simulation.nodes {
		simulation.reports = append(simulation.reports, simulation.peerReport(totalLoads, totalWork, partsRead, reports[index]))
	}
}

// applyReports applies the latest reports.
func (simulation *simulation) applyReports() {
	for index, report := range simulation.reports {
		simulation.nodes[index].selector.ApplyReport(simulation.now, peers, report, len(simulation.nodes)-1)
	}
}

// peerReport returns the combined report of all nodes except the one whose report is own. Its
// Reads include those of the excluded node.
func (simulation *simulation) peerReport(totalLoads map[definer.UpstreamStart]messenger.UpstreamLoad, totalWork map[string]messenger.KindWork, partsRead []messenger.PartsRead, own *messenger.LoadReport) *messenger.LoadReport {
	report := &messenger.LoadReport{Nodes: len(simulation.nodes) - 1, Reads: partsRead}
	ownLoads := make(map[definer.UpstreamStart]messenger.UpstreamLoad, len(own.Loads))
	for _, load := range own.Loads {
		ownLoads[load.Start()] = load
	}
	for _, upstream := range simulation.upstreams {
		start := upstream.Start()
		if load := totalLoads[start].Minus(ownLoads[start]); load.InFlight > 0 {
			load.Upstream, load.Incarnation = start.Upstream, start.Incarnation
			report.Loads = append(report.Loads, load)
		}
	}
	ownWork := make(map[string]messenger.KindWork, len(own.Kinds))
	for _, work := range own.Kinds {
		ownWork[work.Rule] = work
	}
	for index := range simulation.scenario.Classes {
		name := simulation.scenario.Classes[index].Name
		if work, ok := totalWork[name]; ok {
			report.Kinds = append(report.Kinds, work.Minus(ownWork[name]))
		}
	}
	return report
}
