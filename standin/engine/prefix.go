package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

const (
	blockTokens = 16
	blockBytes  = blockTokens * bytesPerToken
)

// prefixCache holds the blocks of prompt prefixes that were used last. Its
// owner has the lock.
type prefixCache struct {
	bound int
	// recent has the block hashes, the last used one in front; blocks points into
	// it.
	recent *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache(bound int) *prefixCache {
	return &prefixCache{bound: bound, recent: list.New(), blocks: map[uint64]*list.Element{}}
}

// use returns how many leading tokens of the prompt were cached, and caches all
// its whole blocks.
func (cache *prefixCache) use(model, prompt string) int {
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

// touch makes the block the last used one and returns whether it was cached.
func (cache *prefixCache) touch(block uint64) bool {
	if element, found := cache.blocks[block]; found {
		cache.recent.MoveToFront(element)
		return true
	}
	cache.blocks[block] = cache.recent.PushFront(block)
	for cache.recent.Len() > cache.bound {
		oldest := cache.recent.Back()
		cache.recent.Remove(oldest)
		delete(cache.blocks, oldest.Value.(uint64))
	}
	return false
}

func (cache *prefixCache) len() int {
	return cache.recent.Len()
}
