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

// ordersStream is the stream whose offsets give the fences of orders to engines.
const ordersStream = "orders"

// orderRecord is the record of one order in ordersStream.
type orderRecord struct {
	Issuer  machine.ID `json:"issuer"`
	Backend machine.ID `json:"backend"`
	Load    string     `json:"load,omitempty"`
	Unload  string     `json:"unload,omitempty"`
}

// orderModel sends an engine an order to load or unload a model. The order's log
// offset is its fence: if two nodes both act as the engine's manager, the order
// that was appended later wins, and the engine rejects an order that arrives
// after a newer one. If the answer to an append is lost, the order is appended
// again, which only raises its fence.
func (n *Node) orderModel(action control.OrderModel) {
	ctx, cancel := context.WithTimeout(n.context, n.config.BackendTimeout)
	defer cancel()
	record, err := json.Marshal(orderRecord{
		Issuer: n.config.Control.Self.ID, Backend: action.Backend.ID, Load: action.Load, Unload: action.Unload,
	})
	if err != nil {
		panic("node: encode order record: " + err.Error())
	}
	offset, err := backoff.Retry(ctx, func() (uint64, error) {
		return n.log.Append(ctx, ordersStream, [][]byte{record})
	})
	if err == nil {
		order := engine.Order{Fence: offset + 1, Load: action.Load, Unload: action.Unload}
		err = n.engines.Engine(action.Backend).Order(ctx, order)
	}
	if err != nil {
		n.logger.Warn().Str("backend", string(action.Backend.ID)).Err(err).Msg("backend: load or unload order failed")
		return
	}
	n.logger.Info().Str("backend", string(action.Backend.ID)).Str("load", action.Load).Str("unload", action.Unload).Msg("backend: load or unload order accepted")
}

// movePrefix makes an engine import a program's prefix from another engine.
func (n *Node) movePrefix(action control.MovePrefix) {
	n.importPrefix(n.context, action.Owner, action.From.ID, action.To)
}

// importBeforeSend makes the chosen engine import the program's prefix, if the
// scheduling decision includes an import. Without the import the engine prefills the
// whole prompt.
func (n *Node) importBeforeSend(ctx context.Context, action control.SendAttempt) {
	if action.ImportFrom.ID != "" {
		n.importPrefix(ctx, action.Attempt.Program, action.ImportFrom.ID, action.Backend)
	}
}

// importPrefix makes one engine import a prefix from another and waits for it.
// After a failure the engine only has to prefill the prompt.
func (n *Node) importPrefix(ctx context.Context, owner api.ProgramID, from machine.ID, to machine.Machine) {
	ctx, cancel := context.WithTimeout(ctx, n.config.BackendTimeout)
	defer cancel()
	if err := n.engines.Engine(to).Import(ctx, owner, string(from)); err != nil {
		n.logger.Debug().Str("backend", string(to.ID)).Err(err).Msg("backend: prefix import failed")
	}
}
