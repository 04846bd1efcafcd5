package schedule

import (
	"time"

	"birchwood.example/birchwood/machine"
)

// Load is a load report of a back end.
type Load struct {
	Backend machine.ID `json:"backend"`
	// At is when the back end measured the load, by the reader's clock.
	At time.Time `json:"at"`
	// Running and Queued count sequences.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// QueuedTokens is the number of prompt tokens that wait for prefill.
	QueuedTokens int `json:"queued_tokens"`
	// CachedTokens is the used part of the prefix cache, in tokens.
	CachedTokens int `json:"cached_tokens"`
}
