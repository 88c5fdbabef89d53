package apportioner

import (
	"math"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// maxTables bounds the pairs of a service and a tier that are counted.
	maxTables = 64
	// minWork is the work in seconds below which an organisation's entry is removed; a request
	// with a short prompt takes some milliseconds.
	minWork = 1e-4
)

// tableKey identifies the organisations that share capacity on equal terms.
type tableKey struct {
	service definer.PoolName
	tier    int
}

// table counts the work of the heaviest organisations of one service and tier, and of all others
// together. It is a Space-Saving sketch of messenger.MaxListedShares entries whose counts decay.
type table struct {
	entries []tableEntry
	// at is the time that the counts refer to.
	at time.Time
}

// tableEntry is the work of one organisation, in seconds.
type tableEntry struct {
	organisation definer.OrganisationName
	// count is an upper bound of the organisation's work. inherited is the part of it that
	// came from evicted entries.
	count     float64
	inherited float64
}

// decayTo lets the counts decay up to now.
func (table *table) decayTo(now time.Time) {
	age := now.Sub(table.at)
	if age <= 0 {
		return
	}
	table.at = now
	factor := math.Exp(-age.Seconds() / timeConstant.Seconds())
	for index := range table.entries {
		table.entries[index].count *= factor
		table.entries[index].inherited *= factor
	}
	table.entries = slices.DeleteFunc(table.entries, func(entry tableEntry) bool { return entry.count < minWork })
}

// add adds the work of one request. If the table is full, the organisation takes the place and
// the count of the lightest entry, so that an organisation which has become heavy is listed.
func (table *table) add(now time.Time, organisation definer.OrganisationName, work time.Duration) {
	table.decayTo(now)
	for index := range table.entries {
		if entry := &table.entries[index]; entry.organisation == organisation {
			entry.count += work.Seconds()
			return
		}
	}
	if len(table.entries) < messenger.MaxListedShares {
		table.entries = append(table.entries, tableEntry{organisation: organisation, count: work.Seconds()})
		return
	}
	lightest := 0
	for index := range table.entries {
		if table.entries[index].count < table.entries[lightest].count {
			lightest = index
		}
	}
	inherited := table.entries[lightest].count
	table.entries[lightest] = tableEntry{organisation: organisation, count: inherited + work.Seconds(), inherited: inherited}
}

// workOf returns the work that is certain to be the organisation's, in seconds.
func (table *table) workOf(now time.Time, organisation definer.OrganisationName) float64 {
	table.decayTo(now)
	for _, entry := range table.entries {
		if entry.organisation == organisation {
			return entry.count - entry.inherited
		}
	}
	return 0
}

// works returns the work by organisation, and that of all others under an empty name. If detailed
// is not set, all work is under the empty name.
func (table *table) works(now time.Time, key tableKey, detailed bool) []messenger.OrganisationWork {
	table.decayTo(now)
	works := make([]messenger.OrganisationWork, 0, len(table.entries)+1)
	rest := 0.0
	for _, entry := range table.entries {
		own := entry.count - entry.inherited
		rest += entry.inherited
		if !detailed || entry.organisation == "" {
			rest += own
			continue
		}
		works = append(works, messenger.OrganisationWork{Service: key.service, Tier: key.tier, Organisation: entry.organisation, Work: seconds(own)})
	}
	if rest >= minWork {
		works = append(works, messenger.OrganisationWork{Service: key.service, Tier: key.tier, Work: seconds(rest)})
	}
	return works
}
