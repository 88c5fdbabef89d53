package operator

import (
	"context"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/definer"
	"limpetcleat/logger"
	"limpetcleat/quarantiner"
	"limpetcleat/steward"
)

// heldOffPath is the path of the requests under which upstreams crashed. Below it, each request
// has a path with its identity.
const heldOffPath = "/heldOff"

// HeldOff is one request under which upstreams crashed, as one node knows it.
type HeldOff struct {
	// Identity is the identity of the request, or of the part of prompts if Part is set, the same as in
	// the log.
	Identity string `json:"identity"`
	Part     bool   `json:"part"`
	// Held reports whether the request is held off: its attempts are refused. SinceMs is the
	// time since the hold began, LeftMs the longest time until it ends, in milliseconds.
	Held    bool  `json:"held"`
	SinceMs int64 `json:"sinceMs"`
	LeftMs  int64 `json:"leftMs"`
	// Upstreams are the upstreams that crashed under the request, ReportedBy the nodes that
	// reported any of the crashes.
	Upstreams  []string `json:"upstreams"`
	ReportedBy []string `json:"toldBy"`
	// FirstAgoMs is the time since the first crash in milliseconds.
	FirstAgoMs int64 `json:"firstAgoMs"`
	// Refused counts the attempts that this node has refused.
	Refused int `json:"refused"`
}

// Quarantine holds the requests under which upstreams crashed, as recorded by a node.
type Quarantine interface {
	// List returns the crashes of each request and whether it is held off.
	List(now time.Time) []quarantiner.Suspicion
	// Lift allows a request to be sent again, and reports whether crashes were recorded for it.
	Lift(now time.Time, identity definer.RequestIdentity) bool
}

// Entry serves the operators' interface of an entry, a node that routes requests by its own
// decisions. It does not authenticate its callers, so it must be served on the loopback
// interface only.
type Entry struct {
	quarantine Quarantine
	log        Log
	// duties is nil on a platform without duties.
	duties func() steward.Status
	// announcements and issuer are nil unless ServeAnnounced is called.
	announcements Announcements
	issuer        Issuer
	// rejectionLimits and placeIssuer are nil unless ServePlaces is called.
	rejectionLimits RejectionLimits
	placeIssuer     Issuer
	// shares is nil unless ServeShares is called.
	shares Shares
	// losses is nil unless ServeLost is called.
	losses Losses
	// predictions is nil unless ServePredicted is called.
	predictions Predictions
}

// NewEntry returns an operators' interface that serves the requests under which upstreams
// crashed, and logs each request that an operator lifts.
func NewEntry(quarantine Quarantine, log Log) *Entry {
	return &Entry{quarantine: quarantine, log: log}
}

// Handler returns the HTTP handler of the interface.
func (entry *Entry) Handler() http.Handler {
	router := httprouter.New()
	router.GET(heldOffPath, entry.handleHeldOff)
	router.DELETE(heldOffPath+"/:identity", entry.handleLift)
	if entry.duties != nil {
		router.GET(dutiesPath, entry.handleDuties)
	}
	if entry.announcements != nil {
		router.GET(announcedPath, entry.handleAnnounced)
	}
	if entry.rejectionLimits != nil {
		router.GET(placesPath, entry.handlePlaces)
	}
	if entry.shares != nil {
		router.GET(sharesPath, entry.handleShares)
	}
	if entry.losses != nil {
		router.GET(lostPath, entry.handleLost)
	}
	if entry.predictions != nil {
		router.GET(predictedPath, entry.handlePredicted)
	}
	return router
}

// handleHeldOff answers with the requests under which upstreams crashed as a list of HeldOff.
func (entry *Entry) handleHeldOff(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	rows := []HeldOff{}
	for _, suspicion := range entry.quarantine.List(time.Now()) {
		rows = append(rows, newHeldOff(&suspicion))
	}
	writeJSON(writer, rows)
}

func newHeldOff(suspicion *quarantiner.Suspicion) HeldOff {
	row := HeldOff{
		Identity: suspicion.Identity.String(), Part: suspicion.Part, Held: suspicion.Held, Refused: suspicion.Refused,
		SinceMs: suspicion.Since.Milliseconds(), LeftMs: suspicion.TimeLeft.Milliseconds(), FirstAgoMs: suspicion.FirstCrashAgo.Milliseconds(),
	}
	for _, start := range suspicion.Upstreams {
		row.Upstreams = append(row.Upstreams, start.String())
	}
	for _, vm := range suspicion.ReportedBy {
		row.ReportedBy = append(row.ReportedBy, string(vm))
	}
	return row
}

// handleLift lifts the request whose identity is in the path.
func (entry *Entry) handleLift(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
	text := params.ByName("identity")
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != definer.RequestIdentityBytes {
		http.Error(writer, "an identity has 32 hexadecimal digits", http.StatusBadRequest)
		return
	}
	if !entry.quarantine.Lift(time.Now(), definer.RequestIdentity(raw)) {
		http.Error(writer, "nothing is held against that request", http.StatusNotFound)
		return
	}
	entry.log(logger.EventRequestLifted, "identity", text, "from", request.RemoteAddr)
	writer.WriteHeader(http.StatusNoContent)
}

// HeldOff lists the requests under which upstreams crashed, from all nodes concurrently.
func (client *Client) HeldOff(ctx context.Context) []Answer[[]HeldOff] {
	return callAll[[]HeldOff](ctx, client, http.MethodGet, heldOffPath)
}

// Lift calls all nodes concurrently to allow a request to be sent again. One node that accepts
// the call suffices, because it reports the lift to all others.
func (client *Client) Lift(ctx context.Context, identity string) []Answer[struct{}] {
	return callAll[struct{}](ctx, client, http.MethodDelete, heldOffPath+"/"+identity)
}
