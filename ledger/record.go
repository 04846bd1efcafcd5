package ledger

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Record is one entry of the partition's log; the newest of each key counts.
type Record struct {
	Key string
	// Value is empty for a key that is no more.
	Value []byte
}

// The kinds of key: a prefix and the id.
const (
	accountPrefix = "account/"
	turnPrefix    = "turn/"
)

// accountValue is the durable part of an account.
type accountValue struct {
	Mark int `json:"mark"`
	// RetainMS is how long the account is kept after its program's last turn,
	// in milliseconds.
	RetainMS int64 `json:"retain_ms"`
}

// turnValue is a kept turn.
type turnValue struct {
	Program  string `json:"program"`
	Previous string `json:"previous,omitempty"`
	// Base is the chain of a previous turn that another partition keeps.
	Base   []byte `json:"base,omitempty"`
	Input  []byte `json:"input"`
	Output []byte `json:"output"`
	// RetainMS is how long the turn is kept, in milliseconds.
	RetainMS int64 `json:"retain_ms"`
}

// Restore takes in one record of the log, before the first Admit. Its age is
// unknown, so that it is kept as if it were new.
func (l *Ledger) Restore(now time.Time, record Record) error {
	if len(record.Value) == 0 {
		return nil
	}
	if program, found := strings.CutPrefix(record.Key, accountPrefix); found {
		var value accountValue
		if err := json.Unmarshal(record.Value, &value); err != nil {
			return fmt.Errorf("ledger: record %q: %w", record.Key, err)
		}
		l.accounts[program] = &account{
			settled: value.Mark, mark: value.Mark, open: map[string]reservation{}, used: now,
			retain: time.Duration(value.RetainMS) * time.Millisecond,
		}
		return nil
	}
	if id, found := strings.CutPrefix(record.Key, turnPrefix); found {
		var value turnValue
		if err := json.Unmarshal(record.Value, &value); err != nil {
			return fmt.Errorf("ledger: record %q: %w", record.Key, err)
		}
		l.turns[id] = &turn{turnValue: value, expires: now.Add(value.retain())}
	}
	return nil
}

func (v *turnValue) retain() time.Duration { return time.Duration(v.RetainMS) * time.Millisecond }

// encode returns a value's JSON. The types of this file always have one.
func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
