package meter_test

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"limpetcleat/acceptor"
	"limpetcleat/announcer"
	"limpetcleat/corroborator"
	"limpetcleat/follower"
	"limpetcleat/forwarder"
	"limpetcleat/gatekeeper"
	"limpetcleat/meter"
	"limpetcleat/monitor"
	"limpetcleat/throttler"
)

func TestRecordIsServed(t *testing.T) {
	counts := meter.New(func(err error) { t.Error(err) })
	defer counts.Close()
	counts.CountRequest(forwarder.Record{Service: "pool", Tier: 1, Reason: forwarder.Served, Status: 200, Sends: 2, First: 90 * time.Millisecond, Objective: 100 * time.Millisecond, Version: 7})
	counts.CountRequest(forwarder.Record{Service: "pool", Tier: 1, Reason: forwarder.Full, Status: 503, BeyondShare: true, Unconnected: 3, UnconnectedHere: 2})
	stream := forwarder.Record{Service: "chat", Reason: forwarder.Served, Sends: 1, FirstSinceSend: 120 * time.Millisecond, ExpectedFirst: 100 * time.Millisecond, Gap: 60 * time.Millisecond, ExpectedGap: 100 * time.Millisecond}
	stream.Skipped = 2
	counts.CountRequest(stream)
	stream.Skipped = 0
	// A stream that was resumed has no ratios: its predictions are those of another send.
	stream.Sends = 2
	counts.CountRequest(stream)
	counts.CountStoreCall(follower.Call{Feed: "peers", Reason: follower.Announcing, Outcome: follower.Answered})
	counts.CountStoreBytes(5)
	counts.SetUnreadableEntries(2)
	counts.SetStoreReader(true)
	counts.SetSuspicions(1, 4)
	counts.SetAnnouncements(announcer.Counts{Limited: 3, Leaving: 1})
	counts.CountPermitRequest(throttler.Denied)
	counts.CountBackoff()
	counts.SetRelayed(4)
	counts.SetRelays(2)
	counts.SetLostPaths(21)
	counts.SetLosses(corroborator.Counts{Presumed: 2, Evidence: 5})
	counts.SetLosses(corroborator.Counts{Presumed: 3, Evidence: 9})
	counts.SetEvacuations(2)
	counts.SetCopyAge(1500 * time.Millisecond)
	counts.SetProbation(3)
	counts.SetMissing(2)
	counts.SetContradictions(4)
	counts.SetHeldBytes(monitor.Held{Bodies: 4096, Answers: 512, Messages: 64, Store: 32, Buffers: 16})
	counts.SetUpstreamConnections(gatekeeper.Counts{Open: 9, Permitted: 2})
	counts.CountConnection(acceptor.Crowded)
	counts.SetUsage(monitor.Usage{Memory: 9000, Heap: 800, Descriptors: 70}, monitor.Work{Connections: 6, Streams: 5})
	counts.SetShortServices(3)
	wanted := []string{
		`limpetcleat_copy_age_seconds 1.5`,
		`limpetcleat_upstreams_on_probation 3`,
		`limpetcleat_copy_contradictions 4`,
		`limpetcleat_forwarded_total{met="met",reason="served",service="pool",status="200",tier="1"} 1`,
		`limpetcleat_sends_total{met="met",reason="served",service="pool",status="200",tier="1"} 2`,
		`limpetcleat_unconnected_total{peers="heard",service="pool"} 2`,
		`limpetcleat_unconnected_total{peers="silent",service="pool"} 1`,
		`limpetcleat_relayed_connections{direction="in"} 4`,
		`limpetcleat_relayed_connections{direction="out"} 2`,
		"limpetcleat_lost_paths 21",
		`limpetcleat_skipped_answers_total{service="chat"} 2`,
		"limpetcleat_presumed_lost_upstreams 3",
		"limpetcleat_lost_upstream_evidence_total 9",
		`limpetcleat_forwarded_total{met="late",reason="full",service="pool",status="503",tier="1"} 1`,
		`limpetcleat_first_byte_seconds_count{service="pool",tier="1"} 1`,
		`limpetcleat_first_event_ratio_bucket{service="chat",tier="0",le="1.15"} 0`,
		`limpetcleat_first_event_ratio_bucket{service="chat",tier="0",le="1.3"} 1`,
		`limpetcleat_first_event_ratio_count{service="chat",tier="0"} 1`,
		`limpetcleat_pause_ratio_bucket{service="chat",tier="0",le="0.5"} 0`,
		`limpetcleat_pause_ratio_bucket{service="chat",tier="0",le="0.7"} 1`,
		`limpetcleat_store_calls_total{feed="peers",outcome="answered",reason="announcing"} 1`,
		`limpetcleat_store_bytes_total 5`,
		`limpetcleat_unreadable_entries 2`,
		`limpetcleat_asks_store 1`,
		`limpetcleat_held_off_requests 1`,
		`limpetcleat_suspected_requests 4`,
		`limpetcleat_limited_upstreams 3`,
		`limpetcleat_leaving_upstreams 1`,
		`limpetcleat_permits_total{outcome="denied"} 1`,
		`limpetcleat_backoffs_total 1`,
		`limpetcleat_evacuated_data_centres 2`,
		`limpetcleat_held_bytes{kind="answers"} 512`,
		`limpetcleat_held_bytes{kind="bodies"} 4096`,
		`limpetcleat_held_bytes{kind="buffers"} 16`,
		`limpetcleat_held_bytes{kind="messages"} 64`,
		`limpetcleat_held_bytes{kind="store"} 32`,
		`limpetcleat_upstream_connections{kind="open"} 9`,
		`limpetcleat_upstream_connections{kind="permitted"} 2`,
		`limpetcleat_caller_connections_total{closed="crowded"} 1`,
		`limpetcleat_short_services 3`,
		`limpetcleat_memory_bytes{kind="resident"} 9000`,
		`limpetcleat_memory_bytes{kind="heap"} 800`,
		`limpetcleat_descriptors 70`,
		`limpetcleat_caller_connections 6`,
		`limpetcleat_open_streams 5`,
		`limpetcleat_beyond_share_total{service="pool",tier="1"} 1`,
		`limpetcleat_configuration_version 7`,
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		answer := httptest.NewRecorder()
		counts.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
		text, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		for _, line := range wanted {
			if !strings.Contains(string(text), line) {
				return poll.Continue("%s is missing in\n%s", line, text)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}
