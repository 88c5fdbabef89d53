package recorder

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramUnit is the finest difference between two durations.
	histogramUnit = 100 * time.Microsecond
	// histogramMax is the longest duration told apart from longer ones.
	histogramMax = 2 * time.Hour
	// histogramDigits is the number of digits that are kept.
	histogramDigits = 2
	// histogramSections times sectionLength is how far back the durations go.
	histogramSections = 4
	sectionLength     = 15 * time.Minute
)

// durations keeps the durations of about the last hour.
type durations struct {
	histogram *hdrhistogram.WindowedHistogram
	// section numbers the section in use since the epoch.
	section int64
}

func newDurations(now time.Time) *durations {
	histogram := hdrhistogram.NewWindowed(histogramSections, 1, int64(histogramMax/histogramUnit), histogramDigits)
	return &durations{histogram: histogram, section: sectionAt(now)}
}

func sectionAt(now time.Time) int64 { return now.UnixNano() / int64(sectionLength) }

// move drops the sections that are too old at a time.
func (durations *durations) move(now time.Time) {
	passed := sectionAt(now) - durations.section
	if passed <= 0 {
		return
	}
	for range min(passed, histogramSections) {
		durations.histogram.Rotate()
	}
	durations.section = sectionAt(now)
}

// put adds a duration; one beyond the longest counts as the longest.
func (durations *durations) put(now time.Time, duration time.Duration) {
	durations.move(now)
	units := int64(min(max(duration, 0), histogramMax) / histogramUnit)
	// The value is within the range, so it cannot be rejected.
	_ = durations.histogram.Current.RecordValue(units)
}

// distribution returns how the durations are spread.
func (durations *durations) distribution(now time.Time) Distribution {
	durations.move(now)
	return describe(durations.histogram.Merge())
}

// describe returns the distribution of a histogram in histogramUnit.
func describe(histogram *hdrhistogram.Histogram) Distribution {
	at := func(percentile float64) float64 { return unitsToMs(histogram.ValueAtPercentile(percentile)) }
	distribution := Distribution{
		Count: uint64(histogram.TotalCount()),
		P50Ms: at(50),
		P90Ms: at(90),
		P95Ms: at(95),
		P99Ms: at(99),
		MaxMs: unitsToMs(histogram.Max()),
	}
	for _, bar := range histogram.Distribution() {
		if bar.Count > 0 {
			distribution.Bars = append(distribution.Bars, Bar{Units: bar.From, Count: bar.Count})
		}
	}
	return distribution
}

func unitsToMs(units int64) float64 {
	return float64(units) * float64(histogramUnit) / float64(time.Millisecond)
}

// Merge returns the distribution of several nodes' durations together.
func Merge(distributions ...Distribution) Distribution {
	histogram := hdrhistogram.New(1, int64(histogramMax/histogramUnit), histogramDigits)
	for _, distribution := range distributions {
		for _, bar := range distribution.Bars {
			// A bar out of range came from another version and is left out.
			_ = histogram.RecordValues(bar.Units, bar.Count)
		}
	}
	return describe(histogram)
}
