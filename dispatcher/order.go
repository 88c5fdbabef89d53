package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat/decider"
	"limpetcleat/orderer"
)

const (
	orderWorkers = 8
	// maxOrders bounds the orders that wait for a worker; one that finds no
	// room is dropped, which the core takes for unanswered.
	maxOrders = 64
	// maxOrderAnswer bounds an engine's account of its state.
	maxOrderAnswer = 1 << 20
)

// orderBody is an order as it goes to an engine.
type orderBody struct {
	Order   orderer.Act `json:"order"`
	Model   string      `json:"model,omitempty"`
	Role    string      `json:"role,omitempty"`
	Fencing uint64      `json:"fencing"`
}

// orderState is an engine's account of its state.
type orderState struct {
	Models []string `json:"models"`
	Role   string   `json:"role"`
}

// queuedOrder is an order and who is told what became of it.
type queuedOrder struct {
	order orderer.Order
	told  func(decider.OrderAnswered)
}

// orderSender sends orders to engines, beside the requests that go on. Each goes
// out at most once, on a connection of its own.
type orderSender struct {
	transport *http.Transport
	queue     chan queuedOrder
	workers   conc.WaitGroup
	// ctx ends with the sender; no answer is told after that.
	ctx  context.Context
	stop context.CancelFunc
	// mutex guards closed and the closing of queue.
	mutex  sync.Mutex
	closed bool
}

func newOrderSender(transport *http.Transport) *orderSender {
	orderSender := &orderSender{transport: transport, queue: make(chan queuedOrder, maxOrders)}
	orderSender.ctx, orderSender.stop = context.WithCancel(context.Background())
	for range orderWorkers {
		orderSender.workers.Go(orderSender.work)
	}
	return orderSender
}

// Order queues an order to an engine; it never blocks. The function is called
// later with what became of the order, unless the dispatcher is closed first.
func (dispatcher *Dispatcher) Order(order decider.OrderUpstream, told func(decider.OrderAnswered)) {
	sender := dispatcher.orderSender
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	if sender.closed {
		return
	}
	select {
	case sender.queue <- queuedOrder{order: order.Order, told: told}:
	default:
	}
}

// close drops what is queued and waits for the workers.
func (orderSender *orderSender) close() {
	orderSender.stop()
	orderSender.mutex.Lock()
	if !orderSender.closed {
		orderSender.closed = true
		close(orderSender.queue)
	}
	orderSender.mutex.Unlock()
	orderSender.workers.Wait()
}

func (orderSender *orderSender) work() {
	for queued := range orderSender.queue {
		if orderSender.ctx.Err() != nil {
			continue
		}
		answer := orderSender.send(queued.order)
		answer.Number = queued.order.Number
		if orderSender.ctx.Err() == nil {
			queued.told(decider.OrderAnswered{OrderAnswer: answer})
		}
	}
}

// send sends an order. The connection takes no first byte after its SendBy: what
// a process that was paused still does is cut off as near to the wire as can be.
func (orderSender *orderSender) send(order orderer.Order) orderer.OrderAnswer {
	if !time.Now().Before(order.SendBy) {
		return orderer.OrderAnswer{Outcome: orderer.Unsent}
	}
	ctx, cancel := context.WithTimeout(orderSender.ctx, order.Timeout)
	defer cancel()
	var conn *connection
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if got, ok := info.Conn.(*connection); ok {
			got.begin(order.SendBy)
			conn = got
		}
	}}
	request, err := orderRequest(httptrace.WithClientTrace(ctx, trace), order)
	if err != nil {
		return orderer.OrderAnswer{Outcome: orderer.Unsent}
	}
	response, err := orderSender.transport.RoundTrip(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		return orderAnswer(response)
	}
	if conn != nil && !conn.stop() && !time.Now().Before(order.SendBy) {
		return orderer.OrderAnswer{Outcome: orderer.Unsent}
	}
	return orderer.OrderAnswer{Outcome: orderer.Unanswered}
}

func orderRequest(ctx context.Context, order orderer.Order) (*http.Request, error) {
	base := "http://" + order.Upstream.Address() + "/orders"
	if order.Act == orderer.ReadState {
		return http.NewRequestWithContext(ctx, http.MethodGet, base+"/state", http.NoBody)
	}
	body, err := json.Marshal(orderBody{Order: order.Act, Model: order.Model, Role: order.Role, Fencing: order.Fencing})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base, bytes.NewReader(body))
	if err == nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, err
}

func orderAnswer(response *http.Response) orderer.OrderAnswer {
	switch {
	case response.StatusCode == http.StatusConflict:
		return orderer.OrderAnswer{Outcome: orderer.OldFencing}
	case response.StatusCode/100 != 2:
		return orderer.OrderAnswer{Outcome: orderer.Refused, RetryAfter: retryAfter(response.Header)}
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxOrderAnswer))
	if err != nil {
		return orderer.OrderAnswer{Outcome: orderer.Unanswered}
	}
	var state orderState
	known := json.Unmarshal(data, &state) == nil && (state.Models != nil || state.Role != "")
	return orderer.OrderAnswer{Outcome: orderer.Taken, State: orderer.State{Models: state.Models, Role: state.Role}, Known: known}
}
