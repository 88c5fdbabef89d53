package estimator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"limpetcleat/definer"
)

const (
	// longest is the longest answer that is told apart, in tokens.
	longest = 1 << 17
	// figures is the precision of a histogram in decimal digits.
	figures = 1
	// usual is what is expected before anything was learnt, in tokens.
	usual = 256
	// trusted is the number of answers after which the usual length no longer
	// counts.
	trusted = 8
	// window is the number of answers after which the older half is given up.
	window = 512
	// half is the age after which a histogram of few answers is given up too.
	half = 10 * time.Minute
	// most bounds the number of pairs of class and model that are kept.
	most = 1024
)

// key is what lengths are learnt by.
type key struct {
	class definer.ClassName
	model string
}

// Estimator holds the lengths of answers. Its results depend only on what it
// was told.
type Estimator struct {
	// lengths holds at most a bounded number of pairs.
	lengths map[key]*lengths
}

// lengths are the answers of one class and model. Answers go into both
// histograms; after a window the older is given up, so that estimates follow
// the last one to two windows.
type lengths struct {
	older *hdrhistogram.Histogram
	newer *hdrhistogram.Histogram
	// sum and count are of the answers in older, in tokens.
	sum   float64
	count float64
	// newerSum is the sum of the answers in newer.
	newerSum float64
	// since is when newer was begun.
	since time.Time
}

// New returns an estimator that has learnt nothing.
func New() *Estimator {
	return &Estimator{lengths: make(map[key]*lengths)}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, figures) }

// Learn takes in the length of one finished answer.
func (estimator *Estimator) Learn(now time.Time, class definer.ClassName, model string, tokens int) {
	at := key{class: class, model: model}
	found, ok := estimator.lengths[at]
	if !ok {
		if len(estimator.lengths) >= most {
			return
		}
		found = &lengths{older: newHistogram(), newer: newHistogram(), since: now}
		estimator.lengths[at] = found
	}
	found.learn(now, tokens)
}

func (lengths *lengths) learn(now time.Time, tokens int) {
	if lengths.newer.TotalCount() >= window || now.Sub(lengths.since) >= half {
		lengths.turn(now)
	}
	value := int64(min(max(tokens, 1), longest))
	_ = lengths.older.RecordValue(value)
	_ = lengths.newer.RecordValue(value)
	lengths.sum += float64(value)
	lengths.newerSum += float64(value)
	lengths.count++
}

// turn gives up the older histogram.
func (lengths *lengths) turn(now time.Time) {
	lengths.since = now
	if lengths.newer.TotalCount() == 0 {
		return
	}
	lengths.older, lengths.newer = lengths.newer, lengths.older
	lengths.newer.Reset()
	lengths.sum = lengths.newerSum
	lengths.count = float64(lengths.older.TotalCount())
	lengths.newerSum = 0
}

// Output returns the expected number of output tokens of a new request.
func (estimator *Estimator) Output(class definer.ClassName, model string) float64 {
	found, ok := estimator.lengths[key{class: class, model: model}]
	if !ok {
		return usual
	}
	doubt := max(trusted-found.count, 0)
	return (found.sum + usual*doubt) / (found.count + doubt)
}

// Remainder returns how many more tokens to expect of a request that produced
// some already, from the answers that were longer than that.
func (estimator *Estimator) Remainder(class definer.ClassName, model string, produced int) float64 {
	found, ok := estimator.lengths[key{class: class, model: model}]
	if !ok || found.count < trusted {
		return remainder(usual, produced)
	}
	sum, count := 0.0, 0.0
	for _, bar := range found.older.Distribution() {
		middle := float64(bar.From+bar.To) / 2
		if middle <= float64(produced) || bar.Count == 0 {
			continue
		}
		sum += (middle - float64(produced)) * float64(bar.Count)
		count += float64(bar.Count)
	}
	if count == 0 {
		return remainder(usual, produced)
	}
	return sum / count
}

// remainder is what is missing to the expected length, or as much again as was
// produced when that is passed.
func remainder(expected float64, produced int) float64 {
	if float64(produced) < expected {
		return expected - float64(produced)
	}
	return float64(produced)
}

// Quantile returns the length that the given share of answers does not exceed,
// in tokens.
func (estimator *Estimator) Quantile(class definer.ClassName, model string, share float64) float64 {
	found, ok := estimator.lengths[key{class: class, model: model}]
	if !ok || found.count == 0 {
		return usual
	}
	return float64(found.older.ValueAtQuantile(share * percent))
}

const percent = 100
