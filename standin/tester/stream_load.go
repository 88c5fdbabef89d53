package tester

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Outcome is how a request of a caller ended.
type Outcome string

const (
	// Whole marks an answer that came to its end.
	Whole Outcome = "whole"
	// Refused marks an answer that states that the request was not run.
	Refused Outcome = "refused"
	// Failed marks any other answer that is no success.
	Failed Outcome = "failed"
	// Cut marks a success that ended early.
	Cut Outcome = "cut"
	// Closed marks a connection that was closed without an answer after the request was sent.
	Closed Outcome = "closed"
	// Unconnected marks a request that was not sent.
	Unconnected Outcome = "unconnected"
	// GivenUp marks a request that the caller gave up.
	GivenUp Outcome = "givenUp"
)

// callerPatience is how long a caller waits for the end of a stream.
const callerPatience = 15 * time.Second

// StreamLoad is the traffic of callers that ask for streams.
type StreamLoad struct {
	Path string
	// PerSecond is the number of requests that begin in a second, for Span.
	PerSecond float64
	Span      time.Duration
	// BodyBytes is the usual size of a request's body, LargeBodyBytes that of one in eight.
	BodyBytes      int
	LargeBodyBytes int
	// Events is the number of events of a whole stream; 0 for answers that are no streams.
	Events int
	// ReadPause is the pause of a slow caller before each read, SlowShare the part of such callers.
	ReadPause time.Duration
	SlowShare float64
	// FirstShare is the part of the requests that the first machine gets; the others share the rest evenly.
	FirstShare float64
}

// StreamResult is how one request ended.
type StreamResult struct {
	Machine string
	Attempt string
	Outcome Outcome
	Status  int
	Events  int
	Began   time.Time
	Ended   time.Time
	Text    string
}

// Send sends the load to the machines and returns the results in the order in which the requests ended.
func (load StreamLoad) Send(machines []*Machine, seed uint64) []StreamResult {
	random := rand.New(rand.NewPCG(seed, 0))
	var group conc.WaitGroup
	var mutex sync.Mutex
	var results []StreamResult
	interval := time.Duration(float64(time.Second) / load.PerSecond)
	began := time.Now()
	for number := 0; time.Duration(number)*interval < load.Span; number++ {
		<-time.After(time.Until(began.Add(time.Duration(number) * interval)))
		machine := load.pick(machines, random)
		slow, size := random.Float64() < load.SlowShare, load.BodyBytes
		if load.LargeBodyBytes > 0 && random.IntN(8) == 0 {
			size = load.LargeBodyBytes
		}
		attempt := fmt.Sprintf("%s-%d-%d", strings.Trim(load.Path, "/"), seed, number)
		group.Go(func() {
			result := load.receive(machine, attempt, size, slow)
			mutex.Lock()
			defer mutex.Unlock()
			results = append(results, result)
		})
	}
	group.Wait()
	return results
}

// pick returns a machine that callers open connections to.
func (load StreamLoad) pick(machines []*Machine, random *rand.Rand) *Machine {
	for {
		machine := machines[0]
		if len(machines) > 1 && random.Float64() >= load.FirstShare {
			machine = machines[1+random.IntN(len(machines)-1)]
		}
		if !machine.retired.Load() {
			return machine
		}
	}
}

// receive sends one request and reads its answer.
func (load StreamLoad) receive(machine *Machine, attempt string, size int, slow bool) (result StreamResult) {
	result = StreamResult{Machine: machine.Name, Attempt: attempt, Began: time.Now(), Outcome: Unconnected}
	defer func() { result.Ended = time.Now() }()
	conn, err := machine.Dial()
	if err != nil {
		result.Text = err.Error()
		return result
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	request := machine.Request(load.Path).WithContext(ctx)
	request.Header.Set("X-Attempt-Id", attempt)
	if size > 0 {
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(bytes.Repeat([]byte("b"), size))), int64(size)
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}
	response, err := transport.RoundTrip(request)
	if err != nil {
		result.Outcome, result.Text = Closed, err.Error()
		if ctx.Err() != nil {
			result.Outcome = GivenUp
		}
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.Status = response.StatusCode
	pause := time.Duration(0)
	if slow {
		pause = load.ReadPause
	}
	err = load.read(response.Body, pause, &result)
	switch {
	case ctx.Err() != nil:
		result.Outcome = GivenUp
	case err != nil:
		result.Outcome, result.Text = Cut, err.Error()
	case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests:
		result.Outcome = Refused
	case response.StatusCode != http.StatusOK:
		result.Outcome = Failed
	case load.Events > 0 && result.Events < load.Events:
		result.Outcome, result.Text = Cut, "the stream looks complete"
	default:
		result.Outcome = Whole
	}
	return result
}

// read reads an answer to its end and counts its events.
func (load StreamLoad) read(body io.Reader, pause time.Duration, result *StreamResult) error {
	const slowReadBytes = 256
	if pause > 0 {
		body = &pausingReader{Reader: body, most: slowReadBytes, pause: pause}
	}
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "id: "); found {
			if number, err := strconv.Atoi(text); err != nil || number != result.Events+1 {
				return fmt.Errorf("event %q after %d", text, result.Events)
			}
			result.Events++
		}
	}
	return lines.Err()
}

// pausingReader reads few bytes at a time, after a pause.
type pausingReader struct {
	io.Reader
	most  int
	pause time.Duration
}

// Read reads after the pause.
func (reader *pausingReader) Read(data []byte) (int, error) {
	time.Sleep(reader.pause)
	return reader.Reader.Read(data[:min(len(data), reader.most)])
}
