// Package analyser computes tables from the log lines of one or many nodes: which requests were
// late, refused or failed and why, how evenly upstreams were used, and how far predictions of the
// first event were off. Logs are read as streams: besides the tables, an Analyser holds the requests
// in flight, the sends near them and the events of the latest second.
package analyser

import (
	"bufio"
	"container/heap"
	"context"
	"fmt"
	"time"

	"limpetcleat/logger"
)

// The defaults of the options.
const (
	DefaultWindow   = 100 * time.Millisecond
	DefaultBefore   = 500 * time.Millisecond
	DefaultSlack    = time.Second
	DefaultExamples = 3
	DefaultTop      = 20
)

const (
	// maxInFlight is how long a request is remembered that does not end, for example because
	// its node was killed. It is longer than the deadlines of callers.
	maxInFlight = 10 * time.Minute
	// eventsBetweenChecks is after how many events a cancellation is noticed.
	eventsBetweenChecks = 1024
)

// Objectives are the objectives of a rule; 0 is none.
type Objectives struct {
	First time.Duration
	Pause time.Duration
}

// Analyser reads logs and sums up their events. It is not safe for concurrent use.
type Analyser struct {
	window     time.Duration
	before     time.Duration
	slack      time.Duration
	examples   int
	top        int
	objectives map[string]Objectives

	setter     setter
	sources    int
	lines      int
	unreadable int
	// firstUnreadable is the name and line of the first unreadable line.
	firstUnreadable string
	events          int
	outOfOrder      int
	// finishedAlone counts finished requests whose send is not in the log although they have
	// been sent.
	finishedAlone int
	unfinished    int
	// unjudged holds the rules of finished requests for which no objectives are known.
	unjudged    map[string]bool
	first, last int64

	inFlight map[string]*request
	// sweptAt is when requests that do not end were last removed from inFlight.
	sweptAt     int64
	tallies     tallies
	failures    map[failure]int
	spread      *spread
	neighbours  *neighbours
	predictions map[string]*prediction
	samples     samples
}

// Option changes one setting of an Analyser.
type Option func(*Analyser)

// WithWindow sets the window in which sends to one upstream count as one group. The default is
// DefaultWindow.
func WithWindow(window time.Duration) Option {
	return func(analyser *Analyser) { analyser.window = window }
}

// WithBefore sets from how long before a send the requests of other rules at its upstream are
// counted. The default is DefaultBefore.
func WithBefore(before time.Duration) Option {
	return func(analyser *Analyser) { analyser.before = before }
}

// WithSlack sets by how much lines may be out of order. The default is DefaultSlack.
func WithSlack(slack time.Duration) Option {
	return func(analyser *Analyser) { analyser.slack = slack }
}

// WithExamples sets how many requests of each rule and kind the table of examples has. The default
// is DefaultExamples.
func WithExamples(examples int) Option {
	return func(analyser *Analyser) { analyser.examples = examples }
}

// WithTop sets how many upstreams the tables by upstream have; 0 is all. The default is DefaultTop.
func WithTop(top int) Option {
	return func(analyser *Analyser) { analyser.top = top }
}

// WithObjectives sets the objectives of a rule, which replace those in the logs.
func WithObjectives(rule string, objectives Objectives) Option {
	return func(analyser *Analyser) { analyser.objectives[rule] = objectives }
}

// New returns an Analyser that has read nothing yet.
func New(options ...Option) *Analyser {
	analyser := &Analyser{
		window: DefaultWindow, before: DefaultBefore, slack: DefaultSlack, examples: DefaultExamples, top: DefaultTop,
		objectives: make(map[string]Objectives), setter: setter{names: make(map[string]string)},
		unjudged: make(map[string]bool), inFlight: make(map[string]*request), tallies: newTallies(), failures: make(map[failure]int),
		predictions: make(map[string]*prediction), samples: make(samples),
	}
	for _, option := range options {
		option(analyser)
	}
	analyser.spread = newSpread(int64(analyser.window))
	analyser.neighbours = newNeighbours(int64(analyser.before))
	return analyser
}

// Read reads all sources to their ends, merged by the times of their lines. Unreadable lines are
// counted. It is called once.
func (analyser *Analyser) Read(ctx context.Context, sources ...Source) error {
	analyser.sources = len(sources)
	var pending inputs
	for _, source := range sources {
		input := &input{name: source.Name, reader: bufio.NewReaderSize(source.Reader, maxLineBytes)}
		if err := analyser.advance(input); err != nil {
			return err
		}
		if input.next.number != 0 {
			pending = append(pending, input)
		}
	}
	heap.Init(&pending)
	order := reorderer{slack: int64(analyser.slack)}
	for count := 0; len(pending) > 0; count++ {
		if count%eventsBetweenChecks == 0 && ctx.Err() != nil {
			return fail("read", Unreadable, "%w", ctx.Err())
		}
		earliest := pending[0]
		order.add(earliest.next, analyser.process)
		if err := analyser.advance(earliest); err != nil {
			return err
		}
		if earliest.next.number == 0 {
			heap.Pop(&pending)
			continue
		}
		heap.Fix(&pending, 0)
	}
	order.flush(analyser.process)
	analyser.spread.flush()
	analyser.unfinished += len(analyser.inFlight)
	return nil
}

func (analyser *Analyser) countUnreadable(input *input) {
	if analyser.unreadable == 0 {
		analyser.firstUnreadable = fmt.Sprintf("%s:%d", input.name, input.lines)
	}
	analyser.unreadable++
}

// Warnings returns what makes the tables incomplete, each as a sentence.
func (analyser *Analyser) Warnings() []string {
	var warnings []string
	warn := func(format string, values ...any) { warnings = append(warnings, fmt.Sprintf(format, values...)) }
	if analyser.events == 0 {
		warn("the logs have no events of requests")
	}
	if analyser.unreadable > 0 {
		warn("%d of %d lines are unreadable, the first is %s", analyser.unreadable, analyser.lines, analyser.firstUnreadable)
	}
	if analyser.outOfOrder > 0 {
		warn("%d lines are out of order by over %s and left out of the tables use, groups and neighbours; pass the log of each node as a file of its own",
			analyser.outOfOrder, analyser.slack)
	}
	for _, rule := range sortedKeys(analyser.unjudged) {
		warn("the logs have no objectives of rule %q, so none of its requests counts as late", rule)
	}
	for _, rule := range sortedKeys(analyser.objectives) {
		if analyser.tallies.rules[rule] == nil {
			warn("objectives are set for rule %q, of which the logs have no finished request", rule)
		}
	}
	return warnings
}

// process adds one event to the tables.
func (analyser *Analyser) process(event event) {
	analyser.events++
	if analyser.first == 0 || event.at < analyser.first {
		analyser.first = event.at
	}
	analyser.last = max(analyser.last, event.at)
	if event.outOfOrder {
		analyser.outOfOrder++
	}
	switch event.number {
	case logger.EventRequestSent:
		analyser.recordSent(&event)
	case logger.EventSendFailed:
		analyser.recordFailure(&event)
	case logger.EventRequestFinished:
		analyser.recordFinished(&event)
	}
	if analyser.last-analyser.sweptAt > int64(time.Minute) {
		analyser.sweep()
	}
}

// sweep forgets requests that were last sent too long ago to end.
func (analyser *Analyser) sweep() {
	analyser.sweptAt = analyser.last
	for id, request := range analyser.inFlight {
		if analyser.last-request.sentAt > int64(maxInFlight) {
			analyser.neighbours.end(request)
			delete(analyser.inFlight, id)
			analyser.unfinished++
		}
	}
}
