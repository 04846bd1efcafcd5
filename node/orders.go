package node

import (
	"context"
	"encoding/json"

	"github.com/cenkalti/backoff/v5"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/machine"
)

// ordersStream is the stream whose offsets are the fences of engines' orders.
const ordersStream = "orders"

// orderRecord is what the orders' stream holds of one order.
type orderRecord struct {
	Issuer  machine.ID `json:"issuer"`
	Backend machine.ID `json:"backend"`
	Load    string     `json:"load,omitempty"`
	Unload  string     `json:"unload,omitempty"`
}

// orderModel gives an engine an order. The fence is the order's place in the
// log: of two nodes that both believe to command the engine, the one whose
// order stands later wins, and an order that was held up on its way comes too
// late. An order whose append's answer was lost is appended again, which only
// raises its fence.
func (n *Node) orderModel(action control.OrderModel) {
	ctx, cancel := context.WithTimeout(n.context, n.config.BackendTimeout)
	defer cancel()
	record, err := json.Marshal(orderRecord{
		Issuer: n.config.Control.Self.ID, Backend: action.Backend.ID, Load: action.Load, Unload: action.Unload,
	})
	if err != nil {
		panic("node: an order has no JSON form: " + err.Error())
	}
	offset, err := backoff.Retry(ctx, func() (uint64, error) {
		return n.log.Append(ctx, ordersStream, [][]byte{record})
	})
	if err == nil {
		order := engine.Order{Fence: offset + 1, Load: action.Load, Unload: action.Unload}
		err = n.engines.Engine(action.Backend).Order(ctx, order)
	}
	if err != nil {
		n.logger.Warn().Str("backend", string(action.Backend.ID)).Err(err).Msg("backend: an order was not taken")
		return
	}
	n.logger.Info().Str("backend", string(action.Backend.ID)).Str("load", action.Load).Str("unload", action.Unload).Msg("backend: ordered")
}

// movePrefix has an engine fetch a program's prefix from another one.
func (n *Node) movePrefix(action control.MovePrefix) {
	n.importPrefix(n.context, action.Owner, action.From.ID, action.To)
}

// importBeforeSend has the chosen engine fetch the program's prefix, when the
// decision counts on it. Without it the engine computes the prompt itself.
func (n *Node) importBeforeSend(ctx context.Context, action control.SendAttempt) {
	if action.ImportFrom.ID != "" {
		n.importPrefix(ctx, action.Attempt.Program, action.ImportFrom.ID, action.Backend)
	}
}

// importPrefix has one engine fetch a prefix from another and waits for it. A
// failure costs a prefill and nothing else.
func (n *Node) importPrefix(ctx context.Context, owner api.ProgramID, from machine.ID, to machine.Machine) {
	ctx, cancel := context.WithTimeout(ctx, n.config.BackendTimeout)
	defer cancel()
	if err := n.engines.Engine(to).Import(ctx, owner, string(from)); err != nil {
		n.logger.Debug().Str("backend", string(to.ID)).Err(err).Msg("backend: a prefix was not imported")
	}
}
