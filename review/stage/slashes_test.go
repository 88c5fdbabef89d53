//go:build review

package stage

import "time"

// slashes: the desired state gets a route for all paths of a host, and a client's path begins with two slashes.
func slashes(stage *stage) int {
	services := []any{service("desk", 110)}
	serve := func(name, prefix string) route {
		return route{
			"name": name, "host": "desk.example", "path_prefix": prefix, "route_type": "safe", "timeout_ms": 1000, "target_latency_ms": 100,
			"priority": 2, "service": "desk", "max_attempts": 1, "public": false, "session_affinity": false, "stream_resume": false,
		}
	}
	keys := []any{tenant("huka270", "key-one")}
	stage.configure(1, keys, services, serve("r-1", "/hold/"))
	worker := stage.startRunner(&runner{id: "i-1", service: "desk", zone: "kalamaria", slots: 6, queue: 24, work: 15 * time.Millisecond})
	node := stage.startNode(1, "kalamaria")
	defer stage.keepLog(node)
	channel := &channel{stage: stage, address: node.address}
	if stage.trouble {
		stage.configure(2, keys, services, serve("r-1", "/hold/"), serve("r-2", "/"))
	}
	time.Sleep(4 * time.Second)
	violations := 0
	for _, target := range []string{"/hold/1", "//hold/1", "//other.example/v1/x?y=1"} {
		id := stage.nextID()
		channel.ask(&call{id: id, method: "GET", target: target, host: "desk.example", key: "key-one", limit: time.Second})
		for _, ran := range allRuns(worker)[id] {
			if ran.target != target || ran.host != "desk.example" {
				violations++
				stage.note("UNASKED: the client sent %q to host %q; the runner got %q with host %q", target, "desk.example", ran.target, ran.host)
			}
		}
	}
	if violations > 0 {
		return broken
	}
	return held
}
