package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/announcer"
	"limpetcleat/definer"
	"limpetcleat/throttler"
)

// announcedPath is the path of the announcements of upstreams.
const announcedPath = "/announced"

// Announced is the announcement in force of an upstream, as one node has received it, and the
// permits that the node issues for the upstream.
type Announced struct {
	// Upstream is the name of the upstream, followed by # and its incarnation if that is known.
	Upstream string `json:"upstream"`
	// LimitPerSecond is the rate of requests that the upstream accepts from all nodes together;
	// there is no limit unless Limited is set. Leaving is set if the upstream announced that it
	// will stop.
	LimitPerSecond float64 `json:"limitPerSecond"`
	Limited        bool    `json:"limited"`
	Leaving        bool    `json:"leaving"`
	// AgeMs is the age of the announcement in milliseconds. Source is the node that reported
	// the announcement; empty if this node received it in an answer of the upstream.
	AgeMs  int64  `json:"ageMs"`
	Source string `json:"source"`
	// Issues reports whether this node issues the permits for the upstream; the fields below
	// are valid only if it is set. PermitsPerSecond is the rate of permits.
	Issues           bool    `json:"issues"`
	PermitsPerSecond float64 `json:"permitsPerSecond"`
	// Position is the number of nodes that precede this one in the order of issuers, Waiting
	// the number of queued requests for permits, and AskedAgoMs the time since the last such
	// request in milliseconds.
	Position   int   `json:"position"`
	Waiting    int   `json:"waiting"`
	AskedAgoMs int64 `json:"askedAgoMs"`
}

// Announcements provides the announcements of upstreams that a node has received.
type Announcements interface {
	// List returns the announcements in force, sorted by upstream.
	List(now time.Time) []announcer.Entry
}

// Issuer issues permits for upstreams.
type Issuer interface {
	// Issuances returns the upstreams for which the node issues permits.
	Issuances(now time.Time) []throttler.Issuance
}

// ServeAnnounced adds the announcements of upstreams to the operators' interface. It must be
// called before Handler.
func (entry *Entry) ServeAnnounced(announcements Announcements, issuer Issuer) {
	entry.announcements, entry.issuer = announcements, issuer
}

// handleAnnounced answers with the announcements in force as a list of Announced.
func (entry *Entry) handleAnnounced(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	now := time.Now()
	issued := make(map[definer.UpstreamStart]throttler.Issuance)
	for _, issuance := range entry.issuer.Issuances(now) {
		if !issuance.Connections {
			issued[issuance.Start] = issuance
		}
	}
	rows := []Announced{}
	for _, announced := range entry.announcements.List(now) {
		row := Announced{Upstream: announced.Start.String(), Leaving: announced.Announcement.Leaving, AgeMs: announced.Age.Milliseconds(), Source: string(announced.Source)}
		row.LimitPerSecond, row.Limited = announced.Announcement.Limit.PerSecond()
		if issuance, ok := issued[announced.Start]; ok {
			row.Issues, row.PermitsPerSecond, row.Position, row.Waiting = true, issuance.PerSecond, issuance.Position, issuance.Waiting
			row.AskedAgoMs = issuance.AskedAgo.Milliseconds()
		}
		rows = append(rows, row)
	}
	writeJSON(writer, rows)
}

// Announced requests the announcements of upstreams from all nodes concurrently.
func (client *Client) Announced(ctx context.Context) []Answer[[]Announced] {
	return callAll[[]Announced](ctx, client, http.MethodGet, announcedPath)
}
