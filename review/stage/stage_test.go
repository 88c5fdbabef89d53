//go:build review

// Package stage holds the stand-ins of the review's scripts: clients, runners and the platform's store, and
// the start of nodes as separate processes. It is built as a test binary, so that neither CI nor the
// default test run includes it; see review/build.sh.
package stage

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"limpetcleat/standin/store"
)

// The exit codes of a script.
const (
	held   = 0
	broken = 1
	unable = 2
)

// TestMain runs the scenario that the environment variable STAGE_CASE names.
func TestMain(*testing.M) {
	scenarios := map[string]func(*stage) int{"refusal": refusal, "tenants": tenants, "slashes": slashes, "flood": flood, "silence": silence}
	run, ok := scenarios[os.Getenv("STAGE_CASE")]
	if !ok {
		fmt.Fprintln(os.Stderr, "STAGE_CASE names no scenario")
		os.Exit(unable)
	}
	os.Exit(play(run))
}

// stage is one play of a scenario.
type stage struct {
	trouble bool
	// memory is the memory of a machine in MB.
	memory  int
	folder  string
	began   time.Time
	mutex   sync.Mutex
	record  io.Writer
	network string
	store   *store.Store
	// storeAddress is where the store listens.
	storeAddress string
	nodes        []*node
	closers      []func()
	sequence     atomic.Uint64
}

// node is one process of the project.
type node struct {
	name    string
	address string
	ready   string
	command *exec.Cmd
	ended   chan struct{}
	// settings is the path of its settings file, and log receives what it writes.
	settings string
	log      *os.File
	// kills counts how often the platform killed it, and peak is the most memory that it took in MB.
	kills, peak int
}

func play(run func(*stage) int) (code int) {
	folder, err := os.MkdirTemp("", "stage")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer os.RemoveAll(folder)
	record, err := os.Create(os.Getenv("STAGE_RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer record.Close()
	stage := &stage{memory: 284, trouble: os.Getenv("TROUBLE") != "0", folder: folder, record: record, began: time.Now()}
	defer stage.close()
	defer func() {
		if cause := recover(); cause != nil {
			stage.note("the case could not run: %v", cause)
			fmt.Fprintln(os.Stderr, "the case could not run:", cause)
			code = unable
		}
	}()
	limit := time.AfterFunc(115*time.Second, func() {
		stage.note("the case took too long")
		stage.close()
		os.Exit(unable)
	})
	defer limit.Stop()
	stage.openStore()
	code = run(stage)
	stage.note("exit code %d", code)
	return code
}

// must panics if there is an error, which play turns into the exit code of a case that could not run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// note writes a line to the record.
func (stage *stage) note(format string, values ...any) {
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	fmt.Fprintf(stage.record, "%9.3f %s\n", time.Since(stage.began).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes of the stage.
func (stage *stage) close() {
	for _, node := range stage.nodes {
		_ = node.command.Process.Kill()
		<-node.ended
	}
	for _, end := range stage.closers {
		end()
	}
}

// openStore starts the platform's store, and chooses the network of the stage.
func (stage *stage) openStore() {
	stage.store = store.New()
	for range 50 {
		stage.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		listener, err := net.Listen("tcp", stage.network+"250:0")
		if err != nil {
			continue
		}
		stage.storeAddress = listener.Addr().String()
		server := &http.Server{Handler: stage.store.Handler()}
		go func() { _ = server.Serve(listener) }()
		stage.closers = append(stage.closers, func() { _ = server.Close() })
		return
	}
	panic("no address for the store")
}

// startNode starts a node with the command of the deploy file, and waits until it is ready.
func (stage *stage) startNode(number int, zone string) *node {
	ip := stage.network + strconv.Itoa(number)
	inner := freePort(ip)
	started := &node{name: "frontend-" + strconv.Itoa(number), address: net.JoinHostPort(ip, strconv.Itoa(freePort(ip))), ready: net.JoinHostPort(ip, strconv.Itoa(freePort(ip)))}
	settings := fmt.Sprintf(settingsText, started.name, ip, zone, started.address, started.ready, inner, inner, stage.memory, stage.storeAddress)
	started.settings = filepath.Join(stage.folder, started.name+".yaml")
	must(os.WriteFile(started.settings, []byte(settings), 0o600))
	log, err := os.Create(filepath.Join(stage.folder, started.name+".log"))
	must(err)
	started.log = log
	stage.launch(started)
	stage.nodes = append(stage.nodes, started)
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		answer, err := http.Get("http://" + started.ready + "/readyz")
		if err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				break
			}
		}
		if time.Now().After(deadline) {
			panic(started.name + " did not become ready")
		}
	}
	stage.note("%s is ready", started.name)
	return started
}

// launch starts the process of a node with the command of the deploy file.
func (stage *stage) launch(node *node) {
	command := exec.Command("target/limpetcleat", "platform", "-metricsPort", "9464")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LIMPETCLEAT_SETTINGS=" + node.settings}
	command.Stdout, command.Stderr = node.log, node.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(command.Start())
	ended := make(chan struct{})
	node.command, node.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
}

// keepLog copies the log of a node beside the record, for the reviewer.
func (stage *stage) keepLog(node *node) {
	if to := os.Getenv("STAGE_LOGS"); to != "" {
		data, _ := os.ReadFile(filepath.Join(stage.folder, node.name+".log"))
		_ = os.WriteFile(filepath.Join(to, node.name+".log"), data, 0o600)
	}
}

func freePort(ip string) int {
	listener, err := net.Listen("tcp", ip+":0")
	must(err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

// settingsText has the bounds of a small deployment.
const settingsText = `node: %q
role: "entry"
machine_class: "frontend"
serves: ["frontend"]
ip: %q
zone: %q
region: "makedonia"
zones: {kalamaria: "makedonia", sindos: "makedonia"}
listen: {frontend: %q, ready: %q}
internal_ports: [%d, %d]
seeds: []
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: %d, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
bounds: {seed_lag_s: 3, reuse_after_s: 2, stable_window_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, strict_revoke: true, revoke_ms: 5000, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 56, recovery_s: 12, pass_ms: 120, again_s: 9.9}
platform: {address: %q, form: "objects", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`

// route is a route of the desired state.
type route map[string]any

// configure writes a desired state to the store, whose answer is the ack.
func (stage *stage) configure(version int, tenants []any, services []any, routes ...route) {
	must(stage.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}))
	stage.note("the store acknowledged version %d of the desired state", version)
}

func tenant(name string, keys ...string) any {
	return map[string]any{"name": name, "api_keys": keys, "priority": 1}
}

func service(name string, channels int) any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": channels, "protocol": "h1", "tls": false}
}

// call is one request of a client.
type call struct {
	id     string
	method string
	target string
	host   string
	key    string
	body   string
	limit  time.Duration
}

// channel is a kept channel of a client to a node.
type channel struct {
	stage   *stage
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// ask sends a request on the channel, which it opens if needed, and returns the status and the body. The
// status is 0 if the channel ended without an answer.
func (channel *channel) ask(call *call) (int, string) {
	stage := channel.stage
	if channel.conn == nil {
		conn, err := net.DialTimeout("tcp", channel.address, time.Second)
		if err != nil {
			stage.note("client %s no channel: %v", call.id, err)
			return 0, ""
		}
		channel.conn, channel.reader = conn, bufio.NewReader(conn)
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", call.method, call.target, call.host, call.id, call.limit.Milliseconds())
	if call.key != "" {
		fmt.Fprintf(&text, "Authorization: Bearer %s\r\n", call.key)
	}
	if call.body != "" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(call.body))
	}
	fmt.Fprintf(&text, "\r\n%s", call.body)
	stage.note("client %s sends %s %s%s", call.id, call.method, call.host, call.target)
	_ = channel.conn.SetDeadline(time.Now().Add(call.limit + time.Second))
	_, err := channel.conn.Write(text.Bytes())
	var answer *http.Response
	if err == nil {
		answer, err = http.ReadResponse(channel.reader, &http.Request{Method: call.method})
	}
	var body []byte
	if err == nil {
		body, err = io.ReadAll(answer.Body)
	}
	if err != nil {
		stage.note("client %s gets no answer: %v", call.id, err)
		channel.close()
		return 0, ""
	}
	stage.note("client %s gets %d, seal %q, id %q, retry after %q, body %.60q", call.id, answer.StatusCode, answer.Header.Get("X-Response-Seal"), answer.Header.Get("X-Attempt-Id"), answer.Header.Get("Retry-After"), body)
	if answer.Close {
		channel.close()
	}
	return answer.StatusCode, string(body)
}

func (channel *channel) close() {
	if channel.conn != nil {
		_ = channel.conn.Close()
		channel.conn = nil
	}
}

// nextID returns a new X-Attempt-Id.
func (stage *stage) nextID() string {
	return fmt.Sprintf("%08x%08x", rand.Uint32(), stage.sequence.Add(1))
}

// run is what a runner did with a request.
type run struct {
	id, method, target, host, tenant, runner string
	at                                       time.Time
}

// runner is a stand-in of a plain runner.
type runner struct {
	stage   *stage
	id      string
	service string
	zone    string
	address string
	slots   int
	queue   int
	work    time.Duration
	// extra decides whether an answer is repeated, late; nil repeats none.
	extra func(answer []byte) bool
	// spoil may send something else in place of an answer, and reports whether it did; nil never does.
	spoil func(conn net.Conn) bool

	mutex   sync.Mutex
	present int
	runs    []run
	// answered and repeated count its answers, and those that it sent once more.
	answered, repeated int
	places             chan struct{}
	listener           net.Listener
}

// startRunner starts a runner, which registers in the store.
func (stage *stage) startRunner(started *runner) *runner {
	listener, err := net.Listen("tcp", stage.network+strconv.Itoa(100+len(stage.closers))+":0")
	must(err)
	started.stage, started.listener, started.address = stage, listener, listener.Addr().String()
	started.places = make(chan struct{}, started.slots)
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
		"service": started.service, "address": started.address, "zone": started.zone, "version": "v1", "slots": started.slots,
		"state": "ready", "cold_remaining_ms": 0, "stage": "colocated", "models": []any{}, "sequence": 1,
	}))
	return started
}

// serve serves the requests on one channel, one at a time.
func (runner *runner) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if late != nil {
			// An extra response may arrive late, at the point where the next response is expected.
			runner.stage.note("runner %s sends the extra response as %s comes", runner.id, request.Header.Get("X-Attempt-Id"))
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := runner.answer(request)
		if runner.spoil != nil && runner.spoil(conn) {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if runner.extra != nil && runner.extra(answer) {
			late = answer
		}
	}
}

// answer runs or rejects a request and returns the bytes of the answer.
func (runner *runner) answer(request *http.Request) []byte {
	id := request.Header.Get("X-Attempt-Id")
	if request.Header.Get("X-Expect-Runner") != runner.id {
		return []byte("HTTP/1.1 421 Misdirected Request\r\nX-Runner-Id: " + runner.id + "\r\nContent-Length: 0\r\n\r\n")
	}
	runner.mutex.Lock()
	runner.answered++
	if runner.present >= runner.slots+runner.queue {
		runner.mutex.Unlock()
		runner.stage.note("runner %s is full and rejects %s", runner.id, id)
		// The example of the pages for a server that sheds has this one header.
		return []byte("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	runner.present++
	runner.mutex.Unlock()
	runner.places <- struct{}{}
	ran := run{id: id, method: request.Method, target: request.RequestURI, host: request.Host, tenant: request.Header.Get("X-Tenant"), runner: runner.id, at: time.Now()}
	runner.stage.note("runner %s runs %s: %s %q host %q tenant %q", runner.id, id, ran.method, ran.target, ran.host, ran.tenant)
	time.Sleep(runner.work/2 + rand.N(runner.work))
	<-runner.places
	runner.mutex.Lock()
	runner.present--
	runner.runs = append(runner.runs, ran)
	runner.mutex.Unlock()
	body := "done " + id
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

// allRuns returns what the runners ran, by the id of the request.
func allRuns(runners ...*runner) map[string][]run {
	runs := make(map[string][]run)
	for _, runner := range runners {
		runner.mutex.Lock()
		for _, ran := range runner.runs {
			runs[ran.id] = append(runs[ran.id], ran)
		}
		runner.mutex.Unlock()
	}
	return runs
}
