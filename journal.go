package limpetcleat

import (
	"context"
	"sync/atomic"
	"time"

	"limpetcleat/decider"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/quarantiner"
)

// journalCapacity is the maximum number of queued events.
const journalCapacity = 4096

// timedEvent is an event with the time at which it happened.
type timedEvent struct {
	decider.LogEvent
	at time.Time
}

// journal writes events to the logger from one goroutine, so that a blocked log never blocks the
// core. Events that arrive while the queue is full are dropped and counted.
type journal struct {
	logger Logger
	queue  chan timedEvent
	// lost is the number of events dropped since the last write.
	lost atomic.Uint64
	// done is closed by run; the node owns the journal.
	done chan struct{}
}

func newJournal(logger Logger) *journal {
	return &journal{logger: logger, queue: make(chan timedEvent, journalCapacity), done: make(chan struct{})}
}

// put queues an event or, if the queue is full, drops it. It never blocks.
func (journal *journal) put(event decider.LogEvent) {
	select {
	case journal.queue <- timedEvent{LogEvent: event, at: time.Now()}:
	default:
		journal.lost.Add(1)
	}
}

// run writes events until the context ends, then writes the queued events and returns.
func (journal *journal) run(ctx context.Context) {
	defer close(journal.done)
	for {
		select {
		case event := <-journal.queue:
			journal.write(event)
		case <-ctx.Done():
			journal.flush()
			return
		}
	}
}

func (journal *journal) flush() {
	for {
		select {
		case event := <-journal.queue:
			journal.write(event)
		default:
			return
		}
	}
}

func (journal *journal) write(event timedEvent) {
	if lost := journal.lost.Swap(0); lost > 0 {
		journal.logger.Event(logger.EventQueueFull, "queue", "journal", "lost", lost)
	}
	journal.logger.EventAt(event.at, event.Number, event.Pairs...)
}

// event queues an event whose pairs alternate names and values.
func (journal *journal) event(number int, pairs ...any) {
	journal.put(decider.LogEvent{Number: number, Pairs: pairs})
}

// report queues an event for a change in the connection with a peer.
func (journal *journal) report(report messenger.Report) {
	switch report.Kind {
	case messenger.PeerLost:
		journal.event(logger.EventPeerUnreachable, "address", report.Address, "cause", report.Cause)
	case messenger.PeerBack:
		journal.event(logger.EventPeerReachable, "address", report.Address)
	case messenger.PeerRejected:
		journal.event(logger.EventPeerRejected, "address", report.Address, "cause", report.Cause, "count", report.Count)
	}
}

// requestEndedEvent returns the log event for the end of a caller's request.
func requestEndedEvent(record decider.Record) decider.LogEvent {
	return decider.LogEvent{Number: logger.EventRequestEnded, Pairs: []any{
		"request", record.Request,
		"class", record.Class,
		"organisation", record.Organisation,
		"complete", record.Complete,
		"met", record.MetTargets,
		"outcome", record.Outcome,
		"reason", record.Reason,
		"tokens", record.Tokens,
		"wasted", record.Wasted,
		"retries", record.Retries,
		"firstToken", record.FirstToken,
		"total", record.Total,
	}}
}

// requestHeldOff logs that a request is held off.
func (journal *journal) requestHeldOff(held quarantiner.Suspicion) {
	journal.event(logger.EventRequestHeldOff, held.Pairs()...)
}

// requestReleased logs that a request is no longer held off, with the reason.
func (journal *journal) requestReleased(released quarantiner.Suspicion, why quarantiner.ReleaseReason) {
	journal.event(logger.EventRequestReleased, append(released.Pairs(), "why", why)...)
}
