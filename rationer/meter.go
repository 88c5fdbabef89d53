package rationer

import "io"

// Allowance is how much of a sender's bytes may accumulate before they have been processed.
type Allowance struct {
	// Free is the number of bytes that need no share, since a buffer of the connection holds them.
	Free int64
	// Limit is the largest number of bytes.
	Limit int64
	// Cost is how many bytes of memory one byte beyond Free takes at most, copies included.
	Cost int64
	// FreeLines is the number of lines that need no share, LineCost how many bytes of memory one further line takes,
	// besides those for its bytes.
	FreeLines int64
	LineCost  int64
}

// Meter counts the bytes that accumulate from one sender and takes the memory for them from a share. It is
// owned by one goroutine.
type Meter struct {
	allowance Allowance
	share     *Share
	count     int64
	lines     int64
}

// NewMeter returns a Meter that takes memory from the rationer.
func (rationer *Rationer) NewMeter(allowance Allowance) *Meter {
	return &Meter{allowance: allowance, share: rationer.NewShare()}
}

// Left returns how many bytes may still be added.
func (meter *Meter) Left() int64 { return meter.allowance.Limit - meter.count }

// Outsized is that of the share.
func (meter *Meter) Outsized() bool { return meter.share.Outsized() }

// Add counts further bytes, or fewer if the number is negative, which keeps the memory. The error is of kind TooLarge if they exceed the limit, or Exhausted if there is
// no memory for them now.
func (meter *Meter) Add(bytes int) error {
	before := max(meter.count, meter.allowance.Free)
	meter.count += int64(bytes)
	if meter.count > meter.allowance.Limit {
		return fail(TooLarge, "over %d bytes", meter.allowance.Limit)
	}
	if meter.count <= before {
		return nil
	}
	return meter.share.GrowNow((meter.count - before) * meter.allowance.Cost)
}

// AddLines counts further lines. The error is of kind Exhausted if there is no memory for them now.
func (meter *Meter) AddLines(lines int) error {
	before := max(meter.lines, meter.allowance.FreeLines)
	meter.lines += int64(lines)
	if meter.lines <= before {
		return nil
	}
	return meter.share.GrowNow((meter.lines - before) * meter.allowance.LineCost)
}

// Reset ends the count and frees the memory.
func (meter *Meter) Reset() {
	meter.count, meter.lines = 0, 0
	meter.share.Release()
}

// MeteredReader reads from a sender whose bytes accumulate until Reset.
type MeteredReader struct {
	*Meter
	reader io.Reader
}

// NewMeteredReader returns a reader whose bytes the meter counts.
func NewMeteredReader(reader io.Reader, meter *Meter) *MeteredReader {
	return &MeteredReader{Meter: meter, reader: reader}
}

// Read reads from the sender. The error is that of Meter.Add if there is no memory for what came.
func (metered *MeteredReader) Read(data []byte) (int, error) {
	count, err := metered.reader.Read(data)
	if excess := metered.Add(count); excess != nil {
		return 0, excess
	}
	return count, err
}
