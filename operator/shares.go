package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/apportioner"
)

// sharesPath is the path of the shares of organisations.
const sharesPath = "/shares"

// Share is what the requests of one organisation need at a service and may use while its capacity
// is short, as one node computes it.
type Share struct {
	Service string `json:"service"`
	// Tier is the priority of the requests' rule; 0 is the highest.
	Tier int `json:"tier"`
	// Organisation is empty for all organisations together that are not listed.
	Organisation string `json:"organisation"`
	// Weight is the organisation's weight in the configuration.
	Weight float64 `json:"weight"`
	// Work is what its requests on all nodes need, and Share the part within its share, in seconds
	// of engine time per second, which is a number of engines. Both are equal unless Short is set.
	Work  float64 `json:"work"`
	Share float64 `json:"share"`
	// Short is set while the capacity of the service is short. Utilisation is what all requests
	// need, as a fraction of what the live engines do, and Engines the number of live engines.
	Short       bool    `json:"short"`
	Utilisation float64 `json:"utilisation"`
	Engines     float64 `json:"engines"`
}

// Shares provides the shares of organisations.
type Shares interface {
	// List returns the shares, sorted by service, tier and falling work.
	List(now time.Time) []apportioner.Share
}

// ServeShares adds the shares of organisations to the operators' interface. It must be called
// before Handler.
func (entry *Entry) ServeShares(shares Shares) { entry.shares = shares }

// handleShares answers with the shares as a list of Share.
func (entry *Entry) handleShares(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	rows := []Share{}
	for _, share := range entry.shares.List(time.Now()) {
		rows = append(rows, Share{
			Service: string(share.Service), Tier: share.Tier, Organisation: string(share.Organisation), Weight: share.Weight,
			Work: share.Work.Seconds(), Share: share.Share.Seconds(), Short: share.Short, Utilisation: share.Utilisation, Engines: share.Engines,
		})
	}
	writeJSON(writer, rows)
}

// Shares requests the shares of organisations from all nodes concurrently.
func (client *Client) Shares(ctx context.Context) []Answer[[]Share] {
	return callAll[[]Share](ctx, client, http.MethodGet, sharesPath)
}
