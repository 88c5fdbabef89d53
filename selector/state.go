package selector

import (
	"maps"
	"math"
	"time"

	"limpetcleat/definer"
	"limpetcleat/predictor"
	"limpetcleat/timer"
)

const (
	// failureDecay is the time constant of the failure share: it falls to 1/e in this time. The
	// platform's outages last some 4 to 6 s, and a failure is forgotten in about as long.
	failureDecay = 4 * time.Second
	// failureWeight is the weight of one outcome in the moving average of failures.
	failureWeight = 0.2
	// firstPause and maxPause bound how long no request is sent to an upstream that could not
	// be reached; the pause doubles with each consecutive failure.
	firstPause = 500 * time.Millisecond
	maxPause   = 4 * time.Second
	// gonePause is how long no request is sent to an upstream whose address is now another's.
	// The platform removes the entry within a few of its heartbeats, which are 1 to 2 s apart.
	gonePause = 30 * time.Second
	// maxCacheLifetime bounds how long a part counts as cached after its last use. It is above
	// the span within which the platform counts a second prefill (some 10 s).
	maxCacheLifetime = 30 * time.Second
	// maxParts is how many parts may be stored for one upstream before old ones are evicted.
	maxParts = 4096
	// reportedShare is the part of a part's cache lifetime during which its use at the same
	// engine is not reported to peers again.
	reportedShare = 1.0 / 3
)

// state is what this node knows of one start of an upstream.
type state struct {
	// incarnation identifies the start that the other fields describe; 0 is unknown.
	incarnation definer.Incarnation
	// inFlight counts requests sent and not yet ended.
	inFlight int
	// tokens counts the tokens that the requests in flight may occupy in the engine's KV cache.
	tokens int
	// streams counts the requests in flight that are protected streams.
	streams int
	// unread counts the prompt tokens of the requests without a first event, except the
	// deferred ones.
	unread int
	// deferred counts the prompt tokens of the deferred requests without a first event.
	deferred int
	// beyondShare counts the requests in flight that exceed their organisation's share.
	beyondShare int
	// failures is the decaying share of failures among outcomes, 0 to 1, as of failuresAt.
	failures   float64
	failuresAt time.Time
	// pace sums up the first events of this node's requests there.
	pace predictor.Pace
	// slow is set while the engine counts as slow, and paceLoggedAt is when that was last logged.
	slow         bool
	paceLoggedAt time.Time
	// pauseUntil is when the upstream may be tried again after it could not be reached or was
	// gone.
	pauseUntil time.Time
	// limited is set while the upstream has a limit, so that requests to it need permits.
	limited bool
	// noPermitUntil holds, by tier, the time before which no permit is expected; nil if none
	// was denied.
	noPermitUntil map[int]time.Time
	// coldUntil is the time until which the upstream may be cold, by its answers or because it
	// was reached again; its entry may state a later one.
	coldUntil time.Time
	// backoffUntil is the end of the backoff that the upstream asked for. needsProbe is set
	// with the backoff and until the upstream accepts a request; probing is set while the one
	// request that tests it is in flight.
	backoffUntil time.Time
	needsProbe   bool
	probing      bool
	// consecutiveFailures counts the failures to reach the upstream since it last responded.
	consecutiveFailures int
	// lastByte is when anything last came from the upstream to this node, and lastPeerByte when
	// to a peer that reported it.
	lastByte     time.Time
	lastPeerByte time.Time
	// parts holds the prompt parts used there, by ID.
	parts map[string]partState
	// lostUntil is until when the upstream is presumed lost. Between probeFrom and probeUntil one
	// request may be sent to it nevertheless.
	lostUntil  time.Time
	probeFrom  time.Time
	probeUntil time.Time
	// lastSeen is when the state was last looked up, as a candidate or for a report or a limit.
	lastSeen time.Time
}

// partState is what is known of one prompt part at one upstream.
type partState struct {
	// usedAt is when the part was last used there; reportedAt is when its use was last reported
	// to all peers.
	usedAt     time.Time
	reportedAt time.Time
}

// decay returns the value after exponential decay over age: it falls to 1/e in each
// timeConstant.
func decay(value float64, age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return value
	}
	return value * math.Exp(-age.Seconds()/timeConstant.Seconds())
}

func (state *state) failureShare(now time.Time) float64 {
	return decay(state.failures, now.Sub(state.failuresAt), failureDecay)
}

// paused reports whether no request should be sent to the upstream: its pause has not ended, or
// the one request that tries it after the pause is still in flight.
func (state *state) paused(now time.Time) bool {
	return now.Before(state.pauseUntil) || state.consecutiveFailures > 0 && state.inFlight > 0
}

func (state *state) recordOutcome(now time.Time, failed bool) {
	share := state.failureShare(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
	}
	state.failures, state.failuresAt = share, now
}

// recordUnreachable starts a pause, twice as long as the one before, up to maxPause.
func (state *state) recordUnreachable(now time.Time) {
	pause := timer.Doubled(firstPause, maxPause, state.consecutiveFailures)
	state.consecutiveFailures++
	state.pauseUntil = now.Add(pause)
}

// recordPeerActivity records that something came from the upstream to a peer.
func (state *state) recordPeerActivity(at time.Time) {
	if at.After(state.lastPeerByte) {
		state.lastPeerByte = at
	}
}

// lastActivity returns when anything last came from the upstream, to this node or to a peer.
func (state *state) lastActivity() time.Time {
	if state.lastPeerByte.After(state.lastByte) {
		return state.lastPeerByte
	}
	return state.lastByte
}

// recordResponse records that something came from the upstream to this node.
func (state *state) recordResponse(now time.Time) {
	if now.After(state.lastByte) {
		state.lastByte = now
	}
	state.consecutiveFailures = 0
	state.pauseUntil = time.Time{}
}

// recordParts records the use of the parts at the upstream and returns the IDs of those to
// report to peers.
func (state *state) recordParts(parts []Part, now time.Time, cacheLifetime time.Duration) []string {
	state.evictParts(now)
	var news []string
	for _, part := range parts {
		known := state.parts[part.ID]
		known.usedAt = now
		if now.Sub(known.reportedAt) > time.Duration(reportedShare*float64(cacheLifetime)) {
			known.reportedAt = now
			news = append(news, part.ID)
		}
		state.parts[part.ID] = known
	}
	return news
}

// recordPeerPart records that a peer has told all others of the part's use.
func (state *state) recordPeerPart(part string, now time.Time) {
	state.parts[part] = partState{usedAt: now, reportedAt: now}
}

// discardParts removes the parts of a request sent at sentAt to which nothing was returned,
// unless they were used again since. It sends no correction to peers: their entries expire, and
// they avoid an upstream that fails.
func (state *state) discardParts(parts []Part, sentAt time.Time) {
	for _, part := range parts {
		if state.parts[part.ID].usedAt.Equal(sentAt) {
			delete(state.parts, part.ID)
		}
	}
}

// evictParts removes the parts unused for half of maxCacheLifetime when more than maxParts are
// stored.
func (state *state) evictParts(now time.Time) {
	if len(state.parts) <= maxParts {
		return
	}
	maps.DeleteFunc(state.parts, func(_ string, known partState) bool { return now.Sub(known.usedAt) > maxCacheLifetime/2 })
}

// holds reports whether a part is believed to be cached there.
func (state *state) holds(part string, now time.Time, cacheLifetime time.Duration) bool {
	known, ok := state.parts[part]
	return ok && now.Sub(known.usedAt) <= cacheLifetime
}

// cachedTokens returns how many leading tokens of the parts are believed to be cached there. An
// engine caches a part only together with all parts before it, so the last cached part
// determines the count.
func (state *state) cachedTokens(parts []Part, now time.Time, cacheLifetime time.Duration) int {
	tokens, deepest := 0, 0
	for _, part := range parts {
		tokens += part.Tokens
		if state.holds(part.ID, now, cacheLifetime) {
			deepest = tokens
		}
	}
	return deepest
}
