package forwarder_test

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/forwarder"
	"limpetcleat/registrar"
	"limpetcleat/throttler"
)

// changeFirst replaces the first upstream of the list by the changed entry, or removes it if change is nil.
func (harness *harness) changeFirst(change func(upstream *registrar.Upstream)) {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	var upstreams []*registrar.Upstream
	if change != nil {
		changed := *harness.upstreams[0]
		change(&changed)
		upstreams = append(upstreams, &changed)
	}
	harness.upstreams = append(upstreams, harness.upstreams[1:]...)
}

// Guards against a request that is sent to an upstream which left, or was replaced, between its choice and the
// first byte.
func TestUpstreamThatLeftAfterItsChoiceIsNotSent(t *testing.T) {
	changes := map[string]func(upstream *registrar.Upstream){
		"left":                       nil,
		"started again":              func(upstream *registrar.Upstream) { upstream.Incarnation++ },
		"started at another address": func(upstream *registrar.Upstream) { upstream.Address = "127.0.0.1:1" },
	}
	waits := map[string]func(harness *harness, leave func()){
		"permit": func(harness *harness, leave func()) {
			harness.limitAll()
			harness.take = func(need throttler.PermitRequest) throttler.Permit {
				if need.Start.Upstream == "u0" {
					leave()
				}
				return throttler.Permit{Granted: true}
			}
		},
		"connection": func(harness *harness, leave func()) {
			address := harness.upstreams[0].Address
			harness.beforeDial = func(target string) {
				if target == address {
					leave()
				}
			}
		},
	}
	for change, changed := range changes {
		for wait, during := range waits {
			for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
				t.Run(strings.Join([]string{change, wait, path}, " "), func(t *testing.T) {
					handler := answer(http.StatusOK, "a")
					if path == "/stream/" || path == "/resume/" {
						handler = events(false, "id: 1\ndata: a\n\n")
					}
					left := func(http.ResponseWriter, *http.Request) { t.Error("the upstream that left was sent the request") }
					harness := newHarness(t, left, handler)
					during(harness, func() { harness.changeFirst(changed) })
					response, _, err := harness.call(path, "", nil)
					assert.NilError(t, err)
					assert.Equal(t, response.StatusCode, http.StatusOK)
					<-harness.finished
					assert.Equal(t, harness.records[0].Reason, forwarder.Served)
					assert.Equal(t, harness.records[0].Sends, 1)
				})
			}
		}
	}
}

// Guards against a request that is sent right after a pause of the process, before the news that arrived meanwhile
// have been read, and against a wait for news without end.
func TestSendsWaitForNewsAfterAPause(t *testing.T) {
	for name, readAfter := range map[string]time.Duration{"read": 100 * time.Millisecond, "never read": time.Hour} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, answer(http.StatusOK, "left"), answer(http.StatusOK, "stays"))
			var settled atomic.Bool
			forwarder.WithSettled(func(time.Time) bool { return settled.Load() })(harness.forwarder)
			reading := time.AfterFunc(readAfter, func() {
				harness.changeFirst(nil)
				settled.Store(true)
			})
			defer reading.Stop()
			_, text, err := harness.call("/once/", "", nil)
			assert.NilError(t, err)
			assert.Equal(t, text, map[bool]string{true: "stays", false: "left"}[settled.Load()])
			assert.Equal(t, harness.sends(), 1)
			assert.Assert(t, settled.Load() == (readAfter < time.Hour))
		})
	}
}

// Guards against a repeat that was prepared for an upstream which left before the silent one was given up.
func TestRepeatIsNotSentToUpstreamThatLeftMeanwhile(t *testing.T) {
	left := func(http.ResponseWriter, *http.Request) { t.Error("the upstream that left was sent the request") }
	harness := newHarness(t, silent, left, answer(http.StatusOK, "a"))
	harness.limitAll()
	harness.take = func(need throttler.PermitRequest) throttler.Permit {
		if need.Start.Upstream == "u1" {
			harness.mutex.Lock()
			harness.upstreams = []*registrar.Upstream{harness.upstreams[0], harness.upstreams[len(harness.upstreams)-1]}
			harness.mutex.Unlock()
		}
		return throttler.Permit{Granted: true}
	}
	response, text, err := harness.call("/safe/", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, text, "a")
}

// Guards against the send of a request to a data centre whose evacuation began after the choice.
func TestDataCentreEvacuatedAfterTheChoiceIsNotSent(t *testing.T) {
	harness := newHarness(t, answer(http.StatusOK, "west"), answer(http.StatusOK, "east"))
	confinement := &switchedConfinement{}
	forwarder.WithConfinement(confinement)(harness.forwarder)
	harness.beforeDial = func(string) { confinement.without.Store("west") }
	_, text, err := harness.call("/once/", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, text, "east")
	assert.Equal(t, harness.sends(), 1)
}

// switchedConfinement implements Confinement without the upstreams of a data centre, none at first.
type switchedConfinement struct{ without atomic.Value }

// Loaded reports true.
func (confinement *switchedConfinement) Loaded() bool { return true }

// Permitted returns the upstreams of the other data centres.
func (confinement *switchedConfinement) Permitted(upstreams []*registrar.Upstream, _ ...[]definer.Region) []*registrar.Upstream {
	without, _ := confinement.without.Load().(string)
	return slices.DeleteFunc(slices.Clone(upstreams), func(upstream *registrar.Upstream) bool { return string(upstream.DataCentre) == without })
}
