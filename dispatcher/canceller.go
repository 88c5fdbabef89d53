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

// errQueueFull is the cause logged for a cancellation that is dropped because the queue is
// full.
var errQueueFull = errors.New("the queue of cancellations is full")

const (
	cancelWorkers = 8
	// maxQueuedCancels bounds the cancellations that wait for a worker.
	maxQueuedCancels = 1024
)

// cancelOrder is a request to an engine to stop an attempt.
type cancelOrder struct {
	address string
	attempt definer.AttemptID
}

// canceller tells engines to stop attempts, in worker goroutines of its own. Delivery is
// best effort: an order is dropped when the queue is full.
type canceller struct {
	transport *http.Transport
	log       Log
	orders    chan cancelOrder
	workers   conc.WaitGroup
	// mutex guards closed, and orders against a send after its closing.
	mutex  sync.Mutex
	closed bool
}

func newCanceller(transport *http.Transport, log Log) *canceller {
	canceller := &canceller{transport: transport, log: log, orders: make(chan cancelOrder, maxQueuedCancels)}
	for range cancelWorkers {
		canceller.workers.Go(canceller.runWorker)
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
		canceller.logFailure(order, errQueueFull)
	}
}

// logFailure logs that an engine could not be told to stop an attempt.
func (canceller *canceller) logFailure(order cancelOrder, cause error) {
	canceller.log(logger.EventCancelFailed, "attempt", order.attempt, "address", order.address, "cause", cause)
}

// close sends the queued orders and stops the workers.
func (canceller *canceller) close() {
	canceller.mutex.Lock()
	if !canceller.closed {
		canceller.closed = true
		close(canceller.orders)
	}
	canceller.mutex.Unlock()
	canceller.workers.Wait()
}

func (canceller *canceller) runWorker() {
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
		canceller.logFailure(order, err)
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDrain))
	_ = response.Body.Close()
}
