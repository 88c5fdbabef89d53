package informer

import (
	"limpetcleat/chronicler"
	"limpetcleat/follower"
)

// replicaSink applies what the store returned about entries of a kind whose removals are never doubted to
// their replica.
type replicaSink[Value, Change, Entry any] struct {
	replica *replica[Entry]
	// listed returns the record of an entry, changed that of a change.
	listed  func(value Value) chronicler.Record[Entry]
	changed func(change Change) chronicler.Record[Entry]
}

// Replace takes a complete list.
func (sink replicaSink[Value, Change, Entry]) Replace(list []Value, reading follower.Reading) {
	records := make([]chronicler.Record[Entry], 0, len(list))
	for _, value := range list {
		records = append(records, sink.listed(value))
	}
	sink.replica.applyList(records, reading.Revision, false)
}

// Apply takes changes.
func (sink replicaSink[Value, Change, Entry]) Apply(changes []Change, reading follower.Reading) {
	records := make([]chronicler.Record[Entry], 0, len(changes))
	for _, change := range changes {
		records = append(records, sink.changed(change))
	}
	sink.replica.applyChanges(records, reading)
}
