package forwarder_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// evidenceOf records evidence in its harness.
type evidenceOf struct{ harness *harness }

func (evidence evidenceOf) note(text string) {
	evidence.harness.mutex.Lock()
	defer evidence.harness.mutex.Unlock()
	evidence.harness.evidence = append(evidence.harness.evidence, text)
}

// RecordFailure records the upstream and the kind.
func (evidence evidenceOf) RecordFailure(_ time.Time, start definer.UpstreamStart, kind messenger.EvidenceKind) {
	evidence.note(fmt.Sprint(start, " ", kind))
}

// RecordSignOfLife records the upstream.
func (evidence evidenceOf) RecordSignOfLife(_ time.Time, start definer.UpstreamStart) {
	evidence.note(start.String() + " alive")
}

// TestEvidenceIsRecorded checks what counts as evidence that an upstream is lost or alive. It guards
// against evidence by timeouts or by breaks of upstreams that still listen, on which all nodes
// would avoid an upstream that runs.
func TestEvidenceIsRecorded(t *testing.T) {
	elsewhere := func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusMisdirectedRequest) }
	for name, test := range map[string]struct {
		handler  http.HandlerFunc
		evidence []string
	}{
		"answered":  {answer(200, "text"), []string{"u0 alive"}},
		"error":     {answer(500, "text"), []string{"u0 alive"}},
		"full":      {full, []string{"u0 alive"}},
		"elsewhere": {elsewhere, []string{"u0 replaced"}},
		"cut":       {cut, nil},
		"silent":    {silent, nil},
		"refused":   {nil, []string{"u0 refused"}},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, test.handler)
			if test.handler == nil {
				harness.upstreams[0].Address = closedAddress(t)
			}
			_, _, err := harness.call("/once/", "", func(request *http.Request) { request.Header.Set("X-Deadline-Ms", "200") })
			assert.NilError(t, err)
			assert.DeepEqual(t, harness.evidence, test.evidence)
		})
	}
}
