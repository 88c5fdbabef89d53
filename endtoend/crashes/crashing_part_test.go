package crashes_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/tester"
)

const (
	// crashingPart is the part of prompts that crashes each upstream that begins to answer them.
	crashingPart = "dead0"
	// partCrashesUntilDetection is the number of crashes from which on the users count late sends of
	// requests with the part.
	partCrashesUntilDetection = 5
	// partCallers callers send requests with the part, each with a pause of partInterval.
	partCallers  = 2
	partInterval = 200 * time.Millisecond
	// partDuration is the total time for which requests with the part are sent.
	partDuration = 7 * time.Second
	// soundCallers callers send other requests, each with a pause of soundInterval.
	soundCallers  = 8
	soundInterval = 20 * time.Millisecond
	// soundEvents is the number of events of a sound stream, soundPause the time between them.
	soundEvents = 6
	soundPause  = 15 * time.Millisecond
)

// promptParts are the parts of the prompts that callers send, before a last one of the request's own.
type promptParts struct {
	crashing string
	// sound are the parts of the sound prompts, which callers send in turn.
	sound []string
}

// TestPartsThatEndTheirUpstreams sends requests with a part in their prompts that crashes each upstream
// which runs them, no two requests alike, beside sound ones with the same key and other parts in common.
//
// It guards against nodes that attribute crashes to whole requests only, so that each request with the part
// crashes another upstream.
func TestPartsThatEndTheirUpstreams(t *testing.T) {
	t.Run("beside parts of sound prompts", func(t *testing.T) {
		parts := promptParts{
			crashing: "first:100,beside:50," + crashingPart + ":50",
			sound:    []string{"first:100,beside:50", "first:100,beside:50,other:50", "first:100,another:50", "first:100", "second:100"},
		}
		tester.WithAndWithoutDelegation(t, func(t *testing.T, fleet *tester.Fleet) { partThatCrashesUpstreams(t, fleet, parts) })
	})
	t.Run("first", func(t *testing.T) {
		partThatCrashesUpstreams(t, tester.NewFleet(t), promptParts{
			crashing: crashingPart + ":100,beside:50",
			sound:    []string{"first:100,beside:50", "second:100,beside:50"},
		})
	})
}

// withPrompt returns the request with the prompt of the parts and one of its own.
func withPrompt(request *http.Request, parts string) *http.Request {
	attempt := request.Header.Get("X-Attempt-Id")
	request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%s,own%s:20", parts, attempt))
	return withBody(request, "the prompt of "+attempt)
}

// streamShortly streams the events of a sound request.
func streamShortly(writer http.ResponseWriter, request *http.Request) {
	tester.WriteAttemptHeaders(writer, request)
	writer.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(writer)
	for number := range soundEvents {
		<-time.After(soundPause)
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: x\n\n", number+1); err != nil || control.Flush() != nil {
			return
		}
	}
}

func partThatCrashesUpstreams(t *testing.T, fleet *tester.Fleet, parts promptParts) {
	fleet.Configure(tester.StreamRule("/draft/", false))
	isCrashing := func(request *http.Request, _ string) bool {
		return strings.Contains(request.Header.Get("X-Prompt-Prefix"), crashingPart)
	}
	upstreams := startCrashingUpstreams(t, fleet, isCrashing, streamShortly)
	nodes := fleet.StartNodes(crashNodes)

	until := time.Now().Add(partDuration)
	var sound []tester.Exchange
	var mutex sync.Mutex
	var callers conc.WaitGroup
	for number := range soundCallers {
		callers.Go(func() {
			client := tester.NewClient(t)
			for count := number; time.Now().Before(until); count++ {
				at := time.Now()
				reply := client.Send(withPrompt(nodes[count%len(nodes)].Request("/draft/"), parts.sound[count%len(parts.sound)]))
				mutex.Lock()
				sound = append(sound, tester.Exchange{SentAt: at, Reply: reply})
				mutex.Unlock()
				<-time.After(soundInterval)
			}
		})
	}
	for number := range partCallers {
		callers.Go(func() {
			client := tester.NewClient(t)
			for count := number; time.Now().Before(until); count++ {
				client.Send(withPrompt(nodes[count%len(nodes)].Request("/draft/"), parts.crashing))
				<-time.After(partInterval)
			}
		})
	}
	callers.Wait()
	upstreams.checkParts(t, sound)
}

// checkParts checks that the part was found in time, and that the sound requests were served from then on.
func (upstreams *crashingUpstreams) checkParts(t *testing.T, sound []tester.Exchange) {
	from, late := upstreams.lateSends(partCrashesUntilDetection)
	assert.Assert(t, !from.IsZero(), "only %d upstreams crashed", len(upstreams.crashes))
	assert.Check(t, late <= allowedLateSends, "%d upstreams crashed; %d later sends", len(upstreams.crashes), late)
	counted, served, heldOff := 0, 0, 0
	for _, request := range sound {
		if strings.Contains(request.Reply.Text, "heldOff") {
			heldOff++
		}
		if request.SentAt.Before(from) {
			continue
		}
		counted++
		if request.Reply.Status == http.StatusOK {
			served++
		}
	}
	t.Logf("%d sends, %d crashes, %d late sends; %d of %d sound requests served after the detection timeout, %d held off in all", len(upstreams.sends), len(upstreams.crashes), late, served, counted, heldOff)
	assert.Check(t, heldOff == 0, "%d sound requests were held off", heldOff)
	assert.Check(t, float64(served) >= otherServedShare*float64(counted), "%d of %d sound requests were served", served, counted)
}
