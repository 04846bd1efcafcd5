package enginemodel

import (
	"slices"
	"strings"
)

// order applies an order, if its fencing token is not stale.
func (e *Engine) order(order Order) error {
	if order.Fence < e.fence {
		return ErrStaleFence
	}
	if _, known := roleChunkEighths[order.Role]; order.Role != "" && !known {
		return ErrUnknownRole
	}
	if err := e.checkLoadable(order); err != nil {
		return err
	}
	e.fence = order.Fence
	if order.Role != "" {
		e.role = order.Role
	}
	if order.Unload != "" {
		e.unload(order.Unload)
	}
	if order.Load != "" && !e.models[order.Load] {
		wait := order.WeightsIn
		if isAdapter(order.Load) {
			wait += e.config.AdapterLoad
		}
		e.addTimer(timer{at: e.clock.Add(wait), kind: timerModel, model: order.Load, fence: order.Fence})
	}
	return nil
}

// checkLoadable returns an error if the model of the order cannot be loaded. Models
// that are being loaded count against MaximumModels.
func (e *Engine) checkLoadable(order Order) error {
	if order.Load == "" || e.models[order.Load] {
		return nil
	}
	held := len(e.models)
	if e.models[order.Unload] {
		held--
	}
	for _, pending := range e.timers {
		if pending.kind == timerModel && pending.model != order.Load {
			held++
		}
	}
	if held >= e.config.MaximumModels {
		return ErrTooManyModels
	}
	if base, _, _ := strings.Cut(order.Load, adapterSeparator); isAdapter(order.Load) && !e.models[base] {
		return ErrModelNotLoaded
	}
	return nil
}

// adapterSeparator separates a model with its version ("base@version") from the
// name of an adapter on it.
const adapterSeparator = "+"

// isAdapter reports whether the name is that of a model with an adapter.
func isAdapter(model string) bool { return strings.Contains(model, adapterSeparator) }

// unload removes a model and the adapters on it, and cancels a pending load of the
// model. Streams that were accepted before still run to their end.
func (e *Engine) unload(model string) {
	delete(e.models, model)
	for name := range e.models {
		if strings.HasPrefix(name, model+adapterSeparator) {
			delete(e.models, name)
		}
	}
	e.timers = slices.DeleteFunc(e.timers, func(pending timer) bool {
		return pending.kind == timerModel && pending.model == model
	})
}

// Models returns the loaded models, sorted.
func (e *Engine) Models() []string {
	names := make([]string, 0, len(e.models))
	for name := range e.models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
