package schedule

import (
	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
)

// Action is the kind of a Decision.
type Action string

const (
	// ActionPlace sends the call to Backend.
	ActionPlace Action = "place"
	// ActionRefuse ends the call with Error; nothing was sent.
	ActionRefuse Action = "refuse"
	// ActionDrop drops Program's prefix from the cache of Backend, because it
	// is unlikely to be reused or the program has moved to another engine.
	ActionDrop Action = "drop"
	// ActionExport moves Program's prefix from Backend to ExportTo.
	ActionExport Action = "export"
	// ActionLoad and ActionUnload order the engine Backend to load or unload
	// Model. Only the node that manages the engine issues them.
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Decision is a decision of a Policy about a call, a prefix or a model.
type Decision struct {
	Action  Action
	Call    program.CallRef
	Program api.ProgramID
	Backend machine.ID
	// EnginePriority is the call's rank in the engine's own queue, lower first.
	EnginePriority int
	// ImportFrom is the engine from which to import the prefix before the call
	// runs; empty for no import.
	ImportFrom machine.ID
	// ExportTo is the engine that receives an exported prefix.
	ExportTo machine.ID
	// Model is the model to load or unload.
	Model string
	Error *api.Error
	// Terms explain the ranking, for `program trace`.
	Terms Terms
}
