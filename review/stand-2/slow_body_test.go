//go:build review2

package stand_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	host    = "ficu95.example"
	service = "koumpi-llm"
	// revokeBound is revoke_ms of the settings.
	revokeBound = 5 * time.Second
	// sending is for how long a client sends the body of one request; its time limit is 15 s.
	sending   = 8 * time.Second
	timeLimit = 15 * time.Second
	pieces    = 32
	pieceSize = 256
)

// desiredState has one route, and a tenant for each key.
func desiredState(keys ...string) map[string]any {
	tenants := []map[string]any{{"name": "stays", "api_keys": []string{"key-that-stays"}}}
	for number, key := range keys {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%d", number), "api_keys": []string{key}})
	}
	return map[string]any{
		"routes": []map[string]any{{
			"name": "counter-query", "host": host, "path_prefix": "/pule252/", "route_type": "streaming", "service": service,
			"max_attempts": 1, "timeout_ms": timeLimit.Milliseconds(), "target_latency_ms": 500, "priority": 0, "public": false,
			"session_affinity": true, "stream_resume": false, "gap_aim_ms": 300,
		}},
		"services": []map[string]any{{
			"name": service, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_tokens": 276090, "kv_bytes": 131072, "link_mbps": 260000.0, "models": []map[string]any{{"name": "m"}}},
		}},
		"tenants": tenants,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// request is one request as its client sees it.
type request struct {
	attempt   string
	key       string
	firstByte time.Time
	lastByte  time.Time
	answer    answer
}

// send sends the request to the node, its body evenly over the time, and reads the answer.
func (request *request) send(world *world, node *node, over time.Duration) {
	conn, err := net.DialTimeout("tcp", node.clients, time.Second)
	if err != nil {
		request.answer = answer{err: err, at: time.Now()}
		return
	}
	defer conn.Close()
	request.firstByte = time.Now()
	world.note("first byte of %s with %s to %s", request.attempt, request.key, node.name)
	_, err = conn.Write([]byte(head(host, "/pule252/2f", request.attempt, request.key, timeLimit, pieces*pieceSize)))
	piece := make([]byte, pieceSize)
	for number := 0; number < pieces && err == nil; number++ {
		time.Sleep(over / pieces)
		_, err = conn.Write(piece) // A node that refuses the request may close; its answer is read all the same.
	}
	request.lastByte = time.Now()
	world.note("last byte of  %s", request.attempt)
	_ = conn.SetReadDeadline(time.Now().Add(timeLimit))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	request.answer = answer{err: err, at: time.Now()}
	if err == nil {
		request.answer.status = response.StatusCode
		_, request.answer.err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	world.note("answer    %s status %d, error %v", request.attempt, request.answer.status, request.answer.err)
}

// slowBody takes a key away while clients that hold it are sending. A request that was not sent until revoke_ms after
// the ack must not run.
func slowBody(world *world, trouble bool) (bool, error) {
	const key = "key-that-goes"
	runners, err := world.startRunners(service, 15*time.Millisecond)
	if err != nil {
		return false, err
	}
	if _, err := world.configure(desiredState(key)); err != nil {
		return false, err
	}
	storeAddress, err := world.serve("127.0.9.1", world.store.Handler())
	if err != nil {
		return false, err
	}
	if err := world.startNodes(storeAddress); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // All are in touch, and streams and versions have settled.
	var group sync.WaitGroup
	var slow []*request
	for number, node := range world.nodes {
		request := &request{attempt: fmt.Sprintf("slow-%d", number), key: key}
		slow = append(slow, request)
		group.Go(func() { request.send(world, node, sending) })
	}
	time.Sleep(time.Second)
	ack := time.Now()
	if trouble {
		if ack, err = world.configure(desiredState()); err != nil {
			return false, err
		}
		world.note("ack of the desired state without %s", key)
	}
	time.Sleep(time.Until(ack.Add(revokeBound + 500*time.Millisecond)))
	// What is sent whole now shows which desired state the nodes know.
	var quick []*request
	for number, node := range world.nodes {
		request := &request{attempt: fmt.Sprintf("quick-%d", number), key: key}
		quick = append(quick, request)
		group.Go(func() { request.send(world, node, 0) })
	}
	group.Wait()
	runs := ran(runners)
	late := 0
	for _, request := range append(slow, quick...) {
		run, hasRun := runs[request.attempt]
		switch {
		case !trouble && (!hasRun || request.answer.status != http.StatusOK || request.answer.err != nil):
			return false, fmt.Errorf("%s ended with status %d and error %w without any disruption", request.attempt, request.answer.status, request.answer.err)
		case trouble && hasRun && request.lastByte.Sub(ack) > revokeBound:
			late++
			world.note("%s ran %.3f s after the ack; its first byte was sent %.3f s and its last one %.3f s after it", request.attempt,
				run.at.Sub(ack).Seconds(), request.firstByte.Sub(ack).Seconds(), request.lastByte.Sub(ack).Seconds())
		}
	}
	world.note("sent with the key: %d slowly, %d at once; ran though sent later than revoke_ms after the ack: %d", len(slow), len(quick), late)
	return late > 0, nil
}
