package rationer

import (
	"context"
	"errors"
	"io"
)

const (
	// firstPiece and largestPiece are the sizes in bytes of the first and the largest buffer into which data
	// of unknown length is read; each is twice the size of the one before.
	firstPiece   = 4 << 10
	largestPiece = 64 << 10
)

// ReadAll is ReadPieces with the data in one piece. While several pieces are joined, the share covers both.
func (share *Share) ReadAll(ctx context.Context, reader io.Reader, length, limit int64) ([]byte, error) {
	pieces, err := share.ReadPieces(ctx, reader, length, limit)
	if err != nil || len(pieces) == 0 {
		return nil, err
	}
	if len(pieces) == 1 {
		return pieces[0], nil
	}
	size, held := Size(pieces), share.size
	if err := share.Grow(ctx, size); err != nil {
		return nil, err
	}
	joined := make([]byte, 0, size)
	for _, piece := range pieces {
		joined = append(joined, piece...)
	}
	share.Shrink(held)
	return joined, nil
}

// ReadPieces reads all data up to limit bytes, and one more byte if there is one, after its share has
// grown by the length. With a negative length, which means unknown, the share grows while the data
// is read. The share covers the capacity of all pieces. Errors of the share are of type Error; others are
// the reader's.
func (share *Share) ReadPieces(ctx context.Context, reader io.Reader, length, limit int64) ([][]byte, error) {
	reader = io.LimitReader(reader, limit+1)
	var pieces [][]byte
	size := int64(firstPiece)
	if length >= 0 {
		size = min(length, limit)
	}
	for {
		piece, err := share.readPiece(ctx, reader, size)
		if len(piece) > 0 {
			pieces = append(pieces, piece)
		}
		switch {
		case errors.Is(err, io.EOF):
			return pieces, nil
		case err != nil:
			return nil, err
		case length >= 0:
			// The length was reached or is wrong; nothing is allocated unless more data follows.
			return share.readRest(reader, pieces)
		}
		size = min(2*size, largestPiece)
	}
}

// readRest reads what follows the known length. That is at most the byte beyond the limit unless the length
// was wrong, which is an error.
func (share *Share) readRest(reader io.Reader, pieces [][]byte) ([][]byte, error) {
	rest := make([]byte, 2)
	count, err := fill(reader, rest)
	switch {
	case errors.Is(err, io.EOF) && count == 0:
		return pieces, nil
	case errors.Is(err, io.EOF):
		return append(pieces, rest[:count]), nil
	case err != nil:
		return nil, err
	}
	return nil, fail(TooLarge, "the data is longer than its announced length")
}

// readPiece grows the share by a size and reads up to as many bytes. The error is io.EOF at the end of the
// data.
func (share *Share) readPiece(ctx context.Context, reader io.Reader, size int64) ([]byte, error) {
	if size == 0 {
		return nil, nil
	}
	if err := share.Grow(ctx, size); err != nil {
		return nil, err
	}
	piece := make([]byte, size)
	count, err := fill(reader, piece)
	return piece[:count], err
}

// fill reads until the buffer is full. Other than io.ReadFull it returns each error as it is, so that the end
// of the data is not confused with a truncation that the reader reports.
func fill(reader io.Reader, buffer []byte) (int, error) {
	total := 0
	for total < len(buffer) {
		count, err := reader.Read(buffer[total:])
		total += count
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// Size returns the total size of pieces in bytes.
func Size(pieces [][]byte) int64 {
	size := int64(0)
	for _, piece := range pieces {
		size += int64(len(piece))
	}
	return size
}
