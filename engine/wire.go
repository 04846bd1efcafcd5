package engine

import "birchwood.example/birchwood/api"

// The JSON bodies of an engine's routes besides GenerateRequest, Chunk and
// Order. The client in enginehttp and the stand-in engine share them;
// docs/STANDINS.md describes the routes.
type (
	// CancelBody asks to stop a stream.
	CancelBody struct {
		Stream string `json:"stream"`
	}

	// ReleaseBody asks to drop the prefix of a program.
	ReleaseBody struct {
		Owner api.ProgramID `json:"owner"`
	}

	// ImportBody asks to fetch the prefix of a program from another engine.
	ImportBody struct {
		Owner api.ProgramID `json:"owner"`
		// From is the machine ID or the address of the engine that has it.
		From string `json:"from"`
	}

	// PrefixesBody answers what is cached.
	PrefixesBody struct {
		Prefixes []Prefix `json:"prefixes"`
	}

	// EventsBody answers the cache events after a sequence.
	EventsBody struct {
		Events []CacheEvent `json:"events"`
	}
)
