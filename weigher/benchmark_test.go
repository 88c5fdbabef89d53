package weigher

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/rationer"
)

// BenchmarkUsualHead measures what counting a usual head takes.
func BenchmarkUsualHead(b *testing.B) {
	head := New(rationer.New(1 << 20)).NewHead()
	text := []byte(start + strings.Repeat("X-Field: some value\r\n", 20) + "\r\n")
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		assert.NilError(b, head.Received(text))
		head.BeginServing(0)
		head.EndServing()
	}
}
