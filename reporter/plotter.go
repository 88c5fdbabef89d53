package reporter

import (
	"bytes"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotHeight = 3 * vg.Inch
	plotWidth  = 8 * vg.Inch
	barWidth   = 16
	// legendShare is the width of the space for the legend to the right of the bars, as
	// a share of the width of the bars.
	legendShare = 0.12
)

// plots returns the plots of a report as SVG elements. A report without classes has no
// plots.
func (report Report) plots() ([]string, error) {
	if len(report.Classes) == 0 {
		return nil, nil
	}
	var drawn []string
	for _, draw := range []func() (*plot.Plot, error){report.attainmentPlot, report.burnPlot, report.tokenPlot} {
		plot, err := draw()
		if err != nil {
			return nil, fail("plot", Unplottable, "%w", err)
		}
		svg, err := renderSVG(plot)
		if err != nil {
			return nil, fail("plot", Unplottable, "%w", err)
		}
		drawn = append(drawn, svg)
	}
	return drawn, nil
}

// renderSVG returns a plot as one SVG element that can be embedded in an HTML page.
func renderSVG(plot *plot.Plot) (string, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	plot.Draw(draw.New(canvas))
	var buffer bytes.Buffer
	if _, err := canvas.WriteTo(&buffer); err != nil {
		return "", err
	}
	svg := buffer.Bytes()
	return string(svg[max(bytes.Index(svg, []byte("<svg")), 0):]), nil
}

// newPlot returns an empty plot with the classes along its x axis.
func (report Report) newPlot(title, y string) *plot.Plot {
	plot := plot.New()
	plot.Title.Text = title
	plot.Y.Label.Text = y
	plot.Legend.Top = true
	var names []string
	for _, class := range report.Classes {
		names = append(names, string(class.Class))
	}
	plot.NominalX(names...)
	count := float64(len(names))
	plot.X.Min, plot.X.Max = -0.5, count-0.5+count*legendShare
	plot.Add(plotter.NewGrid())
	return plot
}

// barSeries is a series of a bar chart, with one value for each class.
type barSeries struct {
	name  string
	value func(ClassReport) float64
}

// addBars adds the series to a plot as grouped bars, next to each other for each class.
func (report Report) addBars(plot *plot.Plot, rows ...barSeries) error {
	for index, row := range rows {
		var values plotter.Values
		for _, class := range report.Classes {
			values = append(values, row.value(class))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(index)
		bars.LineStyle.Color = color.Transparent
		bars.Offset = vg.Points(barWidth * (float64(index) - float64(len(rows)-1)/2))
		plot.Add(bars)
		plot.Legend.Add(row.name, bars)
	}
	return nil
}

// attainmentPlot shows the attainment and the target of each class.
func (report Report) attainmentPlot() (*plot.Plot, error) {
	plot := report.newPlot("Attainment in the longest window", "% of requests")
	plot.Y.Min, plot.Y.Max = 0, 100
	return plot, report.addBars(plot,
		barSeries{"attained", func(class ClassReport) float64 {
			if class.Attainment == nil {
				return 0
			}
			return 100 * *class.Attainment
		}},
		barSeries{"target", func(class ClassReport) float64 { return 100 * class.Target }},
	)
}

// burnPlot shows the burn rate of each class in each window.
func (report Report) burnPlot() (*plot.Plot, error) {
	plot := report.newPlot("Burn rate (1 uses up the budget just in time)", "burn rate")
	plot.Y.Min = 0
	var rows []barSeries
	for index, window := range report.Classes[0].Windows {
		rows = append(rows, barSeries{window.Name, func(class ClassReport) float64 { return class.Windows[index].BurnRate }})
	}
	return plot, report.addBars(plot, rows...)
}

// tokenPlot shows the useful and the wasted tokens of each class.
func (report Report) tokenPlot() (*plot.Plot, error) {
	plot := report.newPlot("Work since the nodes began to count", "tokens")
	plot.Y.Min = 0
	return plot, report.addBars(plot,
		barSeries{"useful", func(class ClassReport) float64 { return float64(class.Total.UsefulTokens) }},
		barSeries{"wasted", func(class ClassReport) float64 { return float64(class.Total.WastedTokens) }},
	)
}
