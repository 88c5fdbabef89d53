package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/sourcegraph/conc"

	"limpetcleat/definer"
	"limpetcleat/logger"
)

// errTooMany is the cause of an order that found no room in the queue.
var errTooMany = errors.New("too many orders to cancel wait")

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
	log       Log
	orders    chan cancelOrder
	workers   conc.WaitGroup
	// mutex guards closed and the closing of orders.
	mutex  sync.Mutex
	closed bool
}

func newCanceller(transport *http.Transport, log Log) *canceller {
	canceller := &canceller{transport: transport, log: log, orders: make(chan cancelOrder, maxCancels)}
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
		canceller.failed(order, errTooMany)
	}
}

// failed logs that an engine was not told.
func (canceller *canceller) failed(order cancelOrder, cause error) {
	canceller.log(logger.EventCancelFailed, "attempt", order.attempt, "address", order.address, "cause", cause)
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
		canceller.failed(order, err)
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxLeftOver))
	_ = response.Body.Close()
}
