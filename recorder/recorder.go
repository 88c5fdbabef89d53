// Package recorder counts the completed and refused requests of each class and the
// node's control traffic. It serves the counts as Prometheus metrics and as snapshots,
// from which the error-budget burn report is built.
package recorder

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Windows returns the lengths of the sliding windows over which counts are kept, the
// shortest first. Burn rates are computed over each of them, the error budget over the
// longest.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}
}

// Recorder counts requests and control traffic on one node. It is safe for concurrent
// use.
type Recorder struct {
	node definer.VM
	now  func() time.Time
	// report is called with the error of each metric that could not be registered.
	report func(error)
	since  time.Time
	// mutex guards the fields below; no other lock of this package is taken while it is
	// held.
	mutex   sync.Mutex
	metrics *metrics
	// classes holds the counters of the classes in the current configuration, and of
	// other classes recorded since it was set.
	classes map[definer.ClassName]*classCounters
	control map[ControlKind]ControlCounts
}

// classCounters holds the counts and latency histograms of one class.
type classCounters struct {
	// definition is nil for a class that is not in the configuration.
	definition *definer.Class
	total      Counts
	refused    map[messenger.RefusalReason]uint64
	// windows has one ring for each length, in the order of Windows.
	windows       []*ring[Counts, *Counts]
	firstToken    *durationHistogram
	betweenTokens *durationHistogram
	duration      *durationHistogram
}

// Option changes one setting of a Recorder.
type Option func(*Recorder)

// WithNode sets the node name that snapshots carry.
func WithNode(node definer.VM) Option { return func(recorder *Recorder) { recorder.node = node } }

// WithTime sets the time source. The default is time.Now.
func WithTime(now func() time.Time) Option { return func(recorder *Recorder) { recorder.now = now } }

// WithReport sets the function that is called with the error of each metric that could
// not be registered. By default these errors are ignored.
func WithReport(report func(error)) Option {
	return func(recorder *Recorder) { recorder.report = report }
}

// New returns a Recorder whose counts are all zero. The caller must close it.
func New(options ...Option) *Recorder {
	recorder := &Recorder{
		now:     time.Now,
		report:  func(error) {},
		classes: make(map[definer.ClassName]*classCounters),
		control: make(map[ControlKind]ControlCounts),
	}
	for _, option := range options {
		option(recorder)
	}
	recorder.since = recorder.now()
	recorder.metrics = newMetrics(recorder.report)
	return recorder
}

// Close flushes all counts so far to the metrics and stops updating them.
func (recorder *Recorder) Close() error { return recorder.metrics.scope.Close() }

// Handler returns the HTTP handler that serves the metrics to a Prometheus scraper.
func (recorder *Recorder) Handler() http.Handler { return recorder.metrics.scope.Handler() }

// SetClasses sets the classes of a configuration that has taken effect. Snapshots list
// these classes even before their first request ends; the counts of all other classes
// are dropped.
func (recorder *Recorder) SetClasses(configuration *definer.Configuration) {
	now := recorder.now()
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	classes := make(map[definer.ClassName]*classCounters)
	for _, definition := range configuration.Classes() {
		counters := recorder.countersOf(now, definition.Name())
		counters.definition = definition
		classes[definition.Name()] = counters
	}
	recorder.classes = classes
}

// countersOf returns the counters of a class and creates them if needed. The caller
// holds the mutex.
func (recorder *Recorder) countersOf(now time.Time, name definer.ClassName) *classCounters {
	counters, ok := recorder.classes[name]
	if ok {
		return counters
	}
	counters = &classCounters{
		refused:       make(map[messenger.RefusalReason]uint64),
		firstToken:    newDurationHistogram(now),
		betweenTokens: newDurationHistogram(now),
		duration:      newDurationHistogram(now),
	}
	for _, length := range Windows() {
		counters.windows = append(counters.windows, newRing[Counts](length))
	}
	recorder.classes[name] = counters
	return counters
}

// Record counts one request that was completed or refused.
func (recorder *Recorder) Record(record decider.Record) {
	now := recorder.now()
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.metrics.record(record)
	counters := recorder.countersOf(now, record.Class)
	counts := counters.countsOf(record)
	counters.total.add(counts)
	for _, window := range counters.windows {
		window.add(now, counts)
	}
	if !record.Complete {
		counters.refused[record.Reason]++
		return
	}
	counters.duration.record(now, record.Total)
	if record.FirstToken > 0 {
		counters.firstToken.record(now, record.FirstToken)
	}
	if record.BetweenTokens > 0 {
		counters.betweenTokens.record(now, record.BetweenTokens)
	}
}

// countsOf returns the counts that one request adds.
func (classCounters *classCounters) countsOf(record decider.Record) Counts {
	counts := Counts{
		Requests:     1,
		Retries:      uint64(record.Retries),
		Tokens:       uint64(record.Tokens),
		WastedTokens: uint64(record.Wasted),
	}
	if classCounters.countsTowardsTarget(record) {
		counts.Counted = 1
	}
	if record.MetTargets {
		counts.Met = 1
	}
	if record.Complete {
		counts.Complete = 1
		counts.UsefulTokens = uint64(record.Tokens)
	}
	return counts
}

// countsTowardsTarget reports whether a request counts towards the class's targets. A
// request that was not served because of its caller or its organisation does not count.
// One whose caller disconnected counts if a latency target had already passed.
func (classCounters *classCounters) countsTowardsTarget(record decider.Record) bool {
	switch record.Reason {
	case messenger.KeyInUse, messenger.KeyMismatch, messenger.RuleRefused, messenger.NoRule, messenger.RateLimited:
		return false
	case messenger.CallerGone:
		return classCounters.targetPassed(record)
	default:
		return true
	}
}

// targetPassed reports whether the request took longer than a latency target of the
// class. Without a first token, the total time is compared with the first-token target.
func (classCounters *classCounters) targetPassed(record decider.Record) bool {
	if classCounters.definition == nil {
		return false
	}
	firstToken := record.FirstToken
	if firstToken == 0 {
		firstToken = record.Total
	}
	passed := func(target, taken time.Duration) bool { return target > 0 && taken > target }
	return passed(classCounters.definition.FirstToken(), firstToken) || passed(classCounters.definition.Total(), record.Total)
}

// Control adds count messages or calls of a kind, and their size in bytes, to the
// control traffic.
func (recorder *Recorder) Control(kind ControlKind, count, bytes int) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	counts := recorder.control[kind]
	counts.Count += uint64(count)
	counts.Bytes += uint64(bytes)
	recorder.control[kind] = counts
	recorder.metrics.control(kind, count, bytes)
}

// Snapshot returns a copy of the current counts.
func (recorder *Recorder) Snapshot() Snapshot {
	now := recorder.now()
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	snapshot := Snapshot{Node: recorder.node, TakenAt: now, Since: recorder.since, Control: maps.Clone(recorder.control)}
	for _, name := range slices.Sorted(maps.Keys(recorder.classes)) {
		snapshot.Classes = append(snapshot.Classes, recorder.classes[name].snapshot(name, now))
	}
	return snapshot
}

func (classCounters *classCounters) snapshot(name definer.ClassName, now time.Time) ClassSnapshot {
	snapshot := ClassSnapshot{
		Class:         name,
		Total:         classCounters.total,
		Refused:       maps.Clone(classCounters.refused),
		FirstToken:    classCounters.firstToken.distribution(now),
		BetweenTokens: classCounters.betweenTokens.distribution(now),
		Duration:      classCounters.duration.distribution(now),
	}
	for _, window := range classCounters.windows {
		snapshot.Windows = append(snapshot.Windows, WindowSnapshot{Seconds: int(window.length() / time.Second), Counts: window.sum(now)})
	}
	return snapshot
}
