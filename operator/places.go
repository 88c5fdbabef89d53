package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/announcer"
	"limpetcleat/throttler"
)

// placesPath is the path of the places of upstreams that tolerate few rejections.
const placesPath = "/places"

// Places is what one node knows of the services whose upstreams tolerate few rejections, and of the
// connections for which it issues permits.
type Places struct {
	Services []RejectionLimit `json:"services"`
	// Upstreams are those whose permits the node issues, sorted by name.
	Upstreams []PlacedUpstream `json:"upstreams"`
	// Connections are the upstreams for whose connections the node issues permits, sorted by name.
	Connections []ConnectedUpstream `json:"connections"`
}

// ConnectedUpstream is an upstream that accepts a number of connections from all nodes together.
type ConnectedUpstream struct {
	Upstream string `json:"upstream"`
	// Pool is the number of connections that may be open with permits of the node, InUse the number of those
	// that are, and Waiting that of the requests that wait for one.
	Pool    int `json:"pool"`
	InUse   int `json:"inUse"`
	Waiting int `json:"waiting"`
	// Denied is the number of requests for permits that were denied since the node issues them.
	Denied uint64 `json:"denied"`
	// Position is the number of nodes that precede this one in the order of issuers.
	Position int `json:"position"`
}

// RejectionLimit is the limit of rejections in force of a service, as one node has received it.
type RejectionLimit struct {
	Service string `json:"service"`
	// PerSecond is how many rejections each upstream tolerates per second.
	PerSecond float64 `json:"perSecond"`
	// ForMs is how long there has been a limit, and AgeMs the time since an upstream announced it
	// last, in milliseconds. Source is the node that reported the last change; empty if this node
	// received it in an answer.
	ForMs  int64  `json:"forMs"`
	AgeMs  int64  `json:"ageMs"`
	Source string `json:"source"`
}

// PlacedUpstream is an upstream whose permits in use are limited.
type PlacedUpstream struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	// Room is the number of requests that the upstream is believed to have room for, InUse the
	// number of permits in use, and Waiting that of the requests that wait for one.
	Room    int `json:"room"`
	InUse   int `json:"inUse"`
	Waiting int `json:"waiting"`
	// Rejected is the number of requests that the upstream rejected within the last second.
	// RoomAgeMs is the time since its last rejection in milliseconds; -1 if there was none.
	Rejected  int   `json:"rejected"`
	RoomAgeMs int64 `json:"roomAgeMs"`
	// Denied is the number of requests for permits that were denied since the node issues them.
	Denied uint64 `json:"denied"`
	// Position is the number of nodes that precede this one in the order of issuers.
	Position int `json:"position"`
}

// RejectionLimits provides the limits of rejections that a node has received.
type RejectionLimits interface {
	// ListRejectionLimits returns the limits in force, sorted by service.
	ListRejectionLimits() []announcer.RejectionLimit
}

// ServePlaces adds the places of upstreams to the operators' interface. It must be called before
// Handler.
func (entry *Entry) ServePlaces(limits RejectionLimits, issuer Issuer) {
	entry.rejectionLimits, entry.placeIssuer = limits, issuer
}

// handlePlaces answers with Places.
func (entry *Entry) handlePlaces(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	now := time.Now()
	places := Places{Services: []RejectionLimit{}, Upstreams: []PlacedUpstream{}, Connections: []ConnectedUpstream{}}
	for _, limit := range entry.rejectionLimits.ListRejectionLimits() {
		perSecond, _ := limit.Limit.PerSecond()
		places.Services = append(places.Services, RejectionLimit{
			Service: string(limit.Service), PerSecond: perSecond, ForMs: now.Sub(limit.Since).Milliseconds(),
			AgeMs: max(now.Sub(limit.At), 0).Milliseconds(), Source: string(limit.Source),
		})
	}
	for _, issuance := range entry.placeIssuer.Issuances(now) {
		if issuance.Placed {
			places.Upstreams = append(places.Upstreams, newPlacedUpstream(&issuance))
		}
		if issuance.Connections {
			places.Connections = append(places.Connections, ConnectedUpstream{
				Upstream: issuance.Start.String(), Pool: issuance.Room, InUse: issuance.InUse, Waiting: issuance.Waiting,
				Denied: issuance.Denied, Position: issuance.Position,
			})
		}
	}
	writeJSON(writer, places)
}

func newPlacedUpstream(issuance *throttler.Issuance) PlacedUpstream {
	return PlacedUpstream{
		Upstream: issuance.Start.String(), Service: string(issuance.Service), Room: issuance.Room, InUse: issuance.InUse, Waiting: issuance.Waiting,
		Rejected: issuance.Rejected, RoomAgeMs: issuance.RoomAge.Milliseconds(), Denied: issuance.Denied, Position: issuance.Position,
	}
}

// Places requests the places of upstreams from all nodes concurrently.
func (client *Client) Places(ctx context.Context) []Answer[Places] {
	return callAll[Places](ctx, client, http.MethodGet, placesPath)
}
