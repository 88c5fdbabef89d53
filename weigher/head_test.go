package weigher

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/rationer"
)

const (
	start = "POST / HTTP/1.1\r\nHost: h\r\n"
	// linesOver is a number of lines that exceeds the free ones by surplusLines.
	surplusLines = 10
	linesOver    = freeLines + surplusLines
)

// fields returns a number of short fields.
func fields(count int) string { return strings.Repeat("a:\r\n", count) }

// received hands a text to a head in parts of the size.
func received(head *Head, text string, size int) error {
	for len(text) > 0 {
		part := text[:min(size, len(text))]
		if err := head.Received([]byte(part)); err != nil {
			return err
		}
		text = text[len(part):]
	}
	return nil
}

// TestHeadsAreWeighed guards against heads that take more than is counted, and against bodies and served requests that are
// counted as heads.
func TestHeadsAreWeighed(t *testing.T) {
	const memory = 1 << 20
	cases := map[string]struct {
		head, body string
		length     int64
		// during and after are the bytes that are taken while the request is served and once it has been.
		during, after int64
	}{
		"usual":                       {start + "\r\n", "", 0, 0, 0},
		"as many lines as are free":   {start + fields(freeLines-3) + "\r\n", "", 0, 0, 0},
		"many lines":                  {start + fields(linesOver-3) + "\r\n", "", 0, surplusLines * lineCost, 0},
		"line feeds alone":            {strings.ReplaceAll(start+fields(linesOver-3), "\r", "") + "\n", "", 0, surplusLines * lineCost, 0},
		"many bytes":                  {start + "A: " + strings.Repeat("x", freeBytes+100-len(start)-7) + "\r\n\r\n", "", 0, 100 * byteCost, 0},
		"a body with lines":           {start + "\r\n", strings.Repeat("\n", linesOver), linesOver, 0, 0},
		"a head behind a request":     {start + "\r\n", fields(linesOver), 0, 0, surplusLines * lineCost},
		"a head behind a body":        {start + "\r\n", "12" + fields(linesOver), 2, 0, surplusLines * lineCost},
		"chunks":                      {start + "\r\n", strings.Repeat("1\r\n\n\r\n", linesOver) + "0\r\n\r\n", lengthUnknown, 0, 0},
		"a head behind chunks":        {start + "\r\n", "0\r\n\r\n" + fields(linesOver), lengthUnknown, 0, (surplusLines + 2) * lineCost},
		"an empty line at the begin":  {"\r\n" + start + "\r\n", "", 0, 0, 0},
		"many lines, then a chunk":    {start + fields(linesOver-3) + "\r\n", "0\r\n\r\n", lengthUnknown, surplusLines * lineCost, 0},
		"a request behind a request":  {start + "\r\n", start + "\r\n", 0, 0, 0},
		"a field with a blank behind": {start + "A: b\r\n \r\n\r\n", "", 0, 0, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 7, freeBytes} {
				rationer := rationer.New(memory)
				head := New(rationer).NewHead()
				assert.NilError(t, received(head, test.head, size))
				assert.Assert(t, head.BeginServing(test.length))
				assert.Equal(t, rationer.Held(), test.during, "parts of %d bytes", size)
				assert.NilError(t, received(head, test.body, size))
				assert.Equal(t, rationer.Held(), test.during)
				head.EndServing()
				assert.Equal(t, rationer.Held(), test.after, "parts of %d bytes", size)
				head.Close()
				assert.Equal(t, rationer.Held(), int64(0))
			}
		})
	}
}

// TestBodiesThatAreDiscardedAreNoHeads guards against the body of a refused request that is counted as the head of the next
// one, as the server reads it after the answer.
func TestBodiesThatAreDiscardedAreNoHeads(t *testing.T) {
	rationer := rationer.New(1 << 20)
	head := New(rationer).NewHead()
	body := strings.Repeat("line\n", 20_000)
	assert.NilError(t, received(head, start+"\r\n"+body[:100], freeBytes))
	assert.Assert(t, head.BeginServing(int64(len(body))))
	head.EndServing()
	assert.NilError(t, received(head, body[100:], freeBytes))
	assert.Equal(t, rationer.Held(), int64(0))
	assert.NilError(t, received(head, start+fields(linesOver-3)+"\r\n", freeBytes))
	assert.Equal(t, rationer.Held(), int64(surplusLines*lineCost))
	assert.Assert(t, head.BeginServing(0))
	head.EndServing()
	assert.Equal(t, rationer.Held(), int64(0))
	head.Close()
}

// TestHeadsWithoutMemoryAreNotServed guards against heads for which there is no memory, in a read of their own or behind
// another request.
func TestHeadsWithoutMemoryAreNotServed(t *testing.T) {
	rationer := rationer.New(surplusLines * lineCost / 2)
	head := New(rationer).NewHead()
	assert.Assert(t, received(head, start+fields(linesOver), freeBytes) != nil)
	head.Close()

	head = New(rationer).NewHead()
	assert.NilError(t, received(head, start+"\r\n", freeBytes))
	assert.Assert(t, head.BeginServing(0))
	assert.NilError(t, received(head, start+fields(linesOver)+"\r\n", freeBytes))
	head.EndServing()
	assert.Assert(t, !head.BeginServing(0))
	head.EndServing()
	assert.Assert(t, head.Received([]byte("x")) != nil)
	head.Close()
	assert.Equal(t, rationer.Held(), int64(0))
}
