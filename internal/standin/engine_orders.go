package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/engine"
)

// resident is an item that takes memory: loading, ready or unloading.
type resident struct {
	memory        int64
	state         engine.ItemState
	inFlight      int
	reading       bool
	loadNumber    int
	waitingOrders []*engine.OrderStatus
}

func (e *Engine) hasBase(model string) bool {
	for item, r := range e.resident {
		if item.Model == model && item.Adapter == "" && r.state == engine.ItemReady {
			return true
		}
	}
	return false
}

func (e *Engine) hasAdapters(base engine.Item) bool {
	bases := 0
	adapters := 0
	for item, r := range e.resident {
		switch {
		case item.Model != base.Model || r.state == engine.ItemUnloading:
		case item.Adapter == "":
			bases++
		default:
			adapters++
		}
	}
	return adapters > 0 && bases <= 1
}

// serveOrder applies one order and answers with its state.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&order); err != nil || order.OrderID == "" {
		refuse(w, http.StatusBadRequest, "invalid_order", "an order needs an ID")
		return
	}
	fault := e.consumeOrderFault()
	if fault.LoseOrders > 0 {
		abort(r)
	}
	status := make(chan engine.OrderStatus, 1)
	deliver := func() { status <- e.apply(order) }
	if fault.DelayOrdersMS > 0 {
		time.AfterFunc(time.Duration(fault.DelayOrdersMS)*time.Millisecond, deliver)
	} else {
		deliver()
	}
	if fault.DuplicateOrders > 0 {
		duplicateDelay := time.Duration(fault.DelayOrdersMS+fault.DuplicateAfterMS) * time.Millisecond
		time.AfterFunc(duplicateDelay, func() { e.apply(order) })
	}
	select {
	case s := <-status:
		e.answerOrder(w, r, s, fault)
	case <-r.Context().Done():
	}
}

func (e *Engine) answerOrder(w http.ResponseWriter, r *http.Request, s engine.OrderStatus, fault EngineFaults) {
	if fault.LoseOrderAnswers > 0 {
		abort(r)
	}
	if fault.MisrouteOrders > 0 {
		s.OrderID = otherRequestID
	}
	code := http.StatusOK
	if s.State == engine.OrderRefused {
		code = http.StatusConflict
	}
	writeJSON(w, code, s)
}

func (e *Engine) consumeOrderFault() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	hit := EngineFaults{DelayOrdersMS: e.faults.DelayOrdersMS, DuplicateAfterMS: e.faults.DuplicateAfterMS}
	switch {
	case e.consumeFault(&e.faults.LoseOrders):
		hit.LoseOrders = 1
	case e.consumeFault(&e.faults.LoseOrderAnswers):
		hit.LoseOrderAnswers = 1
	case e.consumeFault(&e.faults.DuplicateOrders):
		hit.DuplicateOrders = 1
	case e.consumeFault(&e.faults.MisrouteOrders):
		hit.MisrouteOrders = 1
	}
	return hit
}

// serveOrderState answers with the state of an order. A restart discards the
// states of earlier orders.
func (e *Engine) serveOrderState(w http.ResponseWriter, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.orders[id]
	if !ok {
		refuse(w, http.StatusNotFound, "order_not_found", "no such order: "+id)
		return
	}
	writeJSON(w, http.StatusOK, *s)
}

// apply carries out an order, once for each order ID and incarnation.
func (e *Engine) apply(o engine.Order) engine.OrderStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, ok := e.orders[o.OrderID]; ok {
		return *known
	}
	s := &engine.OrderStatus{OrderID: o.OrderID, State: engine.OrderRunning, Incarnation: e.incarnation}
	e.orders[o.OrderID] = s
	switch {
	case !e.checkFence(o):
		s.State, s.Reason = engine.OrderRefused, "old fencing number"
	case o.Kind == engine.OrderLoad:
		e.load(o, s)
	case o.Kind == engine.OrderUnload:
		e.unload(o, s)
	case o.Kind == engine.OrderRole:
		s.State = engine.OrderDone
	default:
		s.State, s.Reason = engine.OrderFailed, "unknown kind"
	}
	e.records.Orders = append(e.records.Orders, EngineOrder{Time: time.Now(), Order: o, State: s.State})
	return *s
}

// checkFence records an order's fencing token if it is the highest so far, and
// reports whether the order may take effect.
func (e *Engine) checkFence(o engine.Order) bool {
	if o.Fence >= e.highestFence {
		e.highestFence = o.Fence
		return true
	}
	if e.options.Fencing == document.FencingEnforced {
		e.records.StaleRefused++
		return false
	}
	e.records.StaleAccepted++
	return true
}

func (e *Engine) load(o engine.Order, s *engine.OrderStatus) {
	if r := e.resident[o.Item]; r != nil {
		switch r.state {
		case engine.ItemReady:
			s.State = engine.OrderDone
		case engine.ItemLoading:
			r.waitingOrders = append(r.waitingOrders, s)
		default:
			s.State, s.Reason = engine.OrderFailed, "being unloaded"
		}
		return
	}
	if o.Item.Adapter != "" && !e.hasBase(o.Item.Model) {
		s.State, s.Reason = engine.OrderFailed, "base model is not resident"
		return
	}
	e.records.Loads++
	r := &resident{memory: o.Memory, state: engine.ItemLoading, reading: true, waitingOrders: []*engine.OrderStatus{s}}
	e.resident[o.Item] = r
	e.memoryUsed += o.Memory
	e.recordMemory(o.OrderID)
	fail := e.consumeFault(&e.faults.FailLoads)
	go e.readWeights(o, r, fail)
}

// readWeights reads an item's weights, then makes the item ready, or removes it
// if the load failed.
func (e *Engine) readWeights(o engine.Order, r *resident, fail bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-e.closed:
			cancel()
		case <-ctx.Done():
		}
	}()
	var err error
	if e.options.Weights != nil {
		err = e.options.Weights.Load(ctx, WeightLoad{Engine: e.options.Name, Item: o.Item, Memory: o.Memory})
	} else if e.options.LoadTime > 0 {
		time.Sleep(e.scaled(e.options.LoadTime))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r.reading = false
	if e.resident[o.Item] != r {
		return
	}
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	if fail {
		reason = "injected fault"
	}
	switch {
	case r.state == engine.ItemUnloading:
		e.removeUnloaded()
	case reason != "":
		r.completeOrders(engine.OrderFailed, reason)
		e.remove(o.Item, r)
	default:
		e.loadCount++
		r.loadNumber = e.loadCount
		r.state = engine.ItemReady
		r.completeOrders(engine.OrderDone, "")
	}
}

func (r *resident) completeOrders(state engine.OrderState, reason string) {
	for _, s := range r.waitingOrders {
		s.State, s.Reason = state, reason
	}
	r.waitingOrders = nil
}

// unload takes an item out of service at once. The item leaves memory when the
// last request that uses it has ended.
func (e *Engine) unload(o engine.Order, s *engine.OrderStatus) {
	r := e.resident[o.Item]
	if r == nil {
		s.State = engine.OrderDone
		return
	}
	if o.Item.Adapter == "" && e.hasAdapters(o.Item) {
		s.State, s.Reason = engine.OrderFailed, "adapters are resident"
		return
	}
	if r.state != engine.ItemUnloading {
		e.records.Unloads++
		r.completeOrders(engine.OrderFailed, "unloaded")
		r.state = engine.ItemUnloading
	}
	r.waitingOrders = append(r.waitingOrders, s)
	e.removeUnloaded()
}

// removeUnloaded removes the items being unloaded that have no in-flight
// request and whose weights are not being read.
func (e *Engine) removeUnloaded() {
	for item, r := range e.resident {
		if r.state == engine.ItemUnloading && r.inFlight == 0 && !r.reading {
			r.completeOrders(engine.OrderDone, "")
			e.remove(item, r)
		}
	}
}

func (e *Engine) remove(item engine.Item, r *resident) {
	delete(e.resident, item)
	e.memoryUsed -= r.memory
}
