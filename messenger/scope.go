package messenger

// The receivers that a node sends reports to, as indexes of counters of what is still to be reported.
const (
	ToAggregator = iota
	ToGroups
	ToMembers
	// ScopeCount is the number of these indexes.
	ScopeCount
)

// Index returns the index of the receivers of reports of the scope.
func (loadScope LoadScope) Index() int {
	switch loadScope {
	case MemberLoad:
		return ToAggregator
	case GroupLoad, GroupAnswer:
		return ToGroups
	default:
		return ToMembers
	}
}
