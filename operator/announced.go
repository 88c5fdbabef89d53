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

// announcedPath is where it is told how upstreams want to be asked.
const announcedPath = "/announced"

// Announced is what an upstream has said of how it wants to be asked, as one node knows it.
type Announced struct {
	// Upstream is its name, with the number of its start behind a # where that is known.
	Upstream string `json:"upstream"`
	// LimitPerSecond is what it takes from all nodes together; without Limited it takes all.
	LimitPerSecond float64 `json:"limitPerSecond"`
	Limited        bool    `json:"limited"`
	Leaving        bool    `json:"leaving"`
	// AgeMs is how long ago it said so, in milliseconds, and Source the node that told this
	// one, empty when its own answer did.
	AgeMs  int64  `json:"ageMs"`
	Source string `json:"source"`
	// Issues tells whether this node hands out its permits; what follows is then set.
	Issues           bool    `json:"issues"`
	PermitsPerSecond float64 `json:"permitsPerSecond"`
	// Position is how many nodes hand them out before this one, Waiting counts the asks that
	// wait, AskedAgoMs is how long ago the last one came, in milliseconds.
	Position   int   `json:"position"`
	Waiting    int   `json:"waiting"`
	AskedAgoMs int64 `json:"askedAgoMs"`
}

// Announcements are what a node knows of how upstreams want to be asked.
type Announcements interface {
	List(now time.Time) []announcer.Entry
}

// Issuances are the upstreams whose permits a node hands out.
type Issuances interface {
	Issuances(now time.Time) []throttler.Issuance
}

// ServeAnnounced has the interface tell how upstreams want to be asked.
func (entry *Entry) ServeAnnounced(announcements Announcements, issuances Issuances) {
	entry.announcements, entry.issuances = announcements, issuances
}

func (entry *Entry) showAnnounced(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	now := time.Now()
	issued := make(map[definer.UpstreamStart]throttler.Issuance)
	for _, issuance := range entry.issuances.Issuances(now) {
		issued[issuance.Start] = issuance
	}
	rows := []Announced{}
	for _, known := range entry.announcements.List(now) {
		row := Announced{Upstream: known.Start.String(), Leaving: known.Announcement.Leaving, AgeMs: known.Age.Milliseconds(), Source: string(known.Source)}
		row.LimitPerSecond, row.Limited = known.Announcement.Limit.PerSecond()
		if issuance, ok := issued[known.Start]; ok {
			row.Issues, row.PermitsPerSecond, row.Position, row.Waiting = true, issuance.PerSecond, issuance.Position, issuance.Waiting
			row.AskedAgoMs = issuance.AskedAgo.Milliseconds()
		}
		rows = append(rows, row)
	}
	answer(writer, rows)
}

// Announced asks every node, at once, how upstreams want to be asked.
func (client *Client) Announced(ctx context.Context) []Answer[[]Announced] {
	return gather[[]Announced](ctx, client, http.MethodGet, announcedPath)
}
