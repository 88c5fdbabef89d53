package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/corroborator"
)

// lostPath is the path of the evidence of lost upstreams.
const lostPath = "/lost"

// Lost is the evidence that an upstream is lost, as one node knows it.
type Lost struct {
	// Upstream is the name of the upstream, followed by # and its incarnation if that is known.
	Upstream string `json:"upstream"`
	// Presumed reports whether the node presumes the upstream lost; otherwise the evidence of one
	// witness does not suffice. The three fields below are valid only if it is set. SinceMs is the
	// time since the presumption began, LeftMs until it ends without further evidence, in
	// milliseconds.
	Presumed bool  `json:"presumed"`
	SinceMs  int64 `json:"sinceMs"`
	LeftMs   int64 `json:"leftMs"`
	// ProbeInMs is the time until the next probe is due in milliseconds, negative if it is overdue.
	ProbeInMs int64 `json:"probeInMs"`
	// Prober is the node whose turn to probe comes first; empty if that is not determined yet.
	Prober string `json:"prober"`
	// Witnesses are the nodes with the latest evidence, the latest first.
	Witnesses []LossWitness `json:"witnesses"`
}

// LossWitness is the observation of one node that an upstream is lost.
type LossWitness struct {
	Node string `json:"node"`
	// Kind is refused, reset or replaced.
	Kind string `json:"kind"`
	// AgeMs is the age of the observation in milliseconds.
	AgeMs int64 `json:"ageMs"`
}

// Losses provides the evidence of lost upstreams that a node has.
type Losses interface {
	// List returns the evidence that counts, sorted by upstream.
	List(now time.Time) []corroborator.Entry
}

// ServeLost adds the evidence of lost upstreams to the operators' interface. It must be called before
// Handler.
func (entry *Entry) ServeLost(losses Losses) { entry.losses = losses }

// handleLost answers with the evidence as a list of Lost.
func (entry *Entry) handleLost(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	now, rows := time.Now(), []Lost{}
	for _, known := range entry.losses.List(now) {
		row := Lost{Upstream: known.Start.String(), Presumed: known.Presumed, Prober: string(known.Prober)}
		if known.Presumed {
			row.SinceMs, row.LeftMs = now.Sub(known.Since).Milliseconds(), known.Until.Sub(now).Milliseconds()
			row.ProbeInMs = known.ProbeAt.Sub(now).Milliseconds()
		}
		for _, witness := range known.Witnesses {
			row.Witnesses = append(row.Witnesses, LossWitness{string(witness.VM), witness.Kind.String(), now.Sub(witness.At).Milliseconds()})
		}
		rows = append(rows, row)
	}
	writeJSON(writer, rows)
}

// Lost requests the evidence of lost upstreams from all nodes concurrently.
func (client *Client) Lost(ctx context.Context) []Answer[[]Lost] {
	return callAll[[]Lost](ctx, client, http.MethodGet, lostPath)
}
