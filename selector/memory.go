package selector

import "time"

const (
	// minCacheLifetime is the least time for which an engine is assumed to keep an unused part.
	minCacheLifetime = 2 * time.Second
	// minUnusedShare is the least part of an engine's KV cache that is assumed to be available
	// to parts which no request in flight uses.
	minUnusedShare = 0.25
)

// cacheLifetimeOfSide returns how long an engine of the side keeps an unused prompt part: the
// time in which newly prefilled tokens fill the cache that requests in flight leave free.
func (choice *choice) cacheLifetimeOfSide() time.Duration {
	capacity := float64(choice.demand.CacheTokens)
	fillRate := choice.side.arrivals * choice.side.meanPrompt * choice.service.cacheMisses.ratio()
	if capacity <= 0 || fillRate <= 0 {
		return maxCacheLifetime
	}
	free := max(capacity-choice.meanOfSide((*candidate).tokens), minUnusedShare*capacity)
	span := time.Duration(free / fillRate * float64(time.Second))
	return min(max(span, minCacheLifetime), maxCacheLifetime)
}

// cacheMisses tracks the part of prompt tokens that engines had to prefill, over this node's
// latest requests; the engines held or fetched the rest. Only prefilled tokens take up new
// space in the cache.
type cacheMisses struct {
	// missed and requested are decaying token counts.
	missed    float64
	requested float64
	at        time.Time
}

func (cacheMisses *cacheMisses) add(now time.Time, missed, requested int) {
	age := now.Sub(cacheMisses.at)
	cacheMisses.missed = decay(cacheMisses.missed, age, lengthDecay) + float64(missed)
	cacheMisses.requested = decay(cacheMisses.requested, age, lengthDecay) + float64(requested)
	cacheMisses.at = now
}

// ratio returns the part of tokens that were prefilled, 1 if there were no requests lately.
func (cacheMisses *cacheMisses) ratio() float64 {
	if cacheMisses.requested <= 0 {
		return 1
	}
	return cacheMisses.missed / cacheMisses.requested
}
