package reporter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"limpetcleat/definer"
)

// noValue is printed in place of a number that is not known yet.
const noValue = "-"

// WriteJSON writes the report as one JSON object.
func (report Report) WriteJSON(writer io.Writer) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// WriteText writes the report as plain-text tables.
func (report Report) WriteText(writer io.Writer) error {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s\n\n", report.heading())
	report.burnTable(&text)
	fmt.Fprintln(&text)
	report.workTable(&text)
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	if _, err := table.Write(text.Bytes()); err != nil {
		return fail("text", Unwritable, "%w", err)
	}
	return table.Flush()
}

// burnTable writes a table of the attainment, the burn rates and the state of each class.
func (report Report) burnTable(text *bytes.Buffer) {
	fmt.Fprintf(text, "class\ttier\ttarget\tattained\tbudget left\tburn %s\tstate\n", strings.Join(windowNames(report), "\tburn "))
	for _, class := range report.Classes {
		fmt.Fprintf(text, "%s\t%d\t%s\t%s\t%s\t%s\t%s\n", class.Class, class.Tier, percentText(class.Target), attainmentText(class.Attainment), class.budgetText(), strings.Join(class.burnRateTexts(), "\t"), class.State)
	}
}

// workTable writes a table of the goodput, the wasted work and the latencies of each
// class.
func (report Report) workTable(text *bytes.Buffer) {
	fmt.Fprintln(text, "class\trequests\tcomplete\tgoodput/s\ttokens/s\twasted\tretries\tfirst token p95\tbetween tokens p95\ttotal p95\trefused")
	for _, class := range report.Classes {
		fmt.Fprintf(text, "%s\t%d\t%d\t%.2f\t%.1f\t%s\t%d\t%s\t%s\t%s\t%s\n", class.Class, class.Total.Requests, class.Total.Complete,
			class.Goodput.RequestsPerSecond, class.Goodput.TokensPerSecond, percentText(class.WastedShare), class.Total.Retries,
			latencyText(class.FirstToken.P95Ms, class.Targets.FirstTokenMs), latencyText(class.BetweenTokens.P95Ms, class.Targets.BetweenTokensMs),
			latencyText(class.Duration.P95Ms, class.Targets.TotalMs), class.refusalText())
	}
}

// heading returns the line that names the time and the nodes that the report covers.
func (report Report) heading() string {
	if len(report.Nodes) == 0 {
		return "No node could be asked." + report.missingNotice()
	}
	return fmt.Sprintf("%s, counted since %s by %s: %s.%s", report.TakenAt.UTC().Format(time.RFC3339), report.Since.UTC().Format(time.RFC3339),
		plural(len(report.Nodes), "node"), joinNames(report.Nodes), report.missingNotice())
}

// missingNotice returns the sentence that names the nodes in Missing, or "" if there are
// none.
func (report Report) missingNotice() string {
	if len(report.Missing) == 0 {
		return ""
	}
	return fmt.Sprintf(" Without %s that could not be asked: %s.", plural(len(report.Missing), "node"), joinNames(report.Missing))
}

func plural(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}

func joinNames(nodes []definer.VM) string {
	names := make([]string, 0, len(nodes))
	for _, node := range nodes {
		names = append(names, string(node))
	}
	return strings.Join(names, ", ")
}

func windowNames(report Report) []string {
	var names []string
	if len(report.Classes) > 0 {
		for _, window := range report.Classes[0].Windows {
			names = append(names, window.Name)
		}
	}
	return names
}

// burnRateTexts returns the formatted burn rate of each window.
func (report ClassReport) burnRateTexts() []string {
	var rates []string
	for _, window := range report.Windows {
		if window.Attainment == nil {
			rates = append(rates, noValue)
			continue
		}
		rates = append(rates, fmt.Sprintf("%.2f", window.BurnRate))
	}
	return rates
}

func (report ClassReport) budgetText() string {
	if report.Attainment == nil {
		return noValue
	}
	return percentText(report.BudgetLeft)
}

// refusalText returns the refusal reasons with their counts, the most frequent first.
func (report ClassReport) refusalText() string {
	var parts []string
	for _, reason := range sortedReasons(report.Refused) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, report.Refused[reason]))
	}
	if len(parts) == 0 {
		return noValue
	}
	return strings.Join(parts, ", ")
}

func percentText(share float64) string { return fmt.Sprintf("%.2f%%", share*100) }

func attainmentText(attainment *float64) string {
	if attainment == nil {
		return noValue
	}
	return percentText(*attainment)
}

// latencyText formats a latency and its target, both in milliseconds; a latency of 0
// means that there is no value, a target of 0 that there is no target.
func latencyText(ms float64, target int64) string {
	switch {
	case ms == 0:
		return noValue
	case target == 0:
		return fmt.Sprintf("%.0f ms", ms)
	default:
		return fmt.Sprintf("%.0f of %d ms", ms, target)
	}
}
