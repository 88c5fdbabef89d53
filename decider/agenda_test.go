package decider

import (
	"container/heap"
	"time"
)

// Agenda is a stepped clock with what is to happen, in order of time and then
// of entry.
type Agenda struct {
	Now     time.Time
	entries entries
	count   int
}

// After has something done once the time has passed.
func (agenda *Agenda) After(wait time.Duration, do func()) {
	agenda.count++
	heap.Push(&agenda.entries, entry{at: agenda.Now.Add(wait), sequence: agenda.count, do: do})
}

// Run carries out what is due within the time.
func (agenda *Agenda) Run(length time.Duration) {
	agenda.RunUntil(length, func() bool { return false })
}

// RunUntil does the same until done holds, and tells whether it came to hold.
func (agenda *Agenda) RunUntil(length time.Duration, done func() bool) bool {
	end := agenda.Now.Add(length)
	for len(agenda.entries) > 0 && !agenda.entries[0].at.After(end) {
		next := heap.Pop(&agenda.entries).(entry)
		agenda.Now = next.at
		next.do()
		if done() {
			return true
		}
	}
	agenda.Now = end
	return false
}

// Timers are a node's; each holds the number of its settings, so that an
// earlier one fires no more.
type Timers map[TimerKey]int

// Set has fire called at the timer's time, unless it is set or cleared before.
func (timers Timers) Set(agenda *Agenda, timer SetTimer, fire func(TimerFired)) {
	timers[timer.Key]++
	mark := timers[timer.Key]
	agenda.After(max(0, timer.At.Sub(agenda.Now)), func() {
		if timers[timer.Key] == mark {
			fire(TimerFired{Key: timer.Key})
		}
	})
}

// Clear ends a timer.
func (timers Timers) Clear(key TimerKey) { timers[key]++ }

type entry struct {
	at       time.Time
	sequence int
	do       func()
}

type entries []entry

func (entries entries) Len() int { return len(entries) }
func (entries entries) Less(a, b int) bool {
	return entries[a].at.Before(entries[b].at) || entries[a].at.Equal(entries[b].at) && entries[a].sequence < entries[b].sequence
}
func (entries entries) Swap(a, b int) { entries[a], entries[b] = entries[b], entries[a] }
func (entries *entries) Push(x any)   { *entries = append(*entries, x.(entry)) }
func (entries *entries) Pop() any {
	last := (*entries)[len(*entries)-1]
	*entries = (*entries)[:len(*entries)-1]
	return last
}
