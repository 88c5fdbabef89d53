//go:build review

package stage

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// engine is a stand-in of a model runner, which streams the answers of `slots` requests and queues a few more.
type engine struct {
	stage *stage
	id    string
	// slots and queue bound the requests that run and that wait.
	slots, queue int
	// events and step are the number of events of a stream and the time between two.
	events int
	step   time.Duration

	mutex   sync.Mutex
	present int
	// running are the streams that run, in the order in which they began.
	running []*generation
	places  chan struct{}
	// preempted counts the preemptions, rejected the requests that found no place.
	preempted, rejected int
}

// generation is a stream that runs.
type generation struct {
	id       string
	priority int
	// pause is for how long the generation gives up its memory after the next event.
	pause time.Duration
	// preempted is set once it has done so.
	preempted bool
}

func (stage *stage) startEngine(started *engine) {
	listener, err := net.Listen("tcp", stage.network+strconv.Itoa(100+len(stage.closers))+":0")
	must(err)
	started.stage, started.places = stage, make(chan struct{}, started.slots)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go started.serve(conn)
		}
	}()
	stage.closers = append(stage.closers, func() { _ = listener.Close() })
	must(stage.store.Put("servers", started.id, map[string]any{
		"service": "llm", "address": listener.Addr().String(), "zone": "kalamaria", "version": "v1", "slots": started.slots,
		"state": "ready", "cold_remaining_ms": 0, "stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": 1,
	}))
}

func (engine *engine) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !engine.answer(conn, request) {
			return
		}
	}
}

// answer rejects a request or streams its answer, and reports whether the channel can be kept.
func (engine *engine) answer(conn net.Conn, request *http.Request) bool {
	id, stage := request.Header.Get("X-Attempt-Id"), engine.stage
	write := func(format string, values ...any) bool {
		_, err := fmt.Fprintf(conn, format, values...)
		return err == nil
	}
	if request.Header.Get("X-Expect-Runner") != engine.id {
		return write("HTTP/1.1 421 Misdirected Request\r\nX-Runner-Id: %s\r\nContent-Length: 0\r\n\r\n", engine.id)
	}
	engine.mutex.Lock()
	full := engine.present >= engine.slots+engine.queue
	if full {
		engine.rejected++
	} else {
		engine.present++
	}
	engine.mutex.Unlock()
	if full {
		stage.note("engine %s is full and rejects %s, last event %q", engine.id, id, request.Header.Get("Last-Event-Id"))
		return write("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	}
	engine.places <- struct{}{}
	priority, _ := strconv.Atoi(request.Header.Get("X-Request-Priority"))
	own := &generation{id: id, priority: priority}
	engine.mutex.Lock()
	engine.running = append(engine.running, own)
	engine.mutex.Unlock()
	defer engine.end(own)
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	stage.note("engine %s runs %s from event %d", engine.id, id, last+1)
	if !write("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id) {
		return false
	}
	for number := last + 1; number <= engine.events; number++ {
		time.Sleep(engine.step + engine.takePause(own))
		text := fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number)
		if !write("%x\r\n%s\r\n", len(text), text) {
			stage.note("engine %s: the channel of %s was closed before event %d", engine.id, id, number)
			return false
		}
	}
	return write("0\r\n\r\n")
}

// takePause returns for how long a generation is preempted now.
func (engine *engine) takePause(own *generation) time.Duration {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	pause := own.pause
	own.pause = 0
	return pause
}

// end frees the place of a generation.
func (engine *engine) end(own *generation) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.present--
	for index, running := range engine.running {
		if running == own {
			engine.running = append(engine.running[:index], engine.running[index+1:]...)
			break
		}
	}
	<-engine.places
}

// preempt preempts the newest of the least urgent generations, if the engine is full.
func (engine *engine) preempt(pause time.Duration) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	var chosen *generation
	for _, running := range engine.running {
		if chosen == nil || running.priority >= chosen.priority {
			chosen = running
		}
	}
	if chosen == nil || chosen.preempted || len(engine.running) < engine.slots {
		return
	}
	chosen.pause, chosen.preempted = pause, true
	engine.preempted++
	engine.stage.note("engine %s preempts %s, priority %d", engine.id, chosen.id, chosen.priority)
}

// stream is what a client saw of a streaming request.
type stream struct {
	id, node    string
	sent, ended time.Time
	status      int
	events      int
	// whole is set if all events came in order and the answer was complete; broken if it broke off.
	whole, broken bool
}

// outcome names how a stream ended.
func (stream *stream) outcome() string {
	switch {
	case stream.whole:
		return "whole"
	case stream.broken:
		return "broken off"
	case stream.status == http.StatusOK:
		return "looks complete and is not"
	}
	return strconv.Itoa(stream.status)
}

// follow sends a streaming request on a new channel and reads its answer to the end.
func (stage *stage) follow(address string, events int, limit time.Duration) *stream {
	seen := &stream{id: stage.nextID(), node: address, sent: time.Now()}
	defer func() { seen.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		stage.note("client %s no channel: %v", seen.id, err)
		return seen
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(limit + time.Second))
	prompt := strings.Repeat("p", 2000)
	stage.note("client %s sends a streaming request", seen.id)
	fmt.Fprintf(conn, "POST /draft/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key-one\r\nX-Model: m\r\nX-Token-Count: 900,52\r\nX-Prompt-Prefix: 5c1e07a2:300,%s:600\r\nContent-Length: %d\r\n\r\n%s",
		seen.id, limit.Milliseconds(), seen.id[:8], len(prompt), prompt)
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		stage.note("client %s gets no answer: %v", seen.id, err)
		seen.broken = true
		return seen
	}
	seen.status = answer.StatusCode
	body, err := io.ReadAll(answer.Body)
	if answer.StatusCode != http.StatusOK {
		stage.note("client %s gets %d %.40q", seen.id, answer.StatusCode, body)
		return seen
	}
	var want strings.Builder
	for number := 1; number <= events; number++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", number, number)
	}
	seen.events = strings.Count(string(body), "data: ")
	seen.broken = err != nil
	seen.whole = err == nil && string(body) == want.String()
	stage.note("client %s gets %d events, whole %v, %v", seen.id, seen.events, seen.whole, err)
	return seen
}

// silence: an engine preempts streams in the middle while the others are full.
func silence(stage *stage) int {
	const events, timeout = 13, 6 * time.Second
	streaming := func(name, prefix string, priority int, resumes bool) route {
		return route{
			"name": name, "host": "desk.example", "path_prefix": prefix, "route_type": "streaming", "timeout_ms": timeout.Milliseconds(), "target_latency_ms": 1000,
			"priority": priority, "service": "llm", "max_attempts": 2, "public": false, "session_affinity": true, "stream_resume": resumes, "gap_aim_ms": 500,
		}
	}
	stage.configure(1, []any{tenant("huka270", "key-one")}, []any{map[string]any{
		"name": "llm", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 6, "kv_tokens": 276090, "kv_bytes": 131072, "link_mbps": 260000.0, "moves": true, "backups": true, "stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}},
	}}, streaming("r-1", "/draft/", 1, true))
	var engines []*engine
	for number := range 3 {
		engine := &engine{id: fmt.Sprintf("i-%d", number), slots: 6, queue: 2, events: events, step: 100 * time.Millisecond}
		stage.startEngine(engine)
		engines = append(engines, engine)
	}
	var nodes []*node
	for number := range 5 {
		nodes = append(nodes, stage.startNode(number+1, "kalamaria"))
	}
	time.Sleep(2 * time.Second)
	over := make(chan struct{})
	var helpers sync.WaitGroup
	if stage.trouble {
		helpers.Go(func() {
			for {
				select {
				case <-over:
					return
				case <-time.After(500 * time.Millisecond):
				}
				for _, engine := range engines {
					engine.preempt(2 * time.Second)
				}
			}
		})
	}
	var mutex sync.Mutex
	var streams []*stream
	start := time.Now()
	var clients sync.WaitGroup
	for client := range 32 {
		clients.Go(func() {
			for time.Since(start) < 33*time.Second {
				seen := stage.follow(nodes[[]int{0, 1, 2, 0, 1, 2, 3, 4}[client%8]].address, events, timeout)
				mutex.Lock()
				streams = append(streams, seen)
				mutex.Unlock()
				time.Sleep(rand.N(200 * time.Millisecond))
				if seen.status == http.StatusServiceUnavailable {
					time.Sleep(time.Second / 2) // Longer than Retry-After.
				}
			}
		})
	}
	// Planned work: three nodes of five get SIGHUP, two seconds apart, again and again, as their settings files are
	// written anew.
	hups := make(map[string][]time.Time)
	for number := range 45 {
		time.Sleep(2 * time.Second / 3)
		node := nodes[number%3]
		hups[node.address] = append(hups[node.address], time.Now())
		stage.note("SIGHUP to %s", node.name)
		must(node.command.Process.Signal(syscall.SIGHUP))
	}
	clients.Wait()
	for _, node := range nodes {
		stage.keepLog(node)
	}
	close(over)
	helpers.Wait()
	counts := make(map[string]int)
	lost := 0
	for _, seen := range streams {
		counts[seen.outcome()]++
		// The rule does not count what has reached its time limit.
		if !seen.broken || seen.ended.Sub(seen.sent) >= timeout*9/10 {
			continue
		}
		for _, hup := range hups[seen.node] {
			if after := seen.sent.Sub(hup); after >= 0 && after <= 2*time.Second {
				lost++
				stage.note("LOST: %s, sent %.3f s after SIGHUP, ended %.3f s later after event %d of %d", seen.id, after.Seconds(), seen.ended.Sub(seen.sent).Seconds(), seen.events, events)
				break
			}
		}
	}
	for _, engine := range engines {
		stage.note("engine %s preempted %d streams and rejected %d requests", engine.id, engine.preempted, engine.rejected)
	}
	stage.note("streams by outcome %v; lost around planned work %d", counts, lost)
	if lost > 0 {
		return broken
	}
	return held
}
