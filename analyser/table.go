package analyser

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Table is one table of an analysis.
type Table struct {
	name    string
	title   string
	columns []string
	// rows holds strings, whole numbers, float64 and nil for what is not known.
	rows [][]any
}

// Name returns the name by which the table is selected.
func (table *Table) Name() string { return table.name }

// builders returns the functions that make the tables, in the order in which they are output.
func (analyser *Analyser) builders() []func() Table {
	return []func() Table{
		analyser.inputTable, analyser.ruleTable, analyser.reasonTable, analyser.organisationTable, analyser.secondTable,
		analyser.refusalTable, analyser.sendFailureTable, analyser.useTable, analyser.groupTable, analyser.predictionTable,
		analyser.neighbourTable, analyser.exampleTable,
	}
}

// Tables returns the named tables, all without names. The error is of kind InvalidOption if there
// is no table of a name.
func (analyser *Analyser) Tables(names ...string) ([]Table, error) {
	var tables []Table
	known := TableNames()
	for _, name := range names {
		if !slices.Contains(known, name) {
			return nil, fail("tables", InvalidOption, "there is no table %q; the tables are %v", name, known)
		}
	}
	for index, build := range analyser.builders() {
		if len(names) == 0 || slices.Contains(names, known[index]) {
			tables = append(tables, build())
		}
	}
	return tables, nil
}

// TableNames returns the names of all tables, in the order of their output.
func TableNames() []string {
	return []string{
		"input", "rules", "reasons", "organisations", "seconds", "refusals", "sendFailures", "use", "groups", "predictions",
		"neighbours", "examples",
	}
}

func (analyser *Analyser) inputTable() Table {
	return Table{
		name: "input", title: "What was read (outOfOrder: lines that are left out of use, groups and neighbours)",
		columns: []string{"sources", "lines", "unreadable", "firstUnreadable", "events", "outOfOrder", "unfinished", "finishedWithoutSend", "from", "to"},
		rows: [][]any{{
			analyser.sources, analyser.lines, analyser.unreadable, analyser.firstUnreadable, analyser.events, analyser.outOfOrder, analyser.unfinished,
			analyser.finishedAlone, timeText(analyser.first, time.Millisecond), timeText(analyser.last, time.Millisecond),
		}},
	}
}

func (analyser *Analyser) ruleTable() Table {
	table := Table{
		name: "rules", title: "By rule: late by the first event alone, by a pause alone, by both (objectives: the latest; 0 is none)",
		columns: append([]string{"rule", "objectiveMs", "gapObjectiveMs"}, endingColumns()...),
	}
	for _, rule := range sortedKeys(analyser.tallies.rules) {
		tally := analyser.tallies.rules[rule]
		table.rows = append(table.rows, append([]any{rule, tally.objectives.First.Milliseconds(), tally.objectives.Pause.Milliseconds()}, tally.cells()...))
	}
	return table
}

func endingColumns() []string {
	return []string{
		"requests", "served", "lateFirst", "latePause", "lateBoth", "refused", "failed", "left",
		"lateFirstShare", "latePauseShare", "lateBothShare", "refusedShare", "failedShare",
	}
}

// cells returns the values of endingColumns. The shares of late requests are of those served.
func (tally *tally) cells() []any {
	served := tally.served()
	cells := []any{tally.requests, served}
	for _, ending := range []ending{lateFirst, latePause, lateBoth, refused, failed, left} {
		cells = append(cells, tally.endings[ending])
	}
	for _, ending := range []ending{lateFirst, latePause, lateBoth} {
		cells = append(cells, share(tally.endings[ending], served))
	}
	return append(cells, share(tally.endings[refused], tally.requests), share(tally.endings[failed], tally.requests))
}

func (analyser *Analyser) reasonTable() Table {
	table := Table{
		name: "reasons", title: "Not served, by reason (reached: at least one send may have arrived)",
		columns: []string{"reason", "status", "mayHaveRun", "reached", "requests"},
	}
	outcomes := analyser.tallies.outcomes
	for _, outcome := range byCount(outcomes, func(one, other outcome) int {
		return cmp.Or(cmp.Compare(one.reason, other.reason), cmp.Compare(one.status, other.status), compareBool(one.mayHaveRun, other.mayHaveRun), compareBool(one.reached, other.reached))
	}) {
		table.rows = append(table.rows, []any{outcome.reason, outcome.status, outcome.mayHaveRun, outcome.reached, outcomes[outcome]})
	}
	return table
}

func (analyser *Analyser) organisationTable() Table {
	table := Table{name: "organisations", title: "By organisation", columns: append([]string{"organisation"}, endingColumns()...)}
	for _, organisation := range sortedKeys(analyser.tallies.organisations) {
		table.rows = append(table.rows, append([]any{organisation}, analyser.tallies.organisations[organisation].cells()...))
	}
	return table
}

func (analyser *Analyser) secondTable() Table {
	table := Table{name: "seconds", title: "By second of the arrival, counted from the first line", columns: append([]string{"second", "time"}, endingColumns()...)}
	for _, second := range sortedKeys(analyser.tallies.seconds) {
		table.rows = append(table.rows, append(analyser.secondCells(second), analyser.tallies.seconds[second].cells()...))
	}
	return table
}

// secondCells returns a second's offset from that of the first line, and its time.
func (analyser *Analyser) secondCells(second int64) []any {
	return []any{analyser.offset(second), timeText(second*int64(time.Second), time.Second)}
}

// offset returns how many seconds a second is after that of the first line.
func (analyser *Analyser) offset(second int64) int64 {
	return second - analyser.first/int64(time.Second)
}

func (analyser *Analyser) refusalTable() Table {
	table := Table{
		name: "refusals", title: "Not served, by second of the arrival, reason and organisation",
		columns: []string{"second", "time", "ending", "reason", "organisation", "requests"},
	}
	refusals := analyser.tallies.refusals
	for _, key := range slices.SortedFunc(maps.Keys(refusals), func(one, other refusal) int {
		return cmp.Or(cmp.Compare(one.second, other.second), cmp.Compare(one.reason, other.reason),
			cmp.Compare(one.organisation, other.organisation), cmp.Compare(one.ending, other.ending))
	}) {
		table.rows = append(table.rows, append(analyser.secondCells(key.second), string(key.ending), key.reason, key.organisation, refusals[key]))
	}
	return table
}

func (analyser *Analyser) sendFailureTable() Table {
	table := Table{
		name: "sendFailures", title: "Failed sends, most frequent first (presence refused: the upstream no longer listens)",
		columns: []string{"upstream", "reason", "presence", "sends"},
	}
	for _, key := range byCount(analyser.failures, func(one, other failure) int {
		return cmp.Or(cmp.Compare(one.upstream, other.upstream), cmp.Compare(one.reason, other.reason), cmp.Compare(one.presence, other.presence))
	}) {
		table.rows = append(table.rows, []any{key.upstream, key.reason, key.presence, analyser.failures[key]})
	}
	return analyser.cut(table)
}

func (analyser *Analyser) useTable() Table {
	table := Table{
		name: "use", title: "Use of upstreams by second of the send and rule (mean: over all upstreams that the log has for the rule)",
		columns: []string{"second", "time", "rule", "sends", "upstreams", "ofUpstreams", "busiest", "busiestSends", "mean", "busiestOverMean"},
	}
	for _, key := range analyser.spread.keys() {
		sum, all := analyser.spread.uses[key], len(analyser.spread.targets[key.rule])
		table.rows = append(table.rows, append(analyser.secondCells(key.second), key.rule, sum.sends, sum.upstreams, all,
			sum.busiestName, sum.busiest, round(float64(sum.sends)/float64(all)), round(analyser.spread.unevenness(key))))
	}
	return table
}

func (analyser *Analyser) groupTable() Table {
	table := Table{
		name: "groups", title: "Requests by how many of their rule go to one upstream within a window of " + analyser.window.String(),
		columns: []string{"rule", "group", "requests", "share"},
	}
	for _, rule := range sortedKeys(analyser.spread.groups) {
		groups := analyser.spread.groups[rule]
		for index, name := range groupNames() {
			table.rows = append(table.rows, []any{rule, name, groups[index], share(groups[index], total(groups[:]))})
		}
	}
	return table
}

func (analyser *Analyser) predictionTable() Table {
	table := Table{
		name: "predictions", title: "Actual over predicted time from the send to the first event, most deviating median first (served with one send)",
		columns: []string{"upstream", "requests", "medianRatio", "p90Ratio"},
	}
	deviation := func(upstream string) float64 { return math.Abs(math.Log(analyser.predictions[upstream].quantile(0.5))) }
	for _, upstream := range slices.SortedFunc(maps.Keys(analyser.predictions), func(one, other string) int {
		return cmp.Or(cmp.Compare(deviation(other), deviation(one)), cmp.Compare(one, other))
	}) {
		prediction := analyser.predictions[upstream]
		table.rows = append(table.rows, []any{upstream, prediction.count, round(prediction.quantile(0.5)), round(prediction.quantile(0.9))})
	}
	return analyser.cut(table)
}

func (analyser *Analyser) neighbourTable() Table {
	table := Table{
		name: "neighbours", title: "Late by a pause, by the requests of other rules sent to the upstream from " + analyser.before.String() + " before the send to the end (served with one send)",
		columns: []string{"rule", "others", "served", "lateByPause", "share"},
	}
	for _, rule := range sortedKeys(analyser.neighbours.pauses) {
		for index, name := range otherNames() {
			group := analyser.neighbours.pauses[rule][index]
			table.rows = append(table.rows, []any{rule, name, group.served, group.late, share(group.late, group.served)})
		}
	}
	return table
}

func (analyser *Analyser) exampleTable() Table {
	table := Table{
		name: "examples", title: "Requests to look up, by how they ended; late ones by how late they were (others: as in neighbours)",
		columns: []string{
			"ending", "rule", "request", "arrival", "organisation", "reason", "status", "sends", "upstream", "firstMs", "expectedMs", "gapMs", "totalMs",
			"others", "lastFailedSend",
		},
	}
	for _, key := range slices.SortedFunc(maps.Keys(analyser.samples), func(one, other sampleKey) int {
		return cmp.Or(cmp.Compare(one.ending, other.ending), cmp.Compare(one.reason, other.reason), cmp.Compare(one.rule, other.rule))
	}) {
		for _, sample := range analyser.samples[key] {
			table.rows = append(table.rows, sample.row())
		}
	}
	return table
}

// cut limits a table by upstream to the rows asked for.
func (analyser *Analyser) cut(table Table) Table {
	if analyser.top > 0 && len(table.rows) > analyser.top {
		table.title += fmt.Sprintf("; %d of %d rows", analyser.top, len(table.rows))
		table.rows = table.rows[:analyser.top]
	}
	return table
}

// byCount returns the keys with the largest counts first, those of equal counts by the order.
func byCount[Key comparable](counts map[Key]int, order func(one, other Key) int) []Key {
	return slices.SortedFunc(maps.Keys(counts), func(one, other Key) int {
		return cmp.Or(cmp.Compare(counts[other], counts[one]), order(one, other))
	})
}

func sortedKeys[Key cmp.Ordered, Value any](values map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(values))
}

func compareBool(one, other bool) int {
	switch {
	case one == other:
		return 0
	case other:
		return -1
	default:
		return 1
	}
}

func total(counts []int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}

// share returns a part of the whole, nil if the whole is 0.
func share(part, whole int) any {
	if whole == 0 {
		return nil
	}
	return round(float64(part) / float64(whole))
}

// round rounds to four decimals.
func round(value float64) float64 { return math.Round(value*1e4) / 1e4 }

// timeText returns a time in nanoseconds since 1970 as UTC; empty for 0.
func timeText(at int64, precision time.Duration) string {
	if at == 0 {
		return ""
	}
	layout := "2006-01-02T15:04:05Z"
	if precision < time.Second {
		layout = "2006-01-02T15:04:05.000Z"
	}
	return time.Unix(0, at).UTC().Format(layout)
}
