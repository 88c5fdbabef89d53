package exchanger

import "limpetcleat/messenger"

// maxPendingReads is the largest number of readings kept for the next reports of a scope.
const maxPendingReads = 512

// readings holds which engines have read which shared parts of prompts, by the scope of
// the reports that have yet to include them.
type readings map[messenger.LoadScope][]messenger.PartsRead

// ownGroupScopes returns the scopes of reports that include the readings of this node and
// its members. Readings of other nodes are passed on to members only.
func ownGroupScopes() []messenger.LoadScope {
	return []messenger.LoadScope{messenger.MemberLoad, messenger.GroupLoad, messenger.FleetLoad}
}

// add appends readings for reports of the scopes and drops those above maxPendingReads.
func (readings readings) add(reads []messenger.PartsRead, scopes ...messenger.LoadScope) {
	for _, scope := range scopes {
		room := maxPendingReads - len(readings[scope])
		readings[scope] = append(readings[scope], reads[:min(len(reads), room)]...)
	}
}

// take removes and returns the readings for the next report of the scope.
func (readings readings) take(scope messenger.LoadScope) []messenger.PartsRead {
	reads := readings[scope]
	delete(readings, scope)
	return reads
}
