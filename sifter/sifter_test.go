package sifter_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/sifter"
)

// recorder keeps what a sifter logs and counts.
type recorder struct {
	names []string
	count int
}

func (recorder *recorder) sifter() *sifter.Sifter {
	return sifter.New(
		func(_ int, pairs ...any) { recorder.names = append(recorder.names, fmt.Sprint(pairs[3])) },
		func(count int) { recorder.count = count })
}

// TestEachContentIsLoggedOnce holds what is logged and counted as entries come, change,
// turn good and go.
func TestEachContentIsLoggedOnce(t *testing.T) {
	recorder := &recorder{}
	sifter := recorder.sifter()
	cause := errors.New("no address")
	sifter.Unreadable("upstreams", "a", 1, cause)
	sifter.Unreadable("upstreams", "a", 1, cause)
	sifter.Unreadable("upstreams", "a", 2, cause)
	sifter.Unreadable("upstreams", "b", 1, cause)
	sifter.Unreadable("peers", "a", 1, cause)
	sifter.Unreadable("upstreams", "", 5, cause)
	assert.DeepEqual(t, recorder.names, []string{"a", "a", "b", "a", ""})
	assert.Equal(t, recorder.count, 4)

	sifter.Readable("upstreams", "a")
	sifter.Readable("upstreams", "never seen")
	assert.Equal(t, recorder.count, 3)
	sifter.Listed("upstreams", map[string]bool{"b": true})
	assert.Equal(t, recorder.count, 2, "b is listed, and the peer is of another feed")
	sifter.Unreadable("upstreams", "a", 1, cause)
	assert.Equal(t, len(recorder.names), 6, "it could be read in between")
}

// TestUnreadableEntriesAreBounded holds that neither many entries nor many contents of
// one fill the memory or the log.
func TestUnreadableEntriesAreBounded(t *testing.T) {
	recorder := &recorder{}
	sifter := recorder.sifter()
	for content := range uint64(1000) {
		sifter.Unreadable("upstreams", "a", content, errors.New("bytes"))
	}
	assert.Equal(t, len(recorder.names), 8)
	for index := range 10_000 {
		sifter.Unreadable("upstreams", fmt.Sprint(index), 1, errors.New("bytes"))
	}
	assert.Equal(t, recorder.count, 4096)
}
