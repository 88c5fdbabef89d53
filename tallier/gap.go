package tallier

import (
	"time"

	"limpetcleat/messenger"
)

// gap is a span of time, as durations since 1970, of which counts may be missing; empty if until is zero.
type gap struct {
	from, until time.Duration
}

// extend makes the gap include another one.
func (known *gap) extend(other gap) {
	switch {
	case other.until <= other.from:
	case known.until == 0:
		*known = other
	default:
		known.from, known.until = min(known.from, other.from), max(known.until, other.until)
	}
}

// overlaps reports whether the gap has a part of the span.
func (known *gap) overlaps(from, until time.Duration) bool {
	return known.from < until && from < known.until
}

// gapBefore returns the gap that a report leaves in a record of which this node lacks changes: what follows the
// complete counts, up to the windows that the report holds whole.
func (tallier *Tallier) gapBefore(record *processRecord, report *messenger.UsageReport, revision uint64) gap {
	if report.Earlier <= revision {
		return gap{}
	}
	return gap{from: record.completeUntil, until: time.Duration(report.Whole) * tallier.width}
}
