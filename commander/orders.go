package commander

import (
	"fmt"
	"io"
	"strings"

	"limpetcleat/decider"
)

// writeOrders adds, for a node that orders engines, a line on the lease and one
// for each engine that is not as wanted.
func writeOrders(out io.Writer, status decider.Status) {
	orders := status.Orders
	if orders == nil || !orders.Held {
		return
	}
	_, _ = fmt.Fprintf(out, "%s orders the engines of %s, fencing number %d: %d of %d as wanted\n",
		status.VM, status.DataCentre, orders.Fencing, orders.Fulfilled, orders.Wanted)
	for _, engine := range orders.Differing {
		_, _ = fmt.Fprintf(out, "  %s: lacks %s, holds beside %s, role %s, loads %s, %d failures\n", engine.Upstream,
			names(engine.Missing), names(engine.Extra), names([]string{engine.Role}), names([]string{engine.Loading}), engine.Failures)
	}
}

// names returns names for a line of text.
func names(list []string) string {
	if joined := strings.Join(list, ","); joined != "" {
		return joined
	}
	return "nothing"
}
