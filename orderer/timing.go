package orderer

import "time"

// Timing holds the durations that the lease's safety rests on.
type Timing struct {
	// Duration is how long a lease lasts, by the holder's clock, after it sent
	// the write that gave it.
	Duration time.Duration
	// Takeover is how long another process must see the same version, by its
	// own clock, before it takes the lease over. It is longer than Duration by
	// what the rates of two clocks may differ.
	Takeover time.Duration
	// Renewal is the time between a holder's writes, and between the readings
	// of those who stand by.
	Renewal time.Duration
	// OrderTimeout bounds one order, from its first byte to its answer.
	OrderTimeout time.Duration
	// Margin is kept free between the end of an order and that of the lease.
	Margin time.Duration
}

// DefaultTiming returns the durations of a node. They hold while clocks run at
// rates within 5% of true: a holder's last order ends by 13 s of its own clock,
// 13.7 s at most; nobody takes over before 16.5 s of its own, 15.7 s at least.
func DefaultTiming() Timing {
	return Timing{
		Duration:     15 * time.Second,
		Takeover:     16500 * time.Millisecond,
		Renewal:      5 * time.Second,
		OrderTimeout: 2 * time.Second,
		Margin:       2 * time.Second,
	}
}
