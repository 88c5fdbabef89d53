package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

const (
	blockTokens = 16
	blockBytes  = blockTokens * bytesPerToken
)

// prefixCache is an LRU cache of prompt prefix blocks. It has no lock; Engine.mu guards it.
type prefixCache struct {
	capacity int
	// recent lists the block hashes, most recently used first; blocks maps each hash to its
	// element. The hash of a block covers the model and the prompt up to the end of the block.
	recent *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache(bound int) *prefixCache {
	return &prefixCache{capacity: bound, recent: list.New(), blocks: map[uint64]*list.Element{}}
}

// lookupAndStore returns the number of leading prompt tokens that were cached, and adds all
// complete blocks of the prompt to the cache.
func (cache *prefixCache) lookupAndStore(model, prompt string) int {
	digest := xxhash.New()
	_, _ = digest.WriteString(model + "\x00")
	cached := 0
	hit := true
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = digest.WriteString(prompt[end-blockBytes : end])
		known := cache.touch(digest.Sum64())
		hit = hit && known
		if hit {
			cached += blockTokens
		}
	}
	return cached
}

// touch marks the block as the most recently used, adds it if absent, and reports whether it was
// cached. It evicts the least recently used blocks beyond the capacity.
func (cache *prefixCache) touch(block uint64) bool {
	if element, found := cache.blocks[block]; found {
		cache.recent.MoveToFront(element)
		return true
	}
	cache.blocks[block] = cache.recent.PushFront(block)
	for cache.recent.Len() > cache.capacity {
		oldest := cache.recent.Back()
		cache.recent.Remove(oldest)
		delete(cache.blocks, oldest.Value.(uint64))
	}
	return false
}

func (cache *prefixCache) len() int {
	return cache.recent.Len()
}
