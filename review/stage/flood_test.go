//go:build review

package stage

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The memory of a machine in MB, as in the site file of failte-replies; the platform kills a process that exceeds it.
const machineMemory = 134

// flood: a faulty runner sends bytes that are no response in place of some of its answers.
func flood(stage *stage) int {
	// The faulty runner spoils two answers in a hundred for five seconds, four times. floodBytes take two thirds
	// of a second on its link of 1,000 Mbit/s.
	const spell, share, spells, floodBytes = 5 * time.Second, 0.02, 4, 80 << 20
	stage.memory = machineMemory
	stage.configure(1, []any{tenant("huka270", "key-one")}, []any{service("desk", 110)}, route{
		"name": "r-1", "host": "desk.example", "path_prefix": "/reviews/", "route_type": "safe", "timeout_ms": 4000, "target_latency_ms": 300,
		"priority": 2, "service": "desk", "max_attempts": 2, "public": false, "session_affinity": false, "stream_resume": false,
	})
	faulty := &runner{id: "i-faulty", service: "desk", zone: "hall-a", slots: 6, queue: 24, work: 60 * time.Millisecond}
	sound := &runner{id: "i-sound", service: "desk", zone: "hall-a", slots: 6, queue: 24, work: 60 * time.Millisecond}
	var mutex sync.Mutex
	var from time.Time
	answers, spoilt := 0, 0
	faulty.spoil = func(conn net.Conn) bool {
		mutex.Lock()
		answers++
		due := stage.trouble && time.Since(from) < spell && float64(spoilt+1) <= share*float64(answers)
		if due {
			spoilt++
		}
		mutex.Unlock()
		if !due {
			return false
		}
		stage.note("runner %s sends bytes that are no response", faulty.id)
		chunk, sent, began := bytes.Repeat([]byte{'x'}, 1<<20), 0, time.Now()
		for sent < floodBytes {
			count, err := conn.Write(chunk)
			sent += count
			if err != nil {
				break
			}
			// 1,000 Mbit/s.
			time.Sleep(time.Until(began.Add(time.Duration(sent) * 8 * time.Nanosecond)))
		}
		stage.note("runner %s has sent %d MB that are no response in %d ms", faulty.id, sent>>20, time.Since(began).Milliseconds())
		return true
	}
	stage.startRunner(faulty)
	stage.startRunner(sound)
	nodes := []*node{stage.startNode(1, "hall-a"), stage.startNode(2, "hall-a")}
	var watchers sync.WaitGroup
	over := make(chan struct{})
	for _, node := range nodes {
		watchers.Go(func() { stage.keepWithin(node, over) })
	}
	for number := range spells {
		mutex.Lock()
		from, answers, spoilt = time.Now(), 0, 0
		mutex.Unlock()
		stage.note("spell %d begins", number+1)
		var clients sync.WaitGroup
		for client := range 24 {
			clients.Go(func() {
				kept := &channel{stage: stage, address: nodes[client%2].address}
				defer kept.close()
				for end := time.Now().Add(spell + time.Second); time.Now().Before(end); time.Sleep(rand.N(100 * time.Millisecond)) {
					kept.ask(&call{id: stage.nextID(), method: "GET", target: fmt.Sprintf("/reviews/%d", client), host: "desk.example", key: "key-one", limit: 4 * time.Second})
				}
			})
		}
		clients.Wait()
		stage.note("spell %d ends: the faulty runner gave %d answers and spoilt %d", number+1, answers, spoilt)
		time.Sleep(4 * time.Second)
	}
	close(over)
	watchers.Wait()
	ended := 0
	for _, node := range nodes {
		stage.note("%s was over %d MB %d times; its largest process took %d MB", node.name, machineMemory, node.kills, node.peak)
		if node.kills >= 3 {
			ended++
		}
	}
	if ended >= 2 {
		return broken
	}
	return held
}

// keepWithin does what the platform does: it kills a process that exceeds the machine's memory, and starts it again
// after a second.
func (stage *stage) keepWithin(node *node, over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := memoryOf(node.command.Process.Pid)
		node.peak = max(node.peak, used)
		if used <= machineMemory {
			continue
		}
		stage.note("%s takes %d MB and is killed by the platform", node.name, used)
		node.kills++
		_ = node.command.Process.Kill()
		<-node.ended
		time.Sleep(time.Second)
		stage.launch(node)
	}
}

// memoryOf returns the resident memory of a process in MB.
func memoryOf(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes >> 10
		}
	}
	return 0
}
