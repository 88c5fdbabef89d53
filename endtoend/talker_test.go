package endtoend_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// talkerWork is how long a talker takes for a request that it runs.
const talkerWork = 20 * time.Millisecond

// arrival is one request that reached an upstream.
type arrival struct {
	at   time.Time
	node string
	// sentAt is when the caller sent it.
	sentAt time.Time
}

// says has an upstream say something in an answer, and tells whether it did, and whether it
// turns the request away.
type says func(header http.Header) (said, refuses bool)

// talker is an upstream that says in its answers how it wants to be asked, and what reached it.
type talker struct {
	name    string
	address string
	// mutex guards the rest; no other lock is taken under it.
	mutex    sync.Mutex
	says     says
	arrivals []arrival
	// told holds when each node was first answered with what the upstream says, and said each
	// of those answers.
	told map[string]time.Time
	said []arrival
}

// startTalker starts and lists an upstream that says nothing yet.
func startTalker(fleet *fleet, name string) *talker {
	talker := &talker{name: name, told: make(map[string]time.Time)}
	talker.address = fleet.upstream(name, talker.serve).Listener.Addr().String()
	return talker
}

// startTalkers starts so many.
func startTalkers(fleet *fleet, count int) []*talker {
	var all []*talker
	for number := range count {
		all = append(all, startTalker(fleet, fmt.Sprintf("u%d", number)))
	}
	return all
}

// say sets what the upstream says from now on; nil is nothing.
func (talker *talker) say(says says) {
	talker.mutex.Lock()
	defer talker.mutex.Unlock()
	talker.says = says
}

func (talker *talker) serve(writer http.ResponseWriter, request *http.Request) {
	node := request.Header.Get("X-Node")
	says := talker.arrive(node, request.Header.Get(sentAtHeader))
	sign(writer, request)
	said, refuses := false, false
	if says != nil {
		said, refuses = says(writer.Header())
	}
	if refuses {
		writer.Header().Del("X-Response-Seal")
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	} else {
		<-time.After(talkerWork)
		_, _ = io.WriteString(writer, "served") // A caller that has left needs no answer.
	}
	if said {
		talker.note(node)
	}
}

// arrive notes a request, and returns what is said of it.
func (talker *talker) arrive(node, sentAt string) says {
	talker.mutex.Lock()
	defer talker.mutex.Unlock()
	sent, err := time.Parse(time.RFC3339Nano, sentAt)
	if err != nil {
		sent = time.Time{}
	}
	talker.arrivals = append(talker.arrivals, arrival{at: time.Now(), node: node, sentAt: sent})
	return talker.says
}

// note notes that the upstream has said it to a node.
func (talker *talker) note(node string) {
	talker.mutex.Lock()
	defer talker.mutex.Unlock()
	now := time.Now()
	talker.said = append(talker.said, arrival{at: now, node: node})
	if _, known := talker.told[node]; !known {
		talker.told[node] = now
	}
}

// since counts the requests that reached the upstream from the time on.
func (talker *talker) since(from time.Time) int {
	talker.mutex.Lock()
	defer talker.mutex.Unlock()
	count := 0
	for _, arrival := range talker.arrivals {
		if arrival.at.After(from) {
			count++
		}
	}
	return count
}
