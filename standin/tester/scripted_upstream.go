package tester

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
	At   time.Time
	Node string
	// SentAt is the time at which the caller sent the request.
	SentAt time.Time
}

// Script sets headers of a response that announce the upstream's state to the node. It reports
// whether it announced something and whether the upstream refuses the request.
type Script func(header http.Header) (announces, refuses bool)

// ScriptedUpstream is an upstream whose responses follow a script. It records the requests that
// reach it.
type ScriptedUpstream struct {
	Name    string
	Address string
	// Mutex guards the fields below; no other lock is acquired while it is held.
	Mutex    sync.Mutex
	script   Script
	Arrivals []arrival
	// AnnouncedAt holds the time of the first announcement to each node, announcements all of them.
	AnnouncedAt   map[string]time.Time
	Announcements []arrival
}

// StartScripted starts and lists an upstream without a script.
func StartScripted(fleet *Fleet, name string) *ScriptedUpstream {
	upstream := &ScriptedUpstream{Name: name, AnnouncedAt: make(map[string]time.Time)}
	upstream.Address = fleet.StartUpstream(name, upstream.Serve).Listener.Addr().String()
	return upstream
}

// StartAllScripted starts and lists the given number of upstreams.
func StartAllScripted(fleet *Fleet, count int) []*ScriptedUpstream {
	var upstreams []*ScriptedUpstream
	for number := range count {
		upstreams = append(upstreams, StartScripted(fleet, fmt.Sprintf("u%d", number)))
	}
	return upstreams
}

// SetScript sets the script of all later responses; nil announces nothing.
func (upstream *ScriptedUpstream) SetScript(script Script) {
	upstream.Mutex.Lock()
	defer upstream.Mutex.Unlock()
	upstream.script = script
}

// Serve responds to a request as the script says.
func (upstream *ScriptedUpstream) Serve(writer http.ResponseWriter, request *http.Request) {
	node := request.Header.Get("X-Node")
	script := upstream.recordArrival(node, SentAt(request))
	WriteAttemptHeaders(writer, request)
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
func (upstream *ScriptedUpstream) recordArrival(node string, sentAt time.Time) Script {
	upstream.Mutex.Lock()
	defer upstream.Mutex.Unlock()
	upstream.Arrivals = append(upstream.Arrivals, arrival{At: time.Now(), Node: node, SentAt: sentAt})
	return upstream.script
}

// recordAnnouncement records that the upstream has sent an announcement to a node.
func (upstream *ScriptedUpstream) recordAnnouncement(node string) {
	upstream.Mutex.Lock()
	defer upstream.Mutex.Unlock()
	now := time.Now()
	upstream.Announcements = append(upstream.Announcements, arrival{At: now, Node: node})
	if _, found := upstream.AnnouncedAt[node]; !found {
		upstream.AnnouncedAt[node] = now
	}
}

// ArrivalsSince counts the requests that reached the upstream after the given time.
func (upstream *ScriptedUpstream) ArrivalsSince(from time.Time) int {
	upstream.Mutex.Lock()
	defer upstream.Mutex.Unlock()
	count := 0
	for _, arrival := range upstream.Arrivals {
		if arrival.At.After(from) {
			count++
		}
	}
	return count
}
