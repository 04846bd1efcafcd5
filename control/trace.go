package control

import (
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/schedule"
)

// CallTrace records the scheduling decision for one attempt at a call.
type CallTrace struct {
	Sequence uint64     `json:"sequence"`
	Attempt  int        `json:"attempt"`
	Backend  machine.ID `json:"backend"`
	// Accepted is when the attempt was handed to the scheduler.
	Accepted time.Time      `json:"accepted"`
	Placed   time.Time      `json:"placed"`
	Ended    time.Time      `json:"ended"`
	Terms    schedule.Terms `json:"terms"`
}
