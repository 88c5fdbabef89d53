//go:build review

package stage

import "time"

// tenants: the keys of the last tenant are taken away.
func tenants(stage *stage) int {
	services := []any{service("desk", 110)}
	serve := route{
		"name": "r-1", "host": "desk.example", "path_prefix": "/hold/", "route_type": "unsafe", "timeout_ms": 1000, "target_latency_ms": 100,
		"priority": 2, "service": "desk", "max_attempts": 1, "public": false, "session_affinity": false, "stream_resume": false,
	}
	stage.configure(1, []any{tenant("huka270", "key-one", "key-two")}, services, serve)
	worker := stage.startRunner(&runner{id: "i-1", service: "desk", zone: "kalamaria", slots: 6, queue: 24, work: 15 * time.Millisecond})
	node := stage.startNode(1, "kalamaria")
	defer stage.keepLog(node)
	channel := &channel{stage: stage, address: node.address}
	ask := func(key string) string {
		call := &call{id: stage.nextID(), method: "POST", target: "/hold/1", host: "desk.example", key: key, body: "hold", limit: time.Second}
		channel.ask(call)
		return call.id
	}
	ask("key-one")
	if stage.trouble {
		stage.configure(2, []any{}, services, serve)
	}
	time.Sleep(6 * time.Second)
	late, forged, none := ask("key-one"), ask("never-a-key"), ask("")
	runs := allRuns(worker)
	stage.note("ran: with the key that was taken away %d, with a key that never was %d, without a key %d", len(runs[late]), len(runs[forged]), len(runs[none]))
	if len(runs[forged]) > 0 || stage.trouble && len(runs[late]) > 0 {
		return broken
	}
	return held
}
