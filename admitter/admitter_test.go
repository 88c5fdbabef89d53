package admitter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

func testClasses(t testing.TB) (ordinary, protected *definer.Class) {
	configuration, err := definer.Build(1, definer.Document{Classes: []definer.ClassDocument{
		{Name: "confirm", Protected: true, Attainment: 0.9, LongestWaitMs: 1000},
		{Name: "draft", Tier: 1, Attainment: 0.9, LongestWaitMs: 10_000},
	}})
	assert.NilError(t, err)
	return configuration.Classes()[1], configuration.Classes()[0]
}

func TestHopelessRequestsAreRefusedWithoutAMessage(t *testing.T) {
	ordinary, protected := testClasses(t)
	heard := time.Unix(1000, 0)
	for _, test := range []struct {
		name     string
		class    *definer.Class
		wait     time.Duration
		after    time.Duration
		deadline time.Duration
		reason   messenger.RefusalReason
	}{
		{"short wait", ordinary, 5 * time.Second, 0, 0, ""},
		{"just above the bound is left to the owner", ordinary, 14 * time.Second, 0, 0, ""},
		{"far above the bound", ordinary, 40 * time.Second, time.Second, 0, messenger.QueueFull},
		{"protected goes to the owner", protected, 40 * time.Second, 0, 0, ""},
		{"after the deadline", ordinary, 5 * time.Second, 0, 2 * time.Second, messenger.DeadlineMissed},
		{"before the deadline", ordinary, 5 * time.Second, 0, 6 * time.Second, ""},
		{"stale hint", ordinary, 40 * time.Second, 3 * time.Second, 0, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			admitter, shard := New(), messenger.Shard{Pool: "shared"}
			admitter.RecordWait(heard, shard, test.class.Name(), test.wait)
			now := heard.Add(test.after)
			request := Request{Shard: shard, Class: test.class, Arrival: now}
			if test.deadline > 0 {
				request.Deadline = now.Add(test.deadline)
			}
			verdict := admitter.Decide(now, request)
			assert.Equal(t, verdict.Reason, test.reason)
			assert.Equal(t, verdict.Admitted(), test.reason == "")
			if !verdict.Admitted() {
				assert.Assert(t, verdict.RetryAfter >= time.Second && verdict.RetryAfter <= test.wait)
			}
		})
	}
}

func TestOneRequestProbesAStaleHint(t *testing.T) {
	ordinary, _ := testClasses(t)
	admitter, shard, now := New(), messenger.Shard{Pool: "shared"}, time.Unix(1000, 0)
	request := Request{Shard: shard, Class: ordinary, Arrival: now.Add(3 * time.Second)}
	assert.Assert(t, admitter.Decide(now, request).Admitted(), "there is no hint yet")
	admitter.RecordWait(now, shard, ordinary.Name(), time.Minute)
	assert.Assert(t, admitter.Decide(now.Add(3*time.Second), request).Admitted())
	assert.Assert(t, !admitter.Decide(now.Add(3*time.Second), request).Admitted())
	admitter.Forget(shard)
	assert.Assert(t, admitter.Decide(now.Add(3*time.Second), request).Admitted())
}

func BenchmarkJudge(b *testing.B) {
	ordinary, _ := testClasses(b)
	admitter, heard, shard := New(), time.Unix(1000, 0), messenger.Shard{Pool: "shared"}
	admitter.RecordWait(heard, shard, ordinary.Name(), time.Second)
	for b.Loop() {
		admitter.Decide(heard, Request{Shard: shard, Class: ordinary, Arrival: heard})
	}
}
