package timer

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// step is one call of Set or Clear; at is in seconds after the start of the test's clock.
type step struct {
	key   string
	at    int
	clear bool
}

func TestDueKeysComeNearestFirst(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
		now   int
		due   []string
		left  int
	}{
		{"order", []step{{key: "c", at: 3}, {key: "a", at: 1}, {key: "b", at: 2}}, 3, []string{"a", "b", "c"}, 0},
		{"not yet", []step{{key: "a", at: 1}, {key: "b", at: 2}}, 1, []string{"a"}, 1},
		{"replaced by a later time", []step{{key: "a", at: 1}, {key: "a", at: 5}, {key: "b", at: 2}}, 2, []string{"b"}, 1},
		{"replaced by a nearer time", []step{{key: "a", at: 5}, {key: "a", at: 1}}, 1, []string{"a"}, 0},
		{"cleared", []step{{key: "a", at: 1}, {key: "b", at: 1}, {key: "a", clear: true}}, 1, []string{"b"}, 0},
		{"unknown cleared", []step{{key: "a", clear: true}, {key: "b", at: 1}}, 1, []string{"b"}, 0},
		{"cleared within", []step{{key: "a", at: 1}, {key: "b", at: 2}, {key: "c", at: 3}, {key: "b", clear: true}}, 9, []string{"a", "c"}, 0},
	}
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			service := New(func(string) {})
			for _, step := range test.steps {
				if step.clear {
					service.Clear(step.key)
					continue
				}
				service.Set(step.key, began.Add(time.Duration(step.at)*time.Second))
			}
			assert.DeepEqual(t, service.due(began.Add(time.Duration(test.now)*time.Second)), test.due)
			assert.Equal(t, len(service.queue), test.left)
			assert.Equal(t, len(service.entries), test.left)
		})
	}
}

// TestNearerTimeWakesTheService checks that a near time, set after a far one, fires without
// waiting for the far one.
func TestNearerTimeWakesTheService(t *testing.T) {
	fired := make(chan string, 2)
	service := New(func(key string) { fired <- key })
	ctx, cancel := context.WithCancel(t.Context())
	service.Start(ctx)
	service.Set("far", time.Now().Add(time.Hour))
	service.Set("near", time.Now().Add(time.Millisecond))
	select {
	case key := <-fired:
		assert.Equal(t, key, "near")
	case <-time.After(20 * time.Second):
		t.Fatal("the key with the earlier time did not fire within 20 s")
	}
	cancel()
	<-service.Done()
}
