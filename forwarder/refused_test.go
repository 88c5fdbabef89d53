package forwarder_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/router"
	"limpetcleat/selector"
)

// TestRefusedPromptsAreNotBelievedToBeHeld guards against taking the head of a refusal for the
// start of an answer: the prompt's parts were then considered cached at an upstream that had
// not run the request, which attracted the next request.
func TestRefusedPromptsAreNotBelievedToBeHeld(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{"refused": full, "served": answer(200, "a")} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, handler)
			harness.configure(func(definition *router.Definition) { definition.Rules[0].SharesPrefixes = true })
			_, _, err := harness.call("/once/x", "", func(request *http.Request) {
				request.Header.Set("X-Prompt-Prefix", "p1:800,own:20")
				request.Header.Set("X-Token-Count", "820,10")
			})
			assert.NilError(t, err)
			assignment, err := harness.selector.Choose(time.Now(), &selector.Demand{
				Service: "pool", Rule: "once", Engine: true, Candidates: harness.upstreams,
				Parts: []selector.Part{{ID: "p1", Tokens: 800}}, PromptTokens: 820,
			})
			assert.NilError(t, err)
			assert.Equal(t, strings.Contains(assignment.Basis(), "known=true"), name == "served", assignment.Basis())
		})
	}
}
