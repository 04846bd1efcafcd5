package schedule

import (
	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
)

// Action tells what a Decision does.
type Action string

// The actions of a decision.
const (
	// ActionPlace sends the call to Backend.
	ActionPlace Action = "place"
	// ActionRefuse ends the call with Error; nothing was sent.
	ActionRefuse Action = "refuse"
	// ActionDrop releases Program's prefix at Backend: it is unlikely to be
	// used again, or left behind after the program moved.
	ActionDrop Action = "drop"
	// ActionExport moves Program's prefix from Backend to ExportTo.
	ActionExport Action = "export"
	// ActionLoad and ActionUnload order the engine Backend to load or unload
	// Model. Only the node that commands the engine decides them.
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Decision is what the scheduler decided about a call, or about a prefix.
type Decision struct {
	Action  Action
	Call    program.CallRef
	Program api.ProgramID
	Backend machine.ID
	// EnginePriority orders the call in the engine's own queue, lower first.
	EnginePriority int
	// ImportFrom is the engine that holds the prefix to transfer first.
	ImportFrom machine.ID
	// ExportTo is the engine that takes over an exported prefix.
	ExportTo machine.ID
	// Model is what an engine loads or unloads.
	Model string
	Error *api.Error
	// Terms explain the ranking, for `program trace`.
	Terms Terms
}
