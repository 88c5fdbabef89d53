package engine

import (
	"cmp"
	"slices"
	"time"
)

// batch is the state table of the sequences. Its owner has the lock.
type batch struct {
	maxRunning int
	// running has at most maxRunning sequences, in the order of their start.
	running []*sequence
	// waiting is in order of priority, then arrival.
	waiting []*sequence
	// byAttempt has every sequence that can still be resumed or cancelled.
	byAttempt map[string]*sequence
}

func newBatch(maxRunning int) *batch {
	return &batch{maxRunning: maxRunning, byAttempt: map[string]*sequence{}}
}

// enqueue puts the sequence in its place in the queue.
func (batch *batch) enqueue(entering *sequence) {
	entering.state = stateWaiting
	place, _ := slices.BinarySearchFunc(batch.waiting, entering, compareUrgency)
	batch.waiting = slices.Insert(batch.waiting, place, entering)
}

func compareUrgency(a, b *sequence) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrival, b.arrival))
}

// remove takes the sequence out of the running and the waiting ones.
func (batch *batch) remove(leaving *sequence) {
	same := func(other *sequence) bool { return other == leaving }
	batch.running = slices.DeleteFunc(batch.running, same)
	batch.waiting = slices.DeleteFunc(batch.waiting, same)
}

// next takes the sequence that is to run now out of the queue, with the one
// that has to make room for it or nil. It returns nil when nothing may start.
func (batch *batch) next() (starting, victim *sequence) {
	if len(batch.waiting) == 0 {
		return nil, nil
	}
	head := batch.waiting[0]
	if len(batch.running) >= batch.maxRunning {
		victim = batch.victim(head.priority)
		if victim == nil {
			return nil, nil
		}
	}
	batch.waiting = batch.waiting[1:]
	return head, victim
}

// victim returns the preemptible running sequence to pause for work of the
// priority: of the least urgent priority, the youngest.
func (batch *batch) victim(priority int) *sequence {
	var victim *sequence
	for _, candidate := range batch.running {
		if !candidate.preemptible || candidate.priority <= priority {
			continue
		}
		if victim == nil || compareUrgency(candidate, victim) > 0 {
			victim = candidate
		}
	}
	return victim
}

// run starts the sequence or lets it go on.
func (batch *batch) run(starting *sequence, now time.Time) {
	starting.state = stateRunning
	starting.readyAt = now.Add(starting.prefill)
	batch.running = append(batch.running, starting)
}

// pause puts a running sequence back into the queue; its tokens are kept.
func (batch *batch) pause(victim *sequence, now time.Time) {
	batch.remove(victim)
	victim.prefill = max(0, victim.readyAt.Sub(now))
	victim.pauses++
	batch.enqueue(victim)
}

// fresh counts the waiting sequences that have not started.
func (batch *batch) fresh() int {
	count := 0
	for _, waiting := range batch.waiting {
		if !waiting.started {
			count++
		}
	}
	return count
}
