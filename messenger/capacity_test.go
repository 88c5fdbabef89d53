package messenger_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/standin/measurer"
)

// sizedMessages are the control messages of one request, with names as long as
// those of the stand-ins, and two messages of an idle fleet.
func sizedMessages(held int) map[string]messenger.Message {
	shard := messenger.Shard{DataCentre: "skopje", Pool: "model-07", Index: 1}
	report := &messenger.GrantReport{Shard: shard}
	for range held {
		report.Grants = append(report.Grants, messenger.HeldGrant{Grant: "entry-skopje-12.1800000000000000000.model-07.1.123456", Request: "b1946ac92492d2347c6235b4d2611184", Attempt: 1, Class: "counterQuery", Organisation: "organisation-0123", Upstream: "runner-1234", Age: 3 * time.Second, Tokens: 200})
	}
	grant := messenger.GrantAnswer{Shard: shard, Request: "b1946ac92492d2347c6235b4d2611184", Attempt: 1, Grant: "entry-skopje-12.1800000000000000000.model-07.1.123456", Upstream: "runner-1234", Priority: 1, ExpectedWait: 80 * time.Millisecond}
	return map[string]messenger.Message{
		"ask":       &messenger.GrantAsk{Shard: shard, Request: grant.Request, Attempt: 1, Class: "counterQuery", Organisation: "organisation-0123", Model: "model-07", PromptTokens: 900, OutputTokens: 300, Age: time.Millisecond, Remaining: 15 * time.Second, Prefix: 1 << 60},
		"answer":    &grant,
		"queued":    &messenger.GrantAnswer{Shard: shard, Request: grant.Request, Attempt: 1, Queued: true, ExpectedWait: 80 * time.Millisecond},
		"release":   &messenger.GrantRelease{Shard: shard, Grant: grant.Grant, Request: grant.Request, Upstream: grant.Upstream, Class: "counterQuery", Observation: messenger.Observation{FirstToken: 200 * time.Millisecond, BetweenTokens: 20 * time.Millisecond, Tokens: 300, Total: 6 * time.Second}},
		"heartbeat": &messenger.Heartbeat{Sequence: 100_000, Configuration: 1500},
		"report":    report,
		"load":      loadReport(8, 4),
		"started":   startedReport(8, 4),
		"fallen":    fallReport(20),
		"permit":    &messenger.PermitAsk{Number: 1_800_000_000_000_000_000, Announcement: announcementOf(0), DataCentre: "skopje", Tier: 2, Patience: 150 * time.Millisecond, ReplyTo: "10.1.0.19:7200"},
		"permitted": &messenger.PermitAnswer{Number: 1_800_000_000_000_000_000, After: 400 * time.Millisecond, Announcement: announcementOf(0)},
		"place":     placeAsk(false),
		"returned":  placeAsk(true),
		"bounded":   &messenger.LoadReport{RejectionLimits: []messenger.RejectionLimit{placeAsk(false).Occupancy.Limit}, Informed: true},
		"limits":    &messenger.LoadReport{Announcements: []messenger.UpstreamAnnouncement{announcementOf(0), announcementOf(1), announcementOf(2), announcementOf(3), announcementOf(4), announcementOf(5), announcementOf(6), announcementOf(7)}},
	}
}

// placeAsk returns an ask for a permit of an upstream whose service has a rejection limit, or the
// return of one.
func placeAsk(returned bool) *messenger.PermitAsk {
	return &messenger.PermitAsk{
		Number: 1_800_000_000_000_000_000, Announcement: messenger.UpstreamAnnouncement{Upstream: "i-0000000001", Incarnation: 1_800_000_000_000, Age: messenger.Unannounced},
		DataCentre: "skopje", Tier: 2, Patience: 150 * time.Millisecond, ReplyTo: "10.1.0.19:7200", Withdrawn: returned,
		Occupancy: &messenger.Occupancy{
			Limit: messenger.RejectionLimit{Service: "huvo11a", PerSecond: 6, Limited: true, Age: 40 * time.Millisecond, Since: time.Minute},
			Slots: 12, Held: []uint64{1_800_000_000_000_000_000, 1_800_000_000_000_000_001}, Settled: 1_800_000_000_000_000_002, Outcome: messenger.PlaceServed,
		},
	}
}

// announcementOf returns the announcement of an upstream with a limit.
func announcementOf(number int) messenger.UpstreamAnnouncement {
	return messenger.UpstreamAnnouncement{Upstream: definer.UpstreamName(fmt.Sprintf("i-%010x", number)), Incarnation: 1_800_000_000_000, PerSecond: 2.2, Limited: true, Age: 3 * time.Second}
}

// loadReport returns a report on requests at the given number of engines, with the
// given number of read prompt parts.
func loadReport(engines, reads int) *messenger.LoadReport {
	report := &messenger.LoadReport{}
	for index := range engines {
		report.Loads = append(report.Loads, messenger.UpstreamLoad{Upstream: definer.UpstreamName(fmt.Sprintf("i-%010x", index)), InFlight: 2, Tokens: 4000, Heard: 40 * time.Millisecond, HasHeard: true, Unread: 900, Deferred: 900})
	}
	for index := range reads {
		report.Reads = append(report.Reads, messenger.PartsRead{Upstream: definer.UpstreamName(fmt.Sprintf("i-%010x", index)), Parts: []string{fmt.Sprintf("%08x", index), fmt.Sprintf("%08x", index+1)}})
	}
	for _, rule := range []string{"r-5pa2yhv", "r-z3pfi6y"} {
		report.Kinds = append(report.Kinds, messenger.KindWork{Service: "huvo11a", Rule: rule, Work: 3 * time.Second, Reading: 2 * time.Second, Tier: 2, PromptTokens: 123456.7, Requests: 45.6})
	}
	return report
}

// startedReport returns a loadReport whose upstreams tell their starts, in milliseconds
// since 1970.
func startedReport(engines, reads int) *messenger.LoadReport {
	const start = 1_800_000_000_000
	report := loadReport(engines, reads)
	for index := range report.Loads {
		report.Loads[index].Incarnation = definer.Incarnation(start + index)
	}
	for index := range report.Reads {
		report.Reads[index].Incarnation = definer.Incarnation(start + index)
	}
	return report
}

// fallReport returns a report on the end of one upstream that had the given number
// of requests, and on nothing else.
func fallReport(suspects int) *messenger.LoadReport {
	fall := messenger.UpstreamFall{Upstream: "i-0123456789", Incarnation: 1_800_000_000_000, Age: 80 * time.Millisecond}
	for index := range suspects {
		fall.Suspects = append(fall.Suspects, definer.RequestIdentity(fmt.Sprintf("%016x", index)))
	}
	return &messenger.LoadReport{Falls: []messenger.UpstreamFall{fall}}
}

// TestMessagesKeepTheirSize logs how many bytes a connection and a message take on
// the wire, both directions and the receipt included, and fails when a message has
// doubled in size. The processor time is that of both ends.
func TestMessagesKeepTheirSize(t *testing.T) {
	const count, most = 500, 800
	authority := newAuthority(t)
	for name, options := range map[string][]messenger.Option{"plain": nil, "tls": {secure(t, authority, "limpetcleat-inner")}} {
		var bytes atomic.Int64
		taken := make(chan bool, 1)
		// A receipt that takes longer than the timeout would cost a new connection, whose bytes
		// are not those of messages.
		options = append(options, messenger.WithTimeout(limit), messenger.WithCounts(func(_, size int) { bytes.Add(int64(size)) }, func(_, size int) { bytes.Add(int64(size)) }))
		receiver := startReceiver(t, taken, options[:len(options)-1])
		sender := messenger.New(definer.Member{VM: "entry-skopje-11", Incarnation: 1_800_000_000_000_000_000}, "skopje", nil, options...)
		ctx, cancel := context.WithCancel(context.Background())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		sender.Start(ctx, listener)
		send := func(message messenger.Message) {
			sender.Send(ctx, receiver, message)
			select {
			case <-taken:
			case <-time.After(limit):
				t.Fatal("a message was lost")
			}
		}
		send(sizedMessages(0)["heartbeat"])
		t.Logf("slope %s.connection=%d B", name, bytes.Load())
		for kind, message := range sizedMessages(0) {
			send(message)
			before, busy := bytes.Load(), measurer.CPUTime()
			for range count {
				send(message)
			}
			each := float64(bytes.Load()-before) / count
			t.Logf("slope %s.%s=%.0f B", name, kind, each)
			t.Logf("slope %s.%s.processor=%.0f us", name, kind, float64((measurer.CPUTime()-busy).Microseconds())/count)
			assert.Assert(t, each < most, "%s takes %.0f bytes", kind, each)
		}
		before := bytes.Load()
		send(sizedMessages(1000)["report"])
		t.Logf("slope %s.heldGrant=%.0f B", name, float64(bytes.Load()-before)/1000)
		// A message is counted completely once another has followed it.
		send(sizedMessages(0)["heartbeat"])
		before = bytes.Load()
		send(loadReport(1000, 0))
		t.Logf("slope %s.engineLoad=%.0f B", name, float64(bytes.Load()-before)/1000)
		cancel()
		<-sender.Done()
	}
}

// startReceiver starts a messenger that signals each message it receives, and returns
// its address.
func startReceiver(t *testing.T, taken chan<- bool, options []messenger.Option) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	take := func(definer.Member, definer.DataCentre, messenger.Message) { taken <- true }
	receiver := messenger.New(definer.Member{VM: "entry-skopje-12"}, "skopje", take, options...)
	ctx, cancel := context.WithCancel(context.Background())
	receiver.Start(ctx, listener)
	t.Cleanup(func() {
		cancel()
		<-receiver.Done()
	})
	return listener.Addr().String()
}
