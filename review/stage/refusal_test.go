//go:build review

package stage

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"time"
)

// refusal: a faulty runner sends some of its answers once more, late. One of them is a rejection.
func refusal(stage *stage) int {
	// The faulty runner repeats three answers in a hundred for five seconds, twice.
	const spell, share, spells = 5 * time.Second, 0.03, 2
	stage.configure(1, []any{tenant("huka270", "key-one")}, []any{service("desk", 110)}, route{
		"name": "r-1", "host": "desk.example", "path_prefix": "/hold/", "route_type": "unsafe", "timeout_ms": 4000, "target_latency_ms": 300,
		"priority": 2, "service": "desk", "max_attempts": 1, "public": false, "session_affinity": false, "stream_resume": false,
	})
	faulty := &runner{id: "i-faulty", service: "desk", zone: "kalamaria", slots: 6, queue: 4, work: 60 * time.Millisecond}
	sound := &runner{id: "i-sound", service: "desk", zone: "kalamaria", slots: 6, queue: 4, work: 60 * time.Millisecond}
	var mutex sync.Mutex
	var from time.Time
	answers, extras := 0, 0
	faulty.extra = func(answer []byte) bool {
		mutex.Lock()
		defer mutex.Unlock()
		if !stage.trouble || from.IsZero() || time.Since(from) > spell {
			return false
		}
		answers++
		if !bytes.HasPrefix(answer, []byte("HTTP/1.1 503")) || float64(extras+1) > share*float64(answers) {
			return false
		}
		extras++
		stage.note("runner %s will send this answer once more: %.40q", faulty.id, bytes.SplitN(answer, []byte("\r\n"), 2)[0])
		return true
	}
	stage.startRunner(faulty)
	stage.startRunner(sound)
	first, second := stage.startNode(1, "kalamaria"), stage.startNode(2, "kalamaria")
	defer stage.keepLog(first)
	time.Sleep(2 * time.Second) // The nodes find each other.
	statuses := make(map[string]int)
	for number := range spells {
		mutex.Lock()
		from, answers, extras = time.Now(), 0, 0
		mutex.Unlock()
		stage.note("spell %d begins", number+1)
		sendOrders(stage, spell, first, second, func(id string, status int) {
			mutex.Lock()
			defer mutex.Unlock()
			statuses[id] = status
		})
		stage.note("spell %d ends: the faulty runner gave %d answers and sent %d of them once more", number+1, answers, extras)
	}
	time.Sleep(time.Second)
	runs := allRuns(faulty, sound)
	counts := make(map[int]int)
	violations := 0
	for id, status := range statuses {
		counts[status]++
		if (status == 503 || status == 429) && len(runs[id]) > 0 {
			violations++
			stage.note("REFUSED: %s was answered %d and ran: %v", id, status, runs[id])
		}
		if len(runs[id]) > 1 {
			violations++
			stage.note("TWICE: %s ran %d times", id, len(runs[id]))
		}
	}
	orders := make(map[string]int)
	for _, ran := range runs {
		orders[ran[0].target]++
	}
	doubled := 0
	for _, count := range orders {
		if count > 1 {
			doubled++
		}
	}
	stage.note("requests %d, by status %v, ran %d; orders that ran under two requests %d; rule broken %d times", len(statuses), counts, len(runs), doubled, violations)
	if violations > 0 {
		return broken
	}
	return held
}

// sendOrders has 6 clients send orders to the first node one after the other, and 24 to the second node all at
// once, four times a second. A client sends an order once more if it is told that it has not run.
func sendOrders(stage *stage, span time.Duration, first, second *node, answered func(id string, status int)) {
	const limit, beat = 4 * time.Second, 250 * time.Millisecond
	var clients sync.WaitGroup
	start := time.Now()
	begin := func(node *node, pause func()) {
		clients.Go(func() {
			kept := &channel{stage: stage, address: node.address}
			defer kept.close()
			for time.Since(start) < span {
				pause()
				order := &call{id: stage.nextID(), method: "POST", host: "desk.example", key: "key-one", body: "hold it", limit: limit}
				order.target = "/hold/" + order.id
				status, _ := kept.ask(order)
				answered(order.id, status)
				if status != 503 {
					continue
				}
				time.Sleep(350 * time.Millisecond) // The time of Retry-After is 300 ms.
				again, retry := *order, &channel{stage: stage, address: node.address}
				again.id = stage.nextID()
				status, _ = retry.ask(&again)
				retry.close()
				answered(again.id, status)
			}
		})
	}
	for range 6 {
		begin(first, func() { time.Sleep(rand.N(60 * time.Millisecond)) })
	}
	for range 24 {
		begin(second, func() { time.Sleep(beat - time.Since(start)%beat) })
	}
	clients.Wait()
}
