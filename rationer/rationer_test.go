package rationer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"limpetcleat/rationer"
)

func kindOf(err error) rationer.Kind {
	var failure *rationer.Error
	if errors.As(err, &failure) {
		return failure.Kind()
	}
	return ""
}

// TestEmptySharesWaitInOrder checks that an empty share waits for memory, that the first to wait is
// the first to get it, and that one whose context ends gets none.
func TestEmptySharesWaitInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sut := rationer.New(100)
		holder := sut.NewShare()
		assert.NilError(t, holder.Grow(t.Context(), 90))
		var order []int
		var waiting conc.WaitGroup
		for number := range 3 {
			waiting.Go(func() {
				share := sut.NewShare()
				defer share.Release()
				assert.Check(t, share.Grow(t.Context(), 60) == nil)
				order = append(order, number)
			})
			synctest.Wait()
		}
		impatient, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Equal(t, kindOf(sut.NewShare().Grow(impatient, 20)), rationer.Exhausted)
		holder.Release()
		waiting.Wait()
		assert.DeepEqual(t, order, []int{0, 1, 2})
		assert.Equal(t, sut.Held(), int64(0))
	})
}

// TestFreeMemoryIsGrantedAfterTheWait checks that a share gets memory that is free even if its
// context has ended, and none that others hold. It guards against requests that are refused as
// overload because their goroutine was not scheduled for a few milliseconds.
func TestFreeMemoryIsGrantedAfterTheWait(t *testing.T) {
	sut := rationer.New(100)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	holder := sut.NewShare()
	assert.NilError(t, holder.Grow(ended, 60))
	other := sut.NewShare()
	assert.Equal(t, kindOf(other.Grow(ended, 41)), rationer.Exhausted)
	assert.NilError(t, other.Grow(ended, 40))
	assert.Equal(t, sut.Held(), int64(100))
	holder.Release()
	other.Release()
	assert.Equal(t, sut.Held(), int64(0))
}

// TestSharesThatHoldMemoryDoNotWait checks that holders never wait for each other.
func TestSharesThatHoldMemoryDoNotWait(t *testing.T) {
	sut := rationer.New(100)
	first, second := sut.NewShare(), sut.NewShare()
	assert.NilError(t, first.Grow(t.Context(), 50))
	assert.NilError(t, second.Grow(t.Context(), 50))
	assert.Equal(t, kindOf(first.Grow(t.Context(), 1)), rationer.Exhausted)
	assert.Equal(t, kindOf(first.Grow(t.Context(), 51)), rationer.TooLarge)
	assert.NilError(t, first.Grow(t.Context(), 0))
	second.Release()
	assert.NilError(t, first.Grow(t.Context(), 50))
	assert.Equal(t, first.Size(), int64(100))
}

// TestReadAll checks what is read of data with a known and an unknown length, and the size of the
// share afterwards.
func TestReadAll(t *testing.T) {
	const size, limit = 200 << 10, 300 << 10
	data := bytes.Repeat([]byte("x"), size)
	cases := []struct {
		name   string
		memory int64
		length int64
		limit  int64
		read   int
		kind   rationer.Kind
	}{
		{"a known length", 1 << 20, size, limit, size, ""},
		{"an unknown length", 1 << 20, -1, limit, size, ""},
		{"beyond the limit", 1 << 20, -1, size - 10, size - 9, ""},
		{"no memory for a known length", 100 << 10, size, limit, 0, rationer.TooLarge},
		{"no memory for an unknown length", 100 << 10, -1, limit, 0, rationer.TooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			sut := rationer.New(test.memory)
			share := sut.NewShare()
			read, err := share.ReadAll(t.Context(), iotest.OneByteReader(bytes.NewReader(data)), test.length, test.limit)
			assert.Equal(t, kindOf(err), test.kind)
			if test.kind == "" {
				assert.NilError(t, err)
				assert.Equal(t, len(read), test.read)
				assert.Assert(t, share.Size() >= int64(min(test.read, int(test.limit))))
			}
			share.Release()
			assert.Equal(t, sut.Held(), int64(0))
		})
	}
	_, err := rationer.New(100).NewShare().ReadAll(t.Context(), io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, 50)
	assert.Assert(t, err != nil)
}

// TestHeldNeverExceedsTheLimit checks on random histories of shares that no more is held than the
// limit and that all is free in the end.
func TestHeldNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 50).Draw(t, "limit")
		sut := rationer.New(limit)
		shares := []*rationer.Share{sut.NewShare(), sut.NewShare(), sut.NewShare()}
		expired, cancel := context.WithCancel(context.Background())
		cancel()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			share := rapid.SampledFrom(shares).Draw(t, "share")
			before := share.Size()
			if rapid.Bool().Draw(t, "release") {
				share.Release()
			} else if err := share.Grow(expired, rapid.Int64Range(-3, 60).Draw(t, "bytes")); err != nil {
				assert.Equal(t, share.Size(), before)
			}
			held := int64(0)
			for _, share := range shares {
				held += share.Size()
			}
			assert.Assert(t, held == sut.Held() && held <= limit)
		}
		for _, share := range shares {
			share.Release()
		}
		assert.Equal(t, sut.Held(), int64(0))
	})
}

// TestOutsized guards against holders that are blamed for memory that another one uses up.
func TestOutsized(t *testing.T) {
	memory := rationer.New(100)
	large, small, empty := memory.NewShare(), memory.NewShare(), memory.NewShare()
	assert.NilError(t, large.GrowNow(70))
	assert.Equal(t, large.Outsized(), false)
	assert.NilError(t, small.GrowNow(30))
	assert.Equal(t, large.Outsized(), true)
	assert.Equal(t, small.Outsized(), false)
	assert.Equal(t, empty.Outsized(), false)
	small.Release()
	assert.Equal(t, large.Outsized(), false)
}
