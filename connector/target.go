package connector

import (
	"bufio"
	"bytes"
)

// targetWriter writes a request of net/http with a request line of its own. The one of net/http would turn a
// target that begins with two slashes into an absolute one, with another host and path.
type targetWriter struct {
	*bufio.Writer
	line []byte
	// written is set once the request line has been written in place of that of net/http.
	written bool
}

func newTargetWriter(writer *bufio.Writer, method, target string) *targetWriter {
	return &targetWriter{Writer: writer, line: []byte(method + " " + target + " HTTP/1.1\r\n")}
}

// Write writes the request line in place of the first line, and what follows as it is.
func (targetWriter *targetWriter) Write(data []byte) (int, error) {
	if targetWriter.written {
		return targetWriter.Writer.Write(data)
	}
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return len(data), nil
	}
	targetWriter.written = true
	if _, err := targetWriter.Writer.Write(targetWriter.line); err != nil {
		return 0, err
	}
	count, err := targetWriter.Writer.Write(data[end+1:])
	return end + 1 + count, err
}
