package messenger

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// ReportKind is the kind of event that a Report describes.
type ReportKind string

const (
	// PeerLost says that a peer stopped receiving messages; those sent to it are lost.
	PeerLost ReportKind = "peerLost"
	// PeerBack says that a lost peer receives messages again.
	PeerBack ReportKind = "peerBack"
	// PeerRejected says that incoming connections or messages were refused.
	PeerRejected ReportKind = "peerRejected"
)

// Report describes a change in the connections with one address.
type Report struct {
	Kind    ReportKind
	Address string
	// Cause is nil for PeerBack.
	Cause error
	// Count is the number of refusals since the last report; it is set for PeerRejected.
	Count uint64
}

// rejectedEvery is the minimum interval between two reports of rejected connections.
const rejectedEvery = time.Second

// rejections counts rejected connections and reports them at a bounded rate.
type rejections struct {
	report func(Report)
	count  atomic.Uint64
	// sometimes limits the rate of reports.
	sometimes rate.Sometimes
}

func newRejections() *rejections {
	return &rejections{report: func(Report) {}, sometimes: rate.Sometimes{Interval: rejectedEvery}}
}

func (rejections *rejections) add(address string, cause error) {
	rejections.count.Add(1)
	rejections.sometimes.Do(func() {
		rejections.report(Report{Kind: PeerRejected, Address: address, Cause: cause, Count: rejections.count.Swap(0)})
	})
}
