package enginemodel

import "errors"

// Errors of Step. The event that caused one had no effect.
var (
	ErrModelNotLoaded = errors.New("engine: model not loaded")
	ErrLeaving        = errors.New("engine: leaving, no new work")
	ErrTooLong        = errors.New("engine: prompt and output do not fit the cache")
	ErrStaleFence     = errors.New("engine: order with a stale fence")
	ErrTooManyModels  = errors.New("engine: no room for another model")
	ErrUnknownRole    = errors.New("engine: unknown role")
	ErrEmptyPrompt    = errors.New("engine: empty prompt")
)
