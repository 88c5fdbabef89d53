package reporter

import (
	"cmp"
	"html/template"
	"io"
	"maps"
	"slices"

	"limpetcleat/messenger"
)

// pageTemplate is the template of the HTML report. html/template escapes all values
// except the plots, whose texts the plot library escapes.
const pageTemplate = `<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8"/>
<title>limpetcleat: service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; margin-bottom: 2em; }
th, td { border: 1px solid #ccc; padding: 0.3em 0.6em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
.page { background: #f4b6b6; }
.ticket { background: #f9e2a6; }
.ok { background: #d3ecd0; }
svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>{{.Heading}}</p>
<table>
<tr><th>class</th><th>tier</th><th>target</th><th>attained</th><th>budget left</th>{{range .Windows}}<th>burn {{.}}</th>{{end}}<th>state</th></tr>
{{range .Classes}}<tr><td>{{.Class}}</td><td>{{.Tier}}</td><td>{{percent .Target}}</td><td>{{share .Attainment}}</td><td>{{budget .}}</td>{{range rates .}}<td>{{.}}</td>{{end}}<td class="{{.State}}">{{.State}}</td></tr>
{{end}}</table>
<table>
<tr><th>class</th><th>requests</th><th>complete</th><th>goodput/s</th><th>tokens/s</th><th>wasted</th><th>retries</th><th>first token p95</th><th>between tokens p95</th><th>total p95</th><th>refused</th></tr>
{{range .Classes}}<tr><td>{{.Class}}</td><td>{{.Total.Requests}}</td><td>{{.Total.Complete}}</td><td>{{printf "%.2f" .Goodput.RequestsPerSecond}}</td><td>{{printf "%.1f" .Goodput.TokensPerSecond}}</td><td>{{percent .WastedShare}}</td><td>{{.Total.Retries}}</td><td>{{latency .FirstToken.P95Ms .Targets.FirstTokenMs}}</td><td>{{latency .BetweenTokens.P95Ms .Targets.BetweenTokensMs}}</td><td>{{latency .Duration.P95Ms .Targets.TotalMs}}</td><td>{{refusals .}}</td></tr>
{{end}}</table>
{{range .Plots}}<figure>{{.}}</figure>
{{end}}</body>
</html>
`

// pageData is the data of pageTemplate.
type pageData struct {
	Heading string
	Windows []string
	Classes []ClassReport
	Plots   []template.HTML
}

// WriteHTML writes the report as a self-contained HTML page with plots.
func (report Report) WriteHTML(writer io.Writer) error {
	functions := template.FuncMap{
		"percent":  percentText,
		"share":    attainmentText,
		"latency":  latencyText,
		"budget":   ClassReport.budgetText,
		"rates":    ClassReport.burnRateTexts,
		"refusals": ClassReport.refusalText,
	}
	parsed, err := template.New("page").Funcs(functions).Parse(pageTemplate)
	if err != nil {
		return fail("page", Unwritable, "%w", err)
	}
	plots, err := report.plots()
	if err != nil {
		return err
	}
	page := pageData{Heading: report.heading(), Windows: windowNames(report), Classes: report.Classes}
	for _, plot := range plots {
		// This conversion is safe: the plot library escapes the texts of a plot.
		page.Plots = append(page.Plots, template.HTML(plot)) // #nosec G203
	}
	if err := parsed.Execute(writer, page); err != nil {
		return fail("page", Unwritable, "%w", err)
	}
	return nil
}

// sortedReasons returns the reasons in descending order of frequency, and by name where
// the frequency is equal.
func sortedReasons(refused map[messenger.RefusalReason]uint64) []messenger.RefusalReason {
	return slices.SortedFunc(maps.Keys(refused), func(a, b messenger.RefusalReason) int {
		return cmp.Or(cmp.Compare(refused[b], refused[a]), cmp.Compare(a, b))
	})
}
