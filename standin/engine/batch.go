package engine

import (
	"cmp"
	"slices"
	"time"
)

// batch holds the running and queued sequences. It has no lock; Engine.mu guards it.
type batch struct {
	maxRunning int
	// running has at most maxRunning sequences, in order of start.
	running []*sequence
	// waiting is ordered by priority, then arrival.
	waiting []*sequence
	// byAttempt maps attempt IDs to the sequences that can still be resumed or cancelled.
	byAttempt map[string]*sequence
}

func newBatch(maxRunning int) *batch {
	return &batch{maxRunning: maxRunning, byAttempt: map[string]*sequence{}}
}

// enqueue inserts the sequence into the priority queue.
func (batch *batch) enqueue(sequence *sequence) {
	sequence.state = stateWaiting
	index, _ := slices.BinarySearchFunc(batch.waiting, sequence, compareUrgency)
	batch.waiting = slices.Insert(batch.waiting, index, sequence)
}

func compareUrgency(a, b *sequence) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrival, b.arrival))
}

// remove deletes the sequence from the running batch and the queue.
func (batch *batch) remove(removed *sequence) {
	same := func(other *sequence) bool { return other == removed }
	batch.running = slices.DeleteFunc(batch.running, same)
	batch.waiting = slices.DeleteFunc(batch.waiting, same)
}

// dequeue removes and returns the next sequence to start. If the batch is full, it also returns the
// running sequence to preempt. It returns nil, nil if no sequence can start.
func (batch *batch) dequeue() (starting, victim *sequence) {
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

// victim returns the running sequence to preempt for one of the given priority, or nil. It selects
// the least urgent preemptible sequence, and the latest arrival among equals.
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

// start adds a new or preempted sequence to the running batch.
func (batch *batch) start(starting *sequence, now time.Time) {
	starting.state = stateRunning
	starting.prefillEndsAt = now.Add(starting.prefill)
	batch.running = append(batch.running, starting)
}

// preempt moves a running sequence back to the queue. Its computed tokens and the remaining prefill
// time are preserved.
func (batch *batch) preempt(victim *sequence, now time.Time) {
	batch.remove(victim)
	victim.prefill = max(0, victim.prefillEndsAt.Sub(now))
	victim.pauses++
	batch.enqueue(victim)
}

// countUnstarted returns the number of queued sequences that have not started.
func (batch *batch) countUnstarted() int {
	count := 0
	for _, waiting := range batch.waiting {
		if !waiting.started {
			count++
		}
	}
	return count
}
