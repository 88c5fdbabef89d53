package limpetcleat_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// TestPresumptionsGuideAnEntry checks the wiring of an entry: what it is refused is evidence, an
// upstream that peers found to be lost gets no request, and gets requests again once the evidence
// has expired. How evidence travels is tested in package exchanger.
func TestPresumptionsGuideAnEntry(t *testing.T) {
	deployment := newDeployment(t)
	deployment.putConfiguration("/a/", "key")
	deployment.startUpstream("u1", 0)
	deployment.startUpstream("u2", 0)
	running := deployment.startEntry("entry-1")
	running.awaitStatus("/a/", "key", http.StatusOK)
	known := running.entry.Corroborator()
	lose := func(names ...string) {
		for _, name := range names {
			for _, witness := range []definer.VM{"entry-8", "entry-9"} {
				known.Learn(time.Now(), "entry-9", &messenger.LoadReport{Scope: messenger.FleetLoad, Evidence: []messenger.UpstreamEvidence{
					{Upstream: definer.UpstreamName(name), Kind: messenger.EvidenceRefused, Witness: witness},
				}})
			}
		}
	}
	await := func(holds func(body string) bool) {
		t.Helper()
		for deadline := time.Now().Add(entryTimeout); ; time.Sleep(5 * time.Millisecond) {
			status, body := running.call("/a/", "key")
			assert.Equal(t, status, http.StatusOK)
			if holds(body) {
				return
			}
			assert.Assert(t, time.Now().Before(deadline))
		}
	}
	_, preferred := running.call("/a/", "key")
	await(func(body string) bool { lose(preferred); return body != preferred })
	await(func(body string) bool { return body == preferred })

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	deployment.listUpstream("u0", listener.Addr().String(), "ready")
	await(func(string) bool {
		lose("u1", "u2")
		for _, entry := range known.List(time.Now()) {
			if entry.Start.Upstream == "u0" {
				return !entry.Presumed && entry.Witnesses[0].VM == "entry-1"
			}
		}
		return false
	})
}
