package recorder

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramUnit is the resolution of the recorded durations.
	histogramUnit = 100 * time.Microsecond
	// histogramMax is the longest duration that is recorded; longer ones are recorded as
	// histogramMax.
	histogramMax = 2 * time.Hour
	// histogramDigits is the number of significant decimal digits that are kept.
	histogramDigits = 2
	// histogramSections is the number of sections of a durationHistogram. Together they
	// cover histogramSections times sectionLength.
	histogramSections = 4
	sectionLength     = 15 * time.Minute
)

// durationHistogram is a sliding-window histogram of the durations of about the last
// hour. The window consists of sections; the oldest one is dropped as a new one begins.
type durationHistogram struct {
	histogram *hdrhistogram.WindowedHistogram
	// section is the number of the current section, counted from the Unix epoch.
	section int64
}

func newDurationHistogram(now time.Time) *durationHistogram {
	histogram := hdrhistogram.NewWindowed(histogramSections, 1, int64(histogramMax/histogramUnit), histogramDigits)
	return &durationHistogram{histogram: histogram, section: sectionNumber(now)}
}

func sectionNumber(now time.Time) int64 { return now.UnixNano() / int64(sectionLength) }

// rotate drops the sections that have left the window at now.
func (durationHistogram *durationHistogram) rotate(now time.Time) {
	passed := sectionNumber(now) - durationHistogram.section
	if passed <= 0 {
		return
	}
	for range min(passed, histogramSections) {
		durationHistogram.histogram.Rotate()
	}
	durationHistogram.section = sectionNumber(now)
}

// record adds a duration. Durations above histogramMax count as histogramMax, negative
// ones as 0.
func (durationHistogram *durationHistogram) record(now time.Time, duration time.Duration) {
	durationHistogram.rotate(now)
	units := int64(min(max(duration, 0), histogramMax) / histogramUnit)
	// The value is within the histogram's range, so RecordValue cannot fail.
	_ = durationHistogram.histogram.Current.RecordValue(units)
}

// distribution returns the distribution of the durations in the window that ends at now.
func (durationHistogram *durationHistogram) distribution(now time.Time) Distribution {
	durationHistogram.rotate(now)
	return distributionOf(durationHistogram.histogram.Merge())
}

// distributionOf returns the distribution of a histogram whose values are in units of
// histogramUnit.
func distributionOf(histogram *hdrhistogram.Histogram) Distribution {
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

// Merge returns the distribution of the durations of several nodes taken together. It
// computes the result from the bars alone.
func Merge(distributions ...Distribution) Distribution {
	histogram := hdrhistogram.New(1, int64(histogramMax/histogramUnit), histogramDigits)
	for _, distribution := range distributions {
		for _, bar := range distribution.Bars {
			// A bar out of range comes from a node of another version and is ignored.
			_ = histogram.RecordValues(bar.Units, bar.Count)
		}
	}
	return distributionOf(histogram)
}
