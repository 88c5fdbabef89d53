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

// noValue stands for a number that cannot be told yet.
const noValue = "-"

// WriteJSON writes the report as one JSON object.
func (report Report) WriteJSON(writer io.Writer) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// WriteText writes the report as tables.
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

// burnTable writes how the classes stand against their targets.
func (report Report) burnTable(text *bytes.Buffer) {
	fmt.Fprintf(text, "class\ttier\ttarget\tattained\tbudget left\tburn %s\tstate\n", strings.Join(windowNames(report), "\tburn "))
	for _, class := range report.Classes {
		fmt.Fprintf(text, "%s\t%d\t%s\t%s\t%s\t%s\t%s\n", class.Class, class.Tier, percent(class.Target), share(class.Attainment), class.budget(), strings.Join(class.rates(), "\t"), class.State)
	}
}

// workTable writes the goodput, the waste and the latencies of the classes.
func (report Report) workTable(text *bytes.Buffer) {
	fmt.Fprintln(text, "class\trequests\tcomplete\tgoodput/s\ttokens/s\twasted\tretries\tfirst token p95\tbetween tokens p95\ttotal p95\trefused")
	for _, class := range report.Classes {
		fmt.Fprintf(text, "%s\t%d\t%d\t%.2f\t%.1f\t%s\t%d\t%s\t%s\t%s\t%s\n", class.Class, class.Total.Requests, class.Total.Complete,
			class.Goodput.RequestsPerSecond, class.Goodput.TokensPerSecond, percent(class.WastedShare), class.Total.Retries,
			latency(class.FirstToken.P95Ms, class.Targets.FirstTokenMs), latency(class.BetweenTokens.P95Ms, class.Targets.BetweenTokensMs),
			latency(class.Duration.P95Ms, class.Targets.TotalMs), class.refusals())
	}
}

// heading tells what the report covers.
func (report Report) heading() string {
	if len(report.Nodes) == 0 {
		return "No node could be asked." + report.absence()
	}
	return fmt.Sprintf("%s, counted since %s by %s: %s.%s", report.TakenAt.UTC().Format(time.RFC3339), report.Since.UTC().Format(time.RFC3339),
		plural(len(report.Nodes), "node"), join(report.Nodes), report.absence())
}

// absence names the nodes that the report is without.
func (report Report) absence() string {
	if len(report.Missing) == 0 {
		return ""
	}
	return fmt.Sprintf(" Without %s that could not be asked: %s.", plural(len(report.Missing), "node"), join(report.Missing))
}

func plural(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}

func join(nodes []definer.VM) string {
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

// rates returns the burn rates of the windows.
func (report ClassReport) rates() []string {
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

func (report ClassReport) budget() string {
	if report.Attainment == nil {
		return noValue
	}
	return percent(report.BudgetLeft)
}

// refusals returns the reasons and their counts, most frequent first.
func (report ClassReport) refusals() string {
	var parts []string
	for _, reason := range sortedReasons(report.Refused) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, report.Refused[reason]))
	}
	if len(parts) == 0 {
		return noValue
	}
	return strings.Join(parts, ", ")
}

func percent(share float64) string { return fmt.Sprintf("%.2f%%", share*100) }

func share(attainment *float64) string {
	if attainment == nil {
		return noValue
	}
	return percent(*attainment)
}

// latency returns a time and its target in milliseconds.
func latency(ms float64, target int64) string {
	switch {
	case ms == 0:
		return noValue
	case target == 0:
		return fmt.Sprintf("%.0f ms", ms)
	default:
		return fmt.Sprintf("%.0f of %d ms", ms, target)
	}
}
