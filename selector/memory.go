package selector

import "time"

const (
	// leastMemory is the least time that an engine is taken to keep an unused part.
	leastMemory = 2 * time.Second
	// leastKept is the least part of an engine's memory that is taken to be left for
	// parts that no request uses just now.
	leastKept = 0.25
)

// memoryOfSide returns how long an engine of the side keeps a part of prompts that is
// not used: until what its requests bring in has filled what they leave free.
func (choice *choice) memoryOfSide() time.Duration {
	capacity := float64(choice.demand.CacheTokens)
	brought := choice.side.arrivals * choice.side.prompt * choice.service.read.share()
	if capacity <= 0 || brought <= 0 {
		return longestMemory
	}
	kept := max(capacity-choice.mean((*view).tokens), leastKept*capacity)
	span := time.Duration(kept / brought * float64(time.Second))
	return min(max(span, leastMemory), longestMemory)
}

// readShare is the part of prompts that engines read, of this node's latest requests:
// the rest they held or fetched. What they read takes their memory.
type readShare struct {
	// read and asked count tokens, fading.
	read  float64
	asked float64
	at    time.Time
}

func (readShare *readShare) add(now time.Time, read, asked int) {
	age := now.Sub(readShare.at)
	readShare.read = fade(readShare.read, age, lengthMemory) + float64(read)
	readShare.asked = fade(readShare.asked, age, lengthMemory) + float64(asked)
	readShare.at = now
}

// share returns the part, 1 when nothing was asked lately.
func (readShare *readShare) share() float64 {
	if readShare.asked <= 0 {
		return 1
	}
	return readShare.read / readShare.asked
}
