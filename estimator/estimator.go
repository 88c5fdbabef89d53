package estimator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"limpetcleat/definer"
)

const (
	// maxTokens is the length that longer answers are counted as.
	maxTokens = 1 << 17
	// significantDigits is the precision of a histogram in decimal digits.
	significantDigits = 1
	// defaultTokens is the expected length while no answers are known.
	defaultTokens = 256
	// trustedAnswers is the number of answers from which on defaultTokens no longer
	// enters the estimates.
	trustedAnswers = 8
	// windowAnswers is the number of answers after which the histograms are rotated.
	windowAnswers = 512
	// windowAge is the age of a window after which the histograms are rotated even
	// if it holds fewer answers.
	windowAge = 10 * time.Minute
	// maxKeys bounds the number of pairs of class and model that are kept.
	maxKeys = 1024
)

// key identifies the statistics of one class and model.
type key struct {
	class definer.ClassName
	model string
}

// Estimator estimates the lengths of answers. It is deterministic: its results
// depend only on the answers that it learnt. It is not safe for concurrent use.
type Estimator struct {
	// lengths has at most maxKeys entries.
	lengths map[key]*lengthStatistics
}

// lengthStatistics holds the lengths of the answers of one class and model. Each
// answer is recorded in both histograms. At the end of a window the older one is
// dropped and the newer one takes its place, so that estimates, which use the
// older one, cover the last one to two windows.
type lengthStatistics struct {
	older *hdrhistogram.Histogram
	newer *hdrhistogram.Histogram
	// olderSum, in tokens, and olderCount are the sum and the number of the answers
	// in older.
	olderSum   float64
	olderCount float64
	// newerSum is the sum of the answers in newer, in tokens.
	newerSum float64
	// newerSince is when the window of newer began.
	newerSince time.Time
}

// New returns an Estimator that knows no answers.
func New() *Estimator {
	return &Estimator{lengths: make(map[key]*lengthStatistics)}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxTokens, significantDigits) }

// Learn records the length of one finished answer. New pairs of class and model
// are ignored when maxKeys pairs are known.
func (estimator *Estimator) Learn(now time.Time, class definer.ClassName, model string, tokens int) {
	at := key{class: class, model: model}
	found, ok := estimator.lengths[at]
	if !ok {
		if len(estimator.lengths) >= maxKeys {
			return
		}
		found = &lengthStatistics{older: newHistogram(), newer: newHistogram(), newerSince: now}
		estimator.lengths[at] = found
	}
	found.record(now, tokens)
}

func (lengthStatistics *lengthStatistics) record(now time.Time, tokens int) {
	if lengthStatistics.newer.TotalCount() >= windowAnswers || now.Sub(lengthStatistics.newerSince) >= windowAge {
		lengthStatistics.rotate(now)
	}
	value := int64(min(max(tokens, 1), maxTokens))
	_ = lengthStatistics.older.RecordValue(value)
	_ = lengthStatistics.newer.RecordValue(value)
	lengthStatistics.olderSum += float64(value)
	lengthStatistics.newerSum += float64(value)
	lengthStatistics.olderCount++
}

// rotate makes the newer histogram the older one and begins an empty newer one. If
// the newer one is empty, the older one stays.
func (lengthStatistics *lengthStatistics) rotate(now time.Time) {
	lengthStatistics.newerSince = now
	if lengthStatistics.newer.TotalCount() == 0 {
		return
	}
	lengthStatistics.older, lengthStatistics.newer = lengthStatistics.newer, lengthStatistics.older
	lengthStatistics.newer.Reset()
	lengthStatistics.olderSum = lengthStatistics.newerSum
	lengthStatistics.olderCount = float64(lengthStatistics.older.TotalCount())
	lengthStatistics.newerSum = 0
}

// ExpectedOutput returns the expected number of output tokens of a new request. While fewer
// than trustedAnswers are known, defaultTokens stands for each missing one.
func (estimator *Estimator) ExpectedOutput(class definer.ClassName, model string) float64 {
	found, ok := estimator.lengths[key{class: class, model: model}]
	if !ok {
		return defaultTokens
	}
	doubt := max(trustedAnswers-found.olderCount, 0)
	return (found.olderSum + defaultTokens*doubt) / (found.olderCount + doubt)
}

// ExpectedRemainder returns the expected number of further output tokens of a request that
// has produced the given number, from the earlier answers that were longer. If too
// few answers are known, or none was longer, it starts from defaultTokens.
func (estimator *Estimator) ExpectedRemainder(class definer.ClassName, model string, produced int) float64 {
	found, ok := estimator.lengths[key{class: class, model: model}]
	if !ok || found.olderCount < trustedAnswers {
		return remainder(defaultTokens, produced)
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
		return remainder(defaultTokens, produced)
	}
	return sum / count
}

// remainder returns the number of tokens missing to the expected length, or the
// number produced if that length is reached.
func remainder(expected float64, produced int) float64 {
	if float64(produced) < expected {
		return expected - float64(produced)
	}
	return float64(produced)
}

// Quantile returns the length, in tokens, that the given share of the answers does
// not exceed. The share is between 0 and 1.
func (estimator *Estimator) Quantile(class definer.ClassName, model string, share float64) float64 {
	found, ok := estimator.lengths[key{class: class, model: model}]
	if !ok || found.olderCount == 0 {
		return defaultTokens
	}
	return float64(found.older.ValueAtQuantile(share * percent))
}

const percent = 100
