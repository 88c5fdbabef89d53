package dispatcher

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/sourcegraph/conc"

	"limpetcleat/definer"
)

const (
	cancelWorkers = 8
	// maxCancels bounds the orders to cancel that wait for a worker.
	maxCancels = 1024
)

// cancelOrder names the attempt that an engine is to stop.
type cancelOrder struct {
	address string
	attempt definer.AttemptID
}

// canceller tells engines to stop attempts, beside the requests that go on. It
// does its best: an order is lost when too many wait.
type canceller struct {
	transport *http.Transport
	orders    chan cancelOrder
	workers   conc.WaitGroup
	// mutex guards closed and the closing of orders.
	mutex  sync.Mutex
	closed bool
}

func newCanceller(transport *http.Transport) *canceller {
	canceller := &canceller{transport: transport, orders: make(chan cancelOrder, maxCancels)}
	for range cancelWorkers {
		canceller.workers.Go(canceller.work)
	}
	return canceller
}

// cancel queues an order; it never blocks.
func (canceller *canceller) cancel(order cancelOrder) {
	canceller.mutex.Lock()
	defer canceller.mutex.Unlock()
	if canceller.closed {
		return
	}
	select {
	case canceller.orders <- order:
	default:
	}
}

// close carries out what is queued and ends the workers.
func (canceller *canceller) close() {
	canceller.mutex.Lock()
	if !canceller.closed {
		canceller.closed = true
		close(canceller.orders)
	}
	canceller.mutex.Unlock()
	canceller.workers.Wait()
}

func (canceller *canceller) work() {
	for order := range canceller.orders {
		canceller.send(order)
	}
}

func (canceller *canceller) send(order cancelOrder) {
	ctx, cancel := context.WithTimeout(context.Background(), defaultCancelTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.address+"/cancel", cancelBody(order.attempt))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := canceller.transport.RoundTrip(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxLeftOver))
	_ = response.Body.Close()
}
