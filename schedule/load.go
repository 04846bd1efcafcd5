package schedule

import (
	"time"

	"birchwood.example/birchwood/machine"
)

// Load is a back end's state as it reported it.
type Load struct {
	Backend machine.ID `json:"backend"`
	// At is when the back end measured it, by the reader's clock.
	At time.Time `json:"at"`
	// Running and Queued count sequences.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedTokens is the prefill work that waits, in tokens.
	QueuedTokens int `json:"queued_tokens"`
	// CachedTokens is how much of the prefix cache is in use.
	CachedTokens int `json:"cached_tokens"`
}
