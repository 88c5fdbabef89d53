package exchanger

import "limpetcleat/messenger"

// maxReads bounds the readings that wait for the next reports of a scope.
const maxReads = 512

// readings holds what was read where, by the scope of the reports that are still
// to tell it.
type readings map[messenger.LoadScope][]messenger.PartsRead

// belowScopes are the scopes of reports that tell what this node and its members
// read; what others read is told to members only.
func belowScopes() []messenger.LoadScope {
	return []messenger.LoadScope{messenger.MemberLoad, messenger.GroupLoad, messenger.FleetLoad}
}

// add notes readings for reports of the scopes.
func (readings readings) add(reads []messenger.PartsRead, scopes ...messenger.LoadScope) {
	for _, scope := range scopes {
		room := maxReads - len(readings[scope])
		readings[scope] = append(readings[scope], reads[:min(len(reads), room)]...)
	}
}

// take returns the readings for the next reports of the scope.
func (readings readings) take(scope messenger.LoadScope) []messenger.PartsRead {
	reads := readings[scope]
	delete(readings, scope)
	return reads
}
