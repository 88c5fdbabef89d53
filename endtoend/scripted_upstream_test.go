package endtoend_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// scriptedWork is the time that a scripted upstream needs for a request that it runs.
const scriptedWork = 20 * time.Millisecond

// arrival is one request that reached an upstream.
type arrival struct {
	at   time.Time
	node string
	// sentAt is the time at which the caller sent the request.
	sentAt time.Time
}

// script sets headers of a response that announce the upstream's state to the node. It reports
// whether it announced something and whether the upstream refuses the request.
type script func(header http.Header) (announces, refuses bool)

// scriptedUpstream is an upstream whose responses follow a script. It records the requests that
// reach it.
type scriptedUpstream struct {
	name    string
	address string
	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex    sync.Mutex
	script   script
	arrivals []arrival
	// announcedAt holds the time of the first announcement to each node, announcements all of them.
	announcedAt   map[string]time.Time
	announcements []arrival
}

// startScripted starts and lists an upstream without a script.
func startScripted(fleet *fleet, name string) *scriptedUpstream {
	upstream := &scriptedUpstream{name: name, announcedAt: make(map[string]time.Time)}
	upstream.address = fleet.startUpstream(name, upstream.serve).Listener.Addr().String()
	return upstream
}

// startAllScripted starts and lists the given number of upstreams.
func startAllScripted(fleet *fleet, count int) []*scriptedUpstream {
	var upstreams []*scriptedUpstream
	for number := range count {
		upstreams = append(upstreams, startScripted(fleet, fmt.Sprintf("u%d", number)))
	}
	return upstreams
}

// setScript sets the script of all later responses; nil announces nothing.
func (upstream *scriptedUpstream) setScript(script script) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.script = script
}

func (upstream *scriptedUpstream) serve(writer http.ResponseWriter, request *http.Request) {
	node := request.Header.Get("X-Node")
	script := upstream.recordArrival(node, request.Header.Get(sentAtHeader))
	writeAttemptHeaders(writer, request)
	announces, refuses := false, false
	if script != nil {
		announces, refuses = script(writer.Header())
	}
	if refuses {
		writer.Header().Del("X-Response-Seal")
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	} else {
		<-time.After(scriptedWork)
		_, _ = io.WriteString(writer, "served") // A disconnected caller needs no response.
	}
	if announces {
		upstream.recordAnnouncement(node)
	}
}

// recordArrival records a request and returns the current script.
func (upstream *scriptedUpstream) recordArrival(node, sentAt string) script {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	sent, err := time.Parse(time.RFC3339Nano, sentAt)
	if err != nil {
		sent = time.Time{}
	}
	upstream.arrivals = append(upstream.arrivals, arrival{at: time.Now(), node: node, sentAt: sent})
	return upstream.script
}

// recordAnnouncement records that the upstream has sent an announcement to a node.
func (upstream *scriptedUpstream) recordAnnouncement(node string) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	now := time.Now()
	upstream.announcements = append(upstream.announcements, arrival{at: now, node: node})
	if _, found := upstream.announcedAt[node]; !found {
		upstream.announcedAt[node] = now
	}
}

// arrivalsSince counts the requests that reached the upstream after the given time.
func (upstream *scriptedUpstream) arrivalsSince(from time.Time) int {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	count := 0
	for _, arrival := range upstream.arrivals {
		if arrival.at.After(from) {
			count++
		}
	}
	return count
}
