package analyser

import (
	"cmp"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// PlotFormat is the format of the file of a plot.
type PlotFormat string

// The formats of plots.
const (
	SVG PlotFormat = "svg"
	PNG PlotFormat = "png"
)

const (
	plotWidth   = 10 * vg.Inch
	panelHeight = 3 * vg.Inch
	// maxPlottedRules bounds the rules in a panel, so that their colours differ; the rules
	// with the most requests are drawn.
	maxPlottedRules = 6
	// maxDots is above how many points the points of a line are not marked.
	maxDots = 100
	// legendShare is the width of the space for the legend to the right of the lines, as a
	// share of the width of the lines.
	legendShare = 0.15
)

// series is a line in a panel.
type series struct {
	name   string
	points plotter.XYs
}

// WritePlot writes four panels: late, refused and failed requests by second, how uneven the use of
// upstreams was by second, the sizes of groups, and the share late by a pause by the requests of
// other rules.
func (analyser *Analyser) WritePlot(writer io.Writer, format PlotFormat) error {
	panels := []func() (*plot.Plot, error){analyser.endingPlot, analyser.usePlot, analyser.groupPlot, analyser.neighbourPlot}
	height := panelHeight * vg.Length(len(panels))
	var canvas vg.CanvasWriterTo
	switch format {
	case SVG:
		canvas = vgsvg.New(plotWidth, height)
	case PNG:
		canvas = vgimg.PngCanvas{Canvas: vgimg.New(plotWidth, height)}
	default:
		return fail("plot", InvalidOption, "the format is %q; allowed is %s or %s", format, SVG, PNG)
	}
	area := draw.New(canvas)
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadX: vg.Points(8), PadY: vg.Points(8)}
	for row, panel := range panels {
		drawn, err := panel()
		if err != nil {
			return fail("plot", Unwritable, "%w", err)
		}
		drawn.Draw(tiles.At(area, 0, row))
	}
	if _, err := canvas.WriteTo(writer); err != nil {
		return fail("plot", Unwritable, "%w", err)
	}
	return nil
}

// newPanel returns a plot of the lines; x holds the names of the values of x, none if they are
// numbers.
func newPanel(title, label string, x []string, lines []series) (*plot.Plot, error) {
	panel := plot.New()
	panel.Title.Text, panel.Y.Label.Text = title, label
	panel.Y.Min = 0
	panel.Legend.Top = true
	panel.Add(plotter.NewGrid())
	if len(x) > 0 {
		panel.NominalX(x...)
	} else {
		panel.X.Label.Text = "seconds from the first line"
	}
	for index, line := range lines {
		if len(line.points) == 0 {
			continue
		}
		drawn, dots, err := plotter.NewLinePoints(line.points)
		if err != nil {
			return nil, err
		}
		drawn.Color, dots.Color = plotutil.Color(index), plotutil.Color(index)
		dots.Shape = plotutil.Shape(index)
		panel.Add(drawn)
		if len(line.points) <= maxDots {
			panel.Add(dots)
		}
		panel.Legend.Add(line.name, drawn)
	}
	panel.X.Max += legendShare * (panel.X.Max - panel.X.Min)
	return panel, nil
}

func (analyser *Analyser) endingPlot() (*plot.Plot, error) {
	var lines []series
	for _, ending := range []ending{lateFirst, latePause, lateBoth, refused, failed} {
		line := series{name: string(ending)}
		for _, second := range sortedKeys(analyser.tallies.seconds) {
			line.points = append(line.points, plotter.XY{X: float64(analyser.offset(second)), Y: float64(analyser.tallies.seconds[second].endings[ending])})
		}
		lines = append(lines, line)
	}
	return newPanel("Late, refused and failed requests, by second of the arrival", "requests", nil, lines)
}

func (analyser *Analyser) usePlot() (*plot.Plot, error) {
	var lines []series
	keys := analyser.spread.keys()
	for _, rule := range analyser.plottedRules() {
		line := series{name: rule}
		for _, key := range keys {
			if key.rule == rule {
				line.points = append(line.points, plotter.XY{X: float64(analyser.offset(key.second)), Y: analyser.spread.unevenness(key)})
			}
		}
		lines = append(lines, line)
	}
	return newPanel("Requests to the busiest upstream over the mean, by second", "busiest over mean", nil, lines)
}

func (analyser *Analyser) groupPlot() (*plot.Plot, error) {
	var lines []series
	for _, rule := range analyser.plottedRules() {
		line := series{name: rule}
		groups := analyser.spread.groups[rule]
		for index, count := range groups {
			line.points = append(line.points, plotter.XY{X: float64(index), Y: float64(count) / float64(total(groups[:]))})
		}
		lines = append(lines, line)
	}
	return newPanel("Requests by how many of their rule go to one upstream within "+analyser.window.String(), "share of requests", groupNames(), lines)
}

func (analyser *Analyser) neighbourPlot() (*plot.Plot, error) {
	var lines []series
	for _, rule := range analyser.plottedRules() {
		line := series{name: rule}
		if pauses := analyser.neighbours.pauses[rule]; pauses != nil {
			for index, group := range pauses {
				if group.served > 0 {
					line.points = append(line.points, plotter.XY{X: float64(index), Y: float64(group.late) / float64(group.served)})
				}
			}
		}
		lines = append(lines, line)
	}
	return newPanel("Late by a pause, by requests of other rules at the upstream", "share of requests", otherNames(), lines)
}

// plottedRules returns the rules whose requests were sent most, the most frequent first.
func (analyser *Analyser) plottedRules() []string {
	rules := sortedKeys(analyser.spread.groups)
	slices.SortStableFunc(rules, func(one, other string) int {
		return cmp.Compare(total(analyser.spread.groups[other][:]), total(analyser.spread.groups[one][:]))
	})
	return rules[:min(len(rules), maxPlottedRules)]
}
