package selector

import (
	"maps"
	"math"
	"time"

	"limpetcleat/definer"
	"limpetcleat/timer"
)

const (
	// failureMemory is how long a failure counts: its share falls to 1/e in it.
	// The platform's troubles last some 4 to 6 s; this forgets within as long.
	failureMemory = 4 * time.Second
	// delayMemory is the same for the delay seen beyond what was expected.
	delayMemory = time.Second
	// failureWeight is the part of a failure share that one outcome moves.
	failureWeight = 0.2
	// delayWeight is the same for a delay.
	delayWeight = 0.3
	// firstPause and maxPause bound how long an upstream that could not be
	// reached is left alone; the pause doubles with each failure in a row.
	firstPause = 500 * time.Millisecond
	maxPause   = 4 * time.Second
	// goneFor is how long an upstream whose address another has is left alone; its
	// entry goes within some heartbeats of the platform, each 1 to 2 s.
	goneFor = 30 * time.Second
	// longestMemory is the longest that a part that was read counts as cached. It is
	// above the span within which the platform counts a second reading (some 10 s).
	longestMemory = 30 * time.Second
	// maxParts bounds the parts remembered for one upstream.
	maxParts = 4096
	// toldShare is the part of the time that an engine keeps a part in which peers need
	// not be told again that it was used there.
	toldShare = 1.0 / 3
)

// state is what this node knows of one start of an upstream from its own requests.
type state struct {
	// incarnation is that of the start that the rest is true of; 0 is unknown.
	incarnation definer.Incarnation
	// inFlight counts requests sent and not yet ended.
	inFlight int
	// tokens counts what those may take of an engine's memory.
	tokens int
	// unread counts prompt tokens of requests that have no first event yet.
	unread int
	// deferred counts those of requests that are behind all others there.
	deferred int
	// failures is the share of late outcomes that were failures, 0 to 1.
	failures   float64
	failuresAt time.Time
	// delay is what first events took beyond what was expected.
	delay   time.Duration
	delayAt time.Time
	// pauseUntil is when it may be tried again after it could not be reached.
	pauseUntil time.Time
	// limited is set while the upstream has a limit, and requests to it need permits.
	limited bool
	// permits holds, by tier, until when no permit is expected; nil is none.
	permits map[int]time.Time
	// backoffUntil is until when it wants nothing from this node; unproven is set from then on
	// until it has taken a request, and tried while one request tries it.
	backoffUntil time.Time
	unproven     bool
	tried        bool
	// broken counts failures to reach it in a row.
	broken int
	// lastByte is when anything last came from it, to this node or to a peer that
	// reported it.
	lastByte time.Time
	// parts holds what is known of the parts that were read there.
	parts map[string]partState
	// seen is when it was last a candidate.
	seen time.Time
}

// partState is what is known of a part of prompts at one upstream.
type partState struct {
	// readAt is when it was last used there, and toldAt when all peers were last
	// told so.
	readAt time.Time
	toldAt time.Time
}

// fade returns a value that falls to 1/e within the memory.
func fade(value float64, age, memory time.Duration) float64 {
	if age <= 0 {
		return value
	}
	return value * math.Exp(-age.Seconds()/memory.Seconds())
}

func (state *state) failureShare(now time.Time) float64 {
	return fade(state.failures, now.Sub(state.failuresAt), failureMemory)
}

func (state *state) expectedDelay(now time.Time) time.Duration {
	return time.Duration(fade(float64(state.delay), now.Sub(state.delayAt), delayMemory))
}

// paused tells whether the upstream is left alone: its pause lasts, or the one
// request that tries it after the pause has not ended.
func (state *state) paused(now time.Time) bool {
	return now.Before(state.pauseUntil) || state.broken > 0 && state.inFlight > 0
}

func (state *state) outcome(now time.Time, failed bool) {
	share := state.failureShare(now) * (1 - failureWeight)
	if failed {
		share += failureWeight
	}
	state.failures, state.failuresAt = share, now
}

func (state *state) delayed(now time.Time, delay time.Duration) {
	known := state.expectedDelay(now)
	state.delay = known + time.Duration(delayWeight*float64(max(delay, 0)-known))
	state.delayAt = now
}

// unreachable leaves the upstream alone for a while.
func (state *state) unreachable(now time.Time) {
	pause := timer.Doubled(firstPause, maxPause, state.broken)
	state.broken++
	state.pauseUntil = now.Add(pause)
}

// heard notes that something came from the upstream, to this node or a peer.
func (state *state) heard(at time.Time) {
	if at.After(state.lastByte) {
		state.lastByte = at
	}
}

// reached notes that something came from the upstream to this node.
func (state *state) reached(now time.Time) {
	state.heard(now)
	state.broken = 0
	state.pauseUntil = time.Time{}
}

// remember notes that the parts were read there and returns those that peers are
// to be told of.
func (state *state) remember(parts []Part, now time.Time, memory time.Duration) []string {
	state.forgetParts(now)
	var news []string
	for _, part := range parts {
		known := state.parts[part.ID]
		known.readAt = now
		if now.Sub(known.toldAt) > time.Duration(toldShare*float64(memory)) {
			known.toldAt = now
			news = append(news, part.ID)
		}
		state.parts[part.ID] = known
	}
	return news
}

// learnt notes that a peer told all others that a part was read there.
func (state *state) learnt(part string, now time.Time) {
	state.parts[part] = partState{readAt: now, toldAt: now}
}

// unlearn forgets the parts of a request that was sent then and of which nothing
// came; peers that were told forget them in time, and avoid an upstream that fails.
func (state *state) unlearn(parts []Part, sentAt time.Time) {
	for _, part := range parts {
		if state.parts[part.ID].readAt.Equal(sentAt) {
			delete(state.parts, part.ID)
		}
	}
}

// forgetParts makes room when there are too many parts.
func (state *state) forgetParts(now time.Time) {
	if len(state.parts) <= maxParts {
		return
	}
	maps.DeleteFunc(state.parts, func(_ string, known partState) bool { return now.Sub(known.readAt) > longestMemory/2 })
}

// holds tells whether a part is believed to be cached there.
func (state *state) holds(part string, now time.Time, memory time.Duration) bool {
	known, ok := state.parts[part]
	return ok && now.Sub(known.readAt) <= memory
}

// cached returns how many tokens of the parts, from the first on, this node
// believes to be cached there. A part is kept only behind those before it.
func (state *state) cached(parts []Part, now time.Time, memory time.Duration) int {
	tokens, deepest := 0, 0
	for _, part := range parts {
		tokens += part.Tokens
		if state.holds(part.ID, now, memory) {
			deepest = tokens
		}
	}
	return deepest
}
