package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/standin/internal/host"
)

// Order is the body of POST /orders.
type Order struct {
	// Order is load, unload or role.
	Order string `json:"order"`
	// Model is the model to load or unload.
	Model string `json:"model,omitempty"`
	// Role is the new role of a role order.
	Role string `json:"role,omitempty"`
	// Fencing is the fencing number of the lease that the order was given under.
	Fencing int64 `json:"fencing"`
}

// OrderState is the answer to GET /orders/state.
type OrderState struct {
	Models []string `json:"models"`
	Role   string   `json:"role"`
	// Fencing is the number of the last order taken, the largest one where the
	// engine checks it.
	Fencing int64 `json:"fencing"`
	// Taken counts the orders that took effect.
	Taken int `json:"taken"`
}

func (engine *Engine) postOrder(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var order Order
	if !host.Update(writer, request, &order) {
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.options.fencing && order.Fencing < engine.orders.Fencing {
		host.Fail(writer, http.StatusConflict, string(KindOldFencing), "a later order was taken")
		return
	}
	if !engine.obeyLocked(order) {
		host.Fail(writer, http.StatusBadRequest, string(KindInvalid), "unknown order")
		return
	}
	engine.orders.Fencing = order.Fencing
	engine.orders.Taken++
	engine.orders.Models = engine.models
	engine.publishLocked(time.Now())
	host.Answer(writer, http.StatusOK, engine.orders)
}

// obeyLocked carries the order out. It returns false for one that it does not
// know.
func (engine *Engine) obeyLocked(order Order) bool {
	switch order.Order {
	case "load":
		if !slices.Contains(engine.models, order.Model) {
			engine.models = append(slices.Clone(engine.models), order.Model)
		}
	case "unload":
		same := func(model string) bool { return model == order.Model }
		engine.models = slices.DeleteFunc(slices.Clone(engine.models), same)
	case "role":
		engine.orders.Role = order.Role
	default:
		return false
	}
	return true
}

func (engine *Engine) getOrderState(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	host.Answer(writer, http.StatusOK, engine.orders)
}
