package ledger

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Record is one entry of the partition's log; the newest of each key counts.
type Record struct {
	Key string
	// Value is empty for a key that is no more.
	Value []byte
}

// The kinds of key: a prefix and the id. A part's key ends with its number.
const (
	accountPrefix = "account/"
	partPrefix    = "part/"
	turnPrefix    = "turn/"
)

// accountValue is the durable part of an account.
type accountValue struct {
	Mark int `json:"mark"`
	// Assumed is the part of the mark that was assumed of a former owner.
	Assumed int `json:"assumed,omitempty"`
	// NoneAssumed says that Assumed stands for 0: the program may have begun under a
	// former owner, and nothing but the turn beyond its budget is taken as used there.
	// Owners of a former format know such programs by an Assumed above 0.
	NoneAssumed bool `json:"none_assumed,omitempty"`
	// RetentionMS is how long the account is kept after its program's last turn,
	// in milliseconds.
	RetentionMS int64 `json:"retain_ms"`
	// Exact is what the mark is made of, where the owner recorded that; nil in
	// records of a former format.
	Exact *exactRecord `json:"exact,omitempty"`
}

// exactRecord is an account as it was, and what its owner might grant from then on
// without another record.
type exactRecord struct {
	// Settled counts the tokens of turns that are over, and Presumed the part of them
	// that turns count whose use is not known.
	Settled  int `json:"settled"`
	Presumed int `json:"presumed,omitempty"`
	// Open are the turns under way.
	Open []listedValue `json:"open,omitempty"`
	// LastGrant is the number of the last grant, and Slots how many more may follow, of
	// SlotMost tokens each at most.
	LastGrant  uint64 `json:"granted"`
	Slots      int    `json:"slots,omitempty"`
	SlotTokens int    `json:"slot_most,omitempty"`
	// MaxDurationMS is how long any turn of the program takes at most, in milliseconds.
	MaxDurationMS int64 `json:"within_ms,omitempty"`
}

// listedValue is a turn under way. Its ID is empty where a former owner may have granted
// it without a record.
type listedValue struct {
	ID        string `json:"id,omitempty"`
	Grant     uint64 `json:"grant"`
	MaxTokens int    `json:"most"`
}

// turnValue is a kept turn.
type turnValue struct {
	Program  string `json:"program"`
	Previous string `json:"previous,omitempty"`
	// Base is the chain of a previous turn that another partition keeps.
	Base   []byte `json:"base,omitempty"`
	Input  []byte `json:"input"`
	Output []byte `json:"output"`
	// Replica served the turn, or "": its memory may still hold the chain.
	Replica string `json:"replica,omitempty"`
	// RetentionMS is how long the turn is kept, in milliseconds.
	RetentionMS int64 `json:"retain_ms"`
	// StoredAtMS is when the turn was kept, in milliseconds since 1970 by its owner's clock;
	// 0 in records of former versions.
	StoredAtMS int64 `json:"kept_ms,omitempty"`
	// Parts is how many records hold the turn, where one is too small. The
	// turn's own record holds nothing but this number then.
	Parts int `json:"parts,omitempty"`
}

// PastAccounts reports whether a key sorts behind those of all accounts and of the
// open record: once it was read, the ledger knows all of them, and may admit.
func PastAccounts(key string) bool { return key >= partPrefix }

// HoldsChain reports whether the ledger holds a kept turn and all before it.
func (l *Ledger) HoldsChain(id string) bool {
	for id != "" {
		kept := l.turns[id]
		if kept == nil {
			return false
		}
		id = kept.Previous
	}
	return true
}

// Restore takes in one record of the log, in the order of the keys: all accounts
// before the first Admit, kept turns also after that. Its age is unknown, so that it
// is kept as if it were new.
func (l *Ledger) Restore(now time.Time, record Record) error {
	if len(record.Value) == 0 {
		return nil
	}
	if record.Key == openKey {
		l.ownership.inheritedOpen = true
		l.ownership.inheritedTwice = string(record.Value) == openAfterFailureValue
		return nil
	}
	if program, found := strings.CutPrefix(record.Key, accountPrefix); found {
		var value accountValue
		if err := json.Unmarshal(record.Value, &value); err != nil {
			return fmt.Errorf("ledger: record %q: %w", record.Key, err)
		}
		l.accounts[program] = restoreAccount(now, &value)
		return nil
	}
	if strings.HasPrefix(record.Key, partPrefix) {
		l.parts[record.Key] = record.Value
		return nil
	}
	if id, found := strings.CutPrefix(record.Key, turnPrefix); found {
		return l.restoreTurn(now, id, record)
	}
	return nil
}

// restoreTurn takes in a turn's record. Its parts, whose keys sort before it,
// were taken in already.
func (l *Ledger) restoreTurn(now time.Time, id string, record Record) error {
	if l.turns[id] != nil {
		// It was kept anew since the restoring began.
		return nil
	}
	value, err := decodeTurn(record.Value)
	if err != nil {
		return fmt.Errorf("ledger: record %q: %w", record.Key, err)
	}
	if parts := value.Parts; parts > 0 {
		joined, err := l.joinParts(id, parts)
		if err != nil {
			return err
		}
		if value, err = decodeTurn(joined); err != nil {
			return fmt.Errorf("ledger: parts of record %q: %w", record.Key, err)
		}
		value.Parts = parts
	}
	l.turns[id] = &turnEntry{turnValue: value, expires: now.Add(value.retention())}
	return nil
}

// Restored ends the restoring. Parts without a turn, which a former owner did
// not finish writing or removing, are removed.
func (l *Ledger) Restored() {
	for _, key := range slices.Sorted(maps.Keys(l.parts)) {
		if !l.partInUse(key) {
			l.propose(key, nil)
		}
	}
	clear(l.parts)
	l.expireRestored()
}

// expireRestored lets the turns that were restored go when they are due: their records
// tell when they were kept, and those of a chain live as long as its last one. The
// slack covers clocks that differ.
func (l *Ledger) expireRestored() {
	for _, kept := range l.turns {
		if due := time.UnixMilli(kept.StoredAtMS).Add(kept.retention()); kept.StoredAtMS > 0 && due.Before(kept.expires) {
			kept.expires = due
		}
	}
	for _, id := range slices.Sorted(maps.Keys(l.turns)) {
		l.extendChain(id, l.turns[id].expires)
	}
}

// Size estimates the bytes of the newest records of the ledger in the log.
func (l *Ledger) Size() int {
	size := len(l.accounts) * accountRecordBytes
	for id, kept := range l.turns {
		size += len(turnPrefix) + len(id) + turnOverheadBytes + len(kept.Base) + len(kept.Input) + len(kept.Output)
	}
	return size
}

// What a record takes besides a turn's bodies, about.
const (
	accountRecordBytes = 80
	turnOverheadBytes  = 160
)

// partInUse reports whether a part belongs to a turn that was kept anew since the
// restoring began.
func (l *Ledger) partInUse(key string) bool {
	name := strings.TrimPrefix(key, partPrefix)
	split := strings.LastIndexByte(name, '/')
	if split < 0 {
		return false
	}
	number, err := strconv.Atoi(name[split+1:])
	kept := l.turns[name[:split]]
	return err == nil && kept != nil && number < kept.Parts
}

// joinParts returns what the parts of a turn hold together.
func (l *Ledger) joinParts(id string, parts int) ([]byte, error) {
	var joined []byte
	for number := range parts {
		part, found := l.parts[partKey(id, number)]
		if !found {
			return nil, fmt.Errorf("ledger: turn %q: part %d of %d is missing", id, number, parts)
		}
		delete(l.parts, partKey(id, number))
		joined = append(joined, part...)
	}
	return joined, nil
}

func partKey(id string, number int) string { return partPrefix + id + "/" + strconv.Itoa(number) }

// proposeTurn queues a turn's record, or its parts and then the record that
// names their number.
func (l *Ledger) proposeTurn(id string, value *turnValue) uint64 {
	encoded := encodeTurn(value)
	if len(encoded) <= l.config.RecordBytes {
		return l.propose(turnPrefix+id, encoded)
	}
	number := 0
	for chunk := range slices.Chunk(encoded, l.config.RecordBytes) {
		l.propose(partKey(id, number), chunk)
		number++
	}
	value.Parts = number
	return l.propose(turnPrefix+id, encode(turnValue{Program: value.Program, RetentionMS: value.RetentionMS, Parts: number}))
}

// removeTurn queues the removal of a turn's records.
func (l *Ledger) removeTurn(id string, kept *turnEntry) {
	delete(l.turns, id)
	l.propose(turnPrefix+id, nil)
	for number := range kept.Parts {
		l.propose(partKey(id, number), nil)
	}
}

func (v *turnValue) retention() time.Duration { return time.Duration(v.RetentionMS) * time.Millisecond }

// encode returns a value's JSON. The types of this file always have one.
func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
