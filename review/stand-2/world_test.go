//go:build review2

// Package stand_test plays the cases of the second review: it starts nodes with the command of the
// deploy file as separate processes, and stands for the platform's store, the runners and the
// clients on loopback addresses. review/build-2.sh builds it as a program.
package stand_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"limpetcleat/standin/store"
)

// world is the store, the runners and the nodes of one play.
type world struct {
	began     time.Time
	directory string
	record    *os.File
	program   string

	mutex   sync.Mutex
	store   *store.Store
	servers []*http.Server
	nodes   []*node
	version int
}

// node is a process of the system and its addresses.
type node struct {
	name    string
	zone    string
	clients string
	ready   string
	command *exec.Cmd
	exited  chan struct{}
}

// zones are those of the small deployment koumpi-router, with the number of its machines in each.
var zones = []struct {
	name  string
	count int
}{{"kalamaria", 2}, {"sindos", 3}, {"pylaia", 2}, {"evosmos", 1}}

// newWorld returns a world without nodes, whose record is written to the file.
func newWorld(record, program string) (*world, error) {
	directory, err := os.MkdirTemp("", "stand-2")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &world{began: time.Now(), directory: directory, record: file, program: program, store: store.New()}, nil
}

// note writes a line to the record, with the time since the begin of the play.
func (world *world) note(format string, values ...any) {
	line := fmt.Sprintf("%8.3f s  ", time.Since(world.began).Seconds()) + fmt.Sprintf(format, values...)
	world.mutex.Lock()
	defer world.mutex.Unlock()
	fmt.Fprintln(world.record, line)
}

// serve serves a handler on a free port of a loopback address and returns where.
func (world *world) serve(ip string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	world.mutex.Lock()
	world.servers = append(world.servers, server)
	world.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// freePort returns a port that is free at the address now.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// settings are those of DEPLOY.md, with the figures of koumpi-router.
const settings = `node: %q
role: "entry"
machine_class: "frontend"
serves: ["frontend"]
ip: %q
zone: %q
region: "makedonia"
zones: {kalamaria: "makedonia", sindos: "makedonia", pylaia: "makedonia", evosmos: "makedonia"}
listen:
  frontend: %q
  ready: %q
  control: %q
internal_ports: [%d, %d]
seeds: []
bootstrap: %t
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  stable_window_ms: 3000
  ack_ms: 4000
  catch_up_s: 4
  drain_ms: 2000
  grace_s: 8
  loss_slack_ms: 200
  config_apply_ms: 2000
  rollback_slack_ms: 250
  max_stretch_ms: 5000
  strict_revoke: true
  revoke_ms: 5000
  retry_ratio: 0.2
  retry_window_s: 10
  retry_slack: 56
  recovery_s: 12
  pass_ms: 120
  again_s: 9.9
platform:
  address: %q
  form: "objects"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
`

// startNodes starts the eight machines of the deployment and waits until all are ready.
func (world *world) startNodes(storeAddress string) error {
	number := 0
	for _, zone := range zones {
		for index := range zone.count {
			number++
			name, ip := fmt.Sprintf("frontend-%s-%d", zone.name, index+1), fmt.Sprintf("127.0.%d.%d", 10+number, 1)
			var ports [5]int
			for at := range ports {
				port, err := freePort(ip)
				if err != nil {
					return err
				}
				ports[at] = port
			}
			address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
			text := fmt.Sprintf(settings, name, ip, zone.name, address(ports[0]), address(ports[1]), address(ports[2]), ports[3], ports[3], true, storeAddress)
			path := filepath.Join(world.directory, name+".yaml")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				return err
			}
			log, err := os.Create(filepath.Join(world.directory, name+".log"))
			if err != nil {
				return err
			}
			// The run line of the role in deploy/system.toml, with a free port for metrics.
			command := exec.Command(world.program, "platform", "-metricsPort", fmt.Sprint(ports[4]))
			command.Env = append(os.Environ(), "LIMPETCLEAT_SETTINGS="+path)
			command.Stdout, command.Stderr = log, log
			command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			if err := command.Start(); err != nil {
				return err
			}
			started := &node{name: name, zone: zone.name, clients: address(ports[0]), ready: address(ports[1]), command: command, exited: make(chan struct{})}
			go func() {
				_ = command.Wait()
				close(started.exited)
			}()
			world.nodes = append(world.nodes, started)
		}
	}
	for _, node := range world.nodes {
		if err := world.awaitReady(node); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until a node says that it is ready.
func (world *world) awaitReady(node *node) error {
	client := &http.Client{Timeout: time.Second}
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get("http://" + node.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", node.name)
}

// configure writes the next desired state and returns when the store had accepted it.
func (world *world) configure(state map[string]any) (time.Time, error) {
	world.version += 3
	state["version"] = world.version
	err := world.store.Put("config", "main", state)
	return time.Now(), err
}

// close ends all that the play started.
func (world *world) close() {
	for _, node := range world.nodes {
		_ = node.command.Process.Signal(syscall.SIGCONT)
		_ = node.command.Process.Kill()
		<-node.exited
	}
	for _, server := range world.servers {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_ = server.Shutdown(ctx)
		_ = server.Close()
		cancel()
	}
	_ = world.record.Close()
	_ = os.RemoveAll(world.directory)
}

// run is one request that a runner has run.
type run struct {
	attempt string
	tenant  string
	at      time.Time
}

// runner stands for a sound runner: it answers what names it with a stream of three events, and keeps what it ran.
type runner struct {
	name  string
	world *world
	// work is the time before each event.
	work time.Duration

	mutex sync.Mutex
	runs  []run
}

func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/healthz" {
		writer.Header().Set("X-Runner-Id", runner.name)
		return
	}
	attempt := request.Header.Get("X-Attempt-Id")
	writer.Header().Set("X-Attempt-Id", attempt)
	if expected := request.Header.Get("X-Expect-Runner"); expected != "" && expected != runner.name {
		writer.Header().Set("X-Runner-Id", runner.name)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	runner.mutex.Lock()
	runner.runs = append(runner.runs, run{attempt: attempt, tenant: request.Header.Get("X-Tenant"), at: time.Now()})
	runner.mutex.Unlock()
	runner.world.note("run       %s by %s for tenant %s", attempt, runner.name, request.Header.Get("X-Tenant"))
	writer.Header().Set("X-Response-Seal", "seal-"+attempt)
	writer.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= 3; event++ {
		time.Sleep(runner.work)
		fmt.Fprintf(writer, "id: %d\ndata: part of the answer to %s\n\n", event, attempt)
		_ = http.NewResponseController(writer).Flush()
	}
}

// ran returns the runs of all runners by attempt.
func ran(runners []*runner) map[string]run {
	all := make(map[string]run)
	for _, runner := range runners {
		runner.mutex.Lock()
		for _, run := range runner.runs {
			all[run.attempt] = run
		}
		runner.mutex.Unlock()
	}
	return all
}

// startRunners starts runners of the service, one in each zone, and lists them.
func (world *world) startRunners(service string, work time.Duration) ([]*runner, error) {
	var runners []*runner
	for number, zone := range zones {
		runner := &runner{name: fmt.Sprintf("i-%s-%d", service, number), world: world, work: work}
		address, err := world.serve(fmt.Sprintf("127.0.%d.1", 30+number), runner)
		if err != nil {
			return nil, err
		}
		err = world.store.Put("servers", runner.name, map[string]any{
			"service": service, "address": address, "zone": zone.name, "version": "v1", "slots": 64,
			"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "stage": "colocated",
		})
		if err != nil {
			return nil, err
		}
		runners = append(runners, runner)
	}
	return runners, nil
}

// answer is what a client saw.
type answer struct {
	status int
	err    error
	at     time.Time
}

// head returns the head of a request with a body of the length.
func head(host, path, attempt, key string, limit time.Duration, length int) string {
	return strings.Join([]string{
		"POST " + path + " HTTP/1.1", "Host: " + host, "X-Attempt-Id: " + attempt,
		"X-Model: m", "X-Token-Count: 826,300", "X-Prompt-Prefix: 5c1e07a2:119,91bd3f06:79,e4402b7d:628",
		fmt.Sprintf("X-Deadline-Ms: %d", limit.Milliseconds()), "Authorization: Bearer " + key,
		fmt.Sprintf("Content-Length: %d", length), "", "",
	}, "\r\n")
}
