package forwarder_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/forwarder"
	"limpetcleat/versioner"
)

// originsOf implements Origins with one stream that is known.
type originsOf struct {
	known  definer.StreamIdentity
	origin versioner.Origin
	begun  []definer.StreamIdentity
	// began is the version at which the latest stream began.
	began definer.SoftwareVersion
	// unrecorded is a version at which no stream may begin before recorded is closed.
	unrecorded definer.SoftwareVersion
	recorded   chan struct{}
}

func (origins *originsOf) MayBegin(_ definer.PoolName, version definer.SoftwareVersion) bool {
	select {
	case <-origins.recorded:
		return true
	default:
		return version != origins.unrecorded || version == ""
	}
}

func (origins *originsOf) HistoryChanged() <-chan struct{} { return origins.recorded }

func (origins *originsOf) Begun(_ time.Time, stream definer.StreamIdentity, origin versioner.Origin, _ time.Duration) {
	origins.began = origin.Version
	origins.begun = append(origins.begun, stream)
}

func (origins *originsOf) Ended(definer.StreamIdentity) {}

func (origins *originsOf) Find(_ context.Context, search versioner.Search) (versioner.Origin, bool) {
	return origins.origin, search.Stream == origins.known && search.Stream != ""
}

// versionedHarness returns a harness with upstreams of the versions, in order of preference.
func versionedHarness(t *testing.T, origins forwarder.Origins, versions []definer.SoftwareVersion, handlers ...http.HandlerFunc) *harness {
	t.Helper()
	harness := newHarness(t, handlers...)
	for index, version := range versions {
		harness.upstreams[index].Version = version
	}
	forwarder.WithOrigins(origins)(harness.forwarder)
	return harness
}

// Guards against an answer whose events are of two software versions of its upstreams.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	first, other, last := "id: 1\ndata: v1\n\n", "id: 2\ndata: v2\n\n", "id: 2\ndata: v1\n\n"
	for name, test := range map[string]struct {
		versions []definer.SoftwareVersion
		handlers []http.HandlerFunc
		expected string
		whole    bool
	}{
		"another upstream of the version": {
			[]definer.SoftwareVersion{"v1", "v2", "v1"}, []http.HandlerFunc{events(true, first), events(false, other), events(false, last)}, first + last, true,
		},
		"the version is gone": {
			[]definer.SoftwareVersion{"v1", "v2"}, []http.HandlerFunc{events(true, first), events(false, other)}, first, false,
		},
		"no event came": {
			[]definer.SoftwareVersion{"v1", "v2"}, []http.HandlerFunc{cut, events(false, other)}, other, true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			origins := &originsOf{}
			harness := versionedHarness(t, origins, test.versions, test.handlers...)
			_, text, err := harness.call("/resume/", "", unchanged)
			assert.Equal(t, text, test.expected)
			assert.Equal(t, err == nil, test.whole)
			assert.DeepEqual(t, origins.begun, []definer.StreamIdentity{versioner.Identify("guild", "a1")})
		})
	}
}

// Guards against a stream that its caller takes up and that goes on at another software version, and
// against a refusal that is not true or asks the caller to wait.
func TestTakenUpStreamGoesOnAtItsVersion(t *testing.T) {
	known := versioner.Identify("guild", "first")
	for name, test := range map[string]struct {
		resumes string
		version definer.SoftwareVersion
		status  int
		sends   int
		reason  forwarder.Reason
	}{
		"known":                    {"first", "v2", http.StatusOK, 1, forwarder.Served},
		"gone":                     {"first", "v3", http.StatusServiceUnavailable, 0, forwarder.VersionGone},
		"unknown":                  {"another", "v2", http.StatusServiceUnavailable, 0, forwarder.VersionUnknown},
		"not identified by caller": {"", "v2", http.StatusServiceUnavailable, 0, forwarder.VersionUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			origins := &originsOf{known: known, origin: versioner.Origin{Service: "pool", Version: test.version}}
			harness := versionedHarness(t, origins, []definer.SoftwareVersion{"v1", "v2"}, events(false, "id: 6\ndata: v1\n\n"), events(false, "id: 6\ndata: v2\n\n"))
			response, text, err := harness.call("/resume/", "", func(request *http.Request) {
				request.Header.Set("Last-Event-Id", "5")
				request.Header.Set("Resumes", test.resumes)
			})
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, test.status)
			assert.Equal(t, harness.sends(), test.sends)
			<-harness.finished
			assert.Equal(t, harness.records[0].Reason, test.reason)
			assert.Assert(t, harness.records[0].TakenUp && !harness.records[0].MayHaveRun == (test.status != http.StatusOK))
			if test.status == http.StatusOK {
				assert.Equal(t, text, "id: 6\ndata: v2\n\n")
				assert.DeepEqual(t, origins.begun, []definer.StreamIdentity{known})
			}
		})
	}
}

// Guards against a stream of a rule with several services that goes on at another service.
func TestTakenUpStreamGoesOnAtItsService(t *testing.T) {
	for name, test := range map[string]struct {
		service definer.PoolName
		reason  forwarder.Reason
	}{
		"a target of the rule":     {"pool", forwarder.Served},
		"not a target of the rule": {"elsewhere", forwarder.VersionGone},
	} {
		t.Run(name, func(t *testing.T) {
			origins := &originsOf{known: versioner.Identify("guild", "first"), origin: versioner.Origin{Service: test.service}}
			harness := versionedHarness(t, origins, nil, events(false, "id: 6\ndata: x\n\n"))
			_, _, err := harness.call("/resume/", "", func(request *http.Request) {
				request.Header.Set("Last-Event-Id", "5")
				request.Header.Set("Resumes", "first")
			})
			assert.NilError(t, err)
			<-harness.finished
			assert.Equal(t, harness.records[0].Reason, test.reason)
		})
	}
}

// Guards against a stream that begins at a version of which nodes that start later would not know, against a
// wait without end for its entry, and against a wait of requests whose answers are no streams or cannot be taken up.
func TestStreamsBeginAtRecordedVersions(t *testing.T) {
	stream := events(false, "id: 1\ndata: x\n\n")
	for name, test := range map[string]struct {
		path          string
		versions      []definer.SoftwareVersion
		recordedAfter time.Duration
		status        int
		version       definer.SoftwareVersion
		reason        forwarder.Reason
	}{
		"another version is recorded": {"/resume/", []definer.SoftwareVersion{"new", "old"}, time.Hour, http.StatusOK, "old", forwarder.Served},
		"recorded meanwhile":          {"/resume/", []definer.SoftwareVersion{"new"}, 50 * time.Millisecond, http.StatusOK, "new", forwarder.Served},
		"never recorded":              {"/resume/", []definer.SoftwareVersion{"new"}, time.Hour, http.StatusServiceUnavailable, "", forwarder.VersionUnrecorded},
		"not to be taken up":          {"/stream/", []definer.SoftwareVersion{"new"}, time.Hour, http.StatusOK, "new", forwarder.Served},
		"no stream":                   {"/once/", []definer.SoftwareVersion{"new"}, time.Hour, http.StatusOK, "", forwarder.Served},
	} {
		t.Run(name, func(t *testing.T) {
			origins := &originsOf{unrecorded: "new", recorded: make(chan struct{})}
			handlers := []http.HandlerFunc{stream, stream}[:len(test.versions)]
			harness := versionedHarness(t, origins, test.versions, handlers...)
			recording := time.AfterFunc(test.recordedAfter, func() { close(origins.recorded) })
			defer recording.Stop()
			response, _, err := harness.call(test.path, "", nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, test.status)
			<-harness.finished
			record := harness.records[0]
			assert.Equal(t, record.Reason, test.reason)
			assert.Assert(t, record.Total < time.Second, "%v", record.Total)
			assert.Equal(t, origins.began, test.version)
			assert.Assert(t, record.Reason == forwarder.Served || !record.MayHaveRun && record.Sends == 0)
		})
	}
}
