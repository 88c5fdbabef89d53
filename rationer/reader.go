package rationer

import (
	"context"
	"io"
)

// step is by how many bytes a share grows while data of unknown length is read.
const step = 64 << 10

// ReadAll reads all data up to limit bytes, and one more byte if there is one, after its share has
// grown by the length. With a negative length, which means unknown, the share grows while the data
// is read. Errors of the share are of type Error; others are the reader's.
func (share *Share) ReadAll(ctx context.Context, reader io.Reader, length, limit int64) ([]byte, error) {
	reader = io.LimitReader(reader, limit+1)
	if length >= 0 {
		if err := share.Grow(ctx, min(length, limit)); err != nil {
			return nil, err
		}
		return io.ReadAll(reader)
	}
	growing := &growingReader{ctx: ctx, share: share, reader: reader}
	return io.ReadAll(growing)
}

// growingReader makes its share grow before it reads.
type growingReader struct {
	ctx    context.Context //nolint:containedctx // It lives as long as one call of ReadAll.
	share  *Share
	reader io.Reader
	// read is the number of bytes that were read.
	read int64
}

// Read reads no more than the share covers.
func (growingReader *growingReader) Read(data []byte) (int, error) {
	if growingReader.read == growingReader.share.size {
		if err := growingReader.share.Grow(growingReader.ctx, step); err != nil {
			return 0, err
		}
	}
	data = data[:min(int64(len(data)), growingReader.share.size-growingReader.read)]
	count, err := growingReader.reader.Read(data)
	growingReader.read += int64(count)
	return count, err
}
