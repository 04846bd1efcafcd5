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

// Record is one entry of the partition's log. Only the newest of each key matters.
type Record struct {
	Key string
	// Value is empty if the key is removed.
	Value []byte
}

// The prefixes of keys, each followed by an ID. A part's key ends with its number, and the
// keys of records of origins are reused in turn.
const (
	accountPrefix = "account/"
	streamsPrefix = "origin/"
	partPrefix    = "part/"
	turnPrefix    = "turn/"
)

// accountValue is the durable state of an account.
type accountValue struct {
	Mark int `json:"mark"`
	// Assumed is the part of the mark that was assumed to be used under a previous owner.
	Assumed int `json:"assumed,omitempty"`
	// NoneAssumed reports that Assumed stands for 0: the program may have started under a
	// previous owner, and only its extra turn counts as used there. Owners that read a
	// former format recognise such programs by an Assumed above 0.
	NoneAssumed bool `json:"none_assumed,omitempty"`
	// RetentionMS is how long the account is retained after its program's last turn, in
	// milliseconds.
	RetentionMS int64 `json:"retain_ms"`
	// Writer is the ID of the owner that wrote the record; "" in records of former versions.
	Writer string `json:"writer,omitempty"`
	// Exact is what the mark consists of; nil if the owner recorded only a mark, and in
	// records of a former format.
	Exact *exactRecord `json:"exact,omitempty"`
}

// exactRecord is the state of an account, and what its owner may grant afterwards without
// another record.
type exactRecord struct {
	// Settled counts the tokens of turns that have ended, and Presumed the part of it
	// that counts turns at their maximum because their use is unknown.
	Settled  int `json:"settled"`
	Presumed int `json:"presumed,omitempty"`
	// Open lists the turns that were admitted and not settled.
	Open []listedValue `json:"open,omitempty"`
	// LastGrant is the number of the last grant. Slots is how many more may follow, each
	// of at most SlotTokens.
	LastGrant  uint64 `json:"granted"`
	Slots      int    `json:"slots,omitempty"`
	SlotTokens int    `json:"slot_most,omitempty"`
	// MaxDurationMS is the longest timeout of any of the program's turns, in
	// milliseconds.
	MaxDurationMS int64 `json:"within_ms,omitempty"`
}

// listedValue is an open turn. Its ID is empty if a previous owner may have granted it
// without a record.
type listedValue struct {
	ID        string `json:"id,omitempty"`
	Grant     uint64 `json:"grant"`
	MaxTokens int    `json:"most"`
}

// turnValue is the durable state of a stored turn.
type turnValue struct {
	Program  string `json:"program"`
	Previous string `json:"previous,omitempty"`
	// Base is the chain of the previous turn if another partition stores that turn.
	Base   []byte `json:"base,omitempty"`
	Input  []byte `json:"input"`
	Output []byte `json:"output"`
	// Replica served the turn, or "". Its KV cache may still hold the chain.
	Replica string `json:"replica,omitempty"`
	// RetentionMS is how long the turn is retained, in milliseconds.
	RetentionMS int64 `json:"retain_ms"`
	// StoredAtMS is when the turn was stored, in milliseconds since 1970 by its owner's
	// clock; 0 in records of former versions.
	StoredAtMS int64 `json:"kept_ms,omitempty"`
	// Parts is how many records hold the turn if it exceeds one record. The turn's own
	// record then holds only this number, the program and the retention time.
	Parts int `json:"parts,omitempty"`
}

// SortsAfterAccounts reports whether a key sorts after those of all accounts, of the open
// record and of the origins of streams. Once such a key was read, these are restored, and
// Admit and StreamOrigin may be called.
func SortsAfterAccounts(key string) bool { return key >= partPrefix }

// HoldsChain reports whether the ledger holds a stored turn and all turns before it.
func (l *Ledger) HoldsChain(id string) bool {
	for id != "" {
		entry := l.turns[id]
		if entry == nil {
			return false
		}
		id = entry.Previous
	}
	return true
}

// Restore restores one record of the log. Records must come in the order of their keys,
// all accounts before the first Admit; stored turns may follow later. The age of a record
// is unknown, so its full retention time starts again.
func (l *Ledger) Restore(now time.Time, record Record) error {
	if len(record.Value) == 0 {
		return nil
	}
	if record.Key == openKey {
		l.ownership.restore(string(record.Value))
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
	if strings.HasPrefix(record.Key, streamsPrefix) {
		return l.restoreStreams(now, record)
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

// restoreTurn restores a stored turn. Its parts, whose keys sort before it, have been
// restored already.
func (l *Ledger) restoreTurn(now time.Time, id string, record Record) error {
	if l.turns[id] != nil {
		// It was stored again after the restore began.
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

// FinishRestore ends the restore. It removes parts without a turn, which a previous owner
// did not finish writing or removing.
func (l *Ledger) FinishRestore() {
	for _, key := range slices.Sorted(maps.Keys(l.parts)) {
		if !l.partInUse(key) {
			l.propose(key, nil)
		}
	}
	clear(l.parts)
	l.expireRestored()
}

// expireRestored sets when the restored turns expire, by the time at which they were
// stored; the turns of a chain expire with its last one. RetentionSlack covers
// differences between clocks.
func (l *Ledger) expireRestored() {
	for _, entry := range l.turns {
		if due := time.UnixMilli(entry.StoredAtMS).Add(entry.retention()); entry.StoredAtMS > 0 && due.Before(entry.expires) {
			entry.expires = due
		}
	}
	for _, id := range slices.Sorted(maps.Keys(l.turns)) {
		l.extendChain(id, l.turns[id].expires)
	}
}

// Size estimates how many bytes the newest records of the ledger take in the log.
func (l *Ledger) Size() int {
	size := len(l.accounts)*accountRecordBytes + len(l.streams.origins)*originBytes
	for id, entry := range l.turns {
		size += len(turnPrefix) + len(id) + turnOverheadBytes + len(entry.Base) + len(entry.Input) + len(entry.Output)
	}
	return size
}

// The approximate size of a record, without the bodies of a turn, and of one origin in a
// record.
const (
	accountRecordBytes = 80
	originBytes        = 40
	turnOverheadBytes  = 160
)

// partInUse reports whether a part belongs to a turn that was stored again after the
// restore began.
func (l *Ledger) partInUse(key string) bool {
	name := strings.TrimPrefix(key, partPrefix)
	split := strings.LastIndexByte(name, '/')
	if split < 0 {
		return false
	}
	number, err := strconv.Atoi(name[split+1:])
	entry := l.turns[name[:split]]
	return err == nil && entry != nil && number < entry.Parts
}

// joinParts returns the concatenated parts of a turn.
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

// proposeTurn proposes a turn's record, or its parts followed by a record with their
// number.
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

// removeTurn removes a turn and proposes the removal of its records.
func (l *Ledger) removeTurn(id string, entry *turnEntry) {
	delete(l.turns, id)
	l.propose(turnPrefix+id, nil)
	for number := range entry.Parts {
		l.propose(partKey(id, number), nil)
	}
}

func (v *turnValue) retention() time.Duration { return time.Duration(v.RetentionMS) * time.Millisecond }

// encode returns a value's JSON. Encoding never fails for the types of this package.
func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
