package sifter_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/sifter"
)

// recorder records the names that a Sifter logs and the last count that it reports.
type recorder struct {
	names []string
	count int
}

func (recorder *recorder) sifter() *sifter.Sifter {
	return sifter.New(
		func(_ int, pairs ...any) { recorder.names = append(recorder.names, fmt.Sprint(pairs[3])) },
		func(count int) { recorder.count = count })
}

// TestEachContentIsLoggedOnce checks what is logged and counted as unreadable entries
// appear, change, become readable and are removed.
func TestEachContentIsLoggedOnce(t *testing.T) {
	recorder := &recorder{}
	sifter := recorder.sifter()
	cause := errors.New("no address")
	sifter.MarkUnreadable("upstreams", "a", 1, cause)
	sifter.MarkUnreadable("upstreams", "a", 1, cause)
	sifter.MarkUnreadable("upstreams", "a", 2, cause)
	sifter.MarkUnreadable("upstreams", "b", 1, cause)
	sifter.MarkUnreadable("peers", "a", 1, cause)
	sifter.MarkUnreadable("upstreams", "", 5, cause)
	assert.DeepEqual(t, recorder.names, []string{"a", "a", "b", "a", ""})
	assert.Equal(t, recorder.count, 4)

	sifter.MarkReadable("upstreams", "a")
	sifter.MarkReadable("upstreams", "never seen")
	assert.Equal(t, recorder.count, 3)
	sifter.RetainListed("upstreams", map[string]bool{"b": true})
	assert.Equal(t, recorder.count, 2, "b is listed, and the peer belongs to another feed")
	sifter.MarkUnreadable("upstreams", "a", 1, cause)
	assert.Equal(t, len(recorder.names), 6, "a was forgotten when it became readable, so it is logged again")
}

// TestUnreadableEntriesAreBounded checks that neither many entries nor many contents of
// one entry fill the memory or the log.
func TestUnreadableEntriesAreBounded(t *testing.T) {
	recorder := &recorder{}
	sifter := recorder.sifter()
	for content := range uint64(1000) {
		sifter.MarkUnreadable("upstreams", "a", content, errors.New("bytes"))
	}
	assert.Equal(t, len(recorder.names), 8)
	for index := range 10_000 {
		sifter.MarkUnreadable("upstreams", fmt.Sprint(index), 1, errors.New("bytes"))
	}
	assert.Equal(t, recorder.count, 4096)
}
