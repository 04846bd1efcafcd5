package engine

import "birchwood.example/birchwood/api"

// The JSON bodies of an engine's routes other than GenerateRequest, Chunk and
// Order. The client in enginehttp and the stand-in engine use them.
// docs/STANDINS.md describes the routes.
type (
	// CancelBody is the request to stop a stream.
	CancelBody struct {
		Stream string `json:"stream"`
	}

	// ReleaseBody is the request to drop a program's prefix from the cache.
	ReleaseBody struct {
		Owner api.ProgramID `json:"owner"`
	}

	// ImportBody is the request to fetch a program's prefix from another
	// engine.
	ImportBody struct {
		Owner api.ProgramID `json:"owner"`
		// From is the machine ID or the address of the engine that has the
		// prefix.
		From string `json:"from"`
	}

	// PrefixesBody is the answer with the cached prefixes.
	PrefixesBody struct {
		Prefixes []Prefix `json:"prefixes"`
	}

	// EventsBody is the answer with the cache events after a sequence number.
	EventsBody struct {
		Events []CacheEvent `json:"events"`
	}
)
