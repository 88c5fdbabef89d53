package messenger

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// ReportKind tells what a Report is about.
type ReportKind string

const (
	// PeerLost says that messages to a peer are lost from now on.
	PeerLost ReportKind = "peerLost"
	// PeerBack says that messages to a peer get through again.
	PeerBack ReportKind = "peerBack"
	// PeerRejected says that incoming connections were turned away.
	PeerRejected ReportKind = "peerRejected"
)

// Report tells what became of connections with one address.
type Report struct {
	Kind    ReportKind
	Address string
	// Cause is nil for PeerBack.
	Cause error
	// Count is the number of connections turned away since the last report.
	Count uint64
}

// rejectedEvery is the least time between two reports of rejected connections.
const rejectedEvery = time.Second

// rejections reports connections that are turned away, a few at a time.
type rejections struct {
	report func(Report)
	count  atomic.Uint64
	// sometimes bounds the reports.
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
