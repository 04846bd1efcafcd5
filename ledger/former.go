package ledger

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// FormerState is the final state, at an owner that lost its partition, of the programs that
// used less than their records in the log allowed. The new owner, which knows only the log,
// counts all of that as used until it has this state.
type FormerState struct {
	// OpenID identifies the open record that the owner wrote; "" if it wrote none.
	OpenID string `json:"open_id,omitempty"`
	// ConfirmedAgo is how long ago the log last confirmed the ownership, at most.
	ConfirmedAgo time.Duration   `json:"confirmed_ago"`
	Accounts     []FormerAccount `json:"accounts,omitempty"`
}

// FormerAccount is the final state of one program.
type FormerAccount struct {
	Program string `json:"program"`
	// Writers are the owners that may have written the account's record in the log: the
	// one that wrote the record that this owner found, and this owner itself.
	Writers []string `json:"writers,omitempty"`
	// The other fields are those of an account.
	LastGrant      uint64        `json:"granted"`
	Settled        int           `json:"settled"`
	Presumed       int           `json:"presumed,omitempty"`
	Assumed        int           `json:"assumed,omitempty"`
	MayHaveStarted bool          `json:"may_have_started,omitempty"`
	Open           []listedValue `json:"open,omitempty"`
	RetentionMS    int64         `json:"retain_ms"`
	MaxDurationMS  int64         `json:"within_ms"`
}

// maxFormerAccounts bounds the size of a FormerState.
const maxFormerAccounts = 2000

// FormerState returns the final state of the ledger, which grants no more turns.
func (l *Ledger) FormerState(now time.Time) FormerState {
	state := FormerState{ConfirmedAgo: now.Sub(l.ownership.confirmedAt)}
	for _, program := range slices.Sorted(maps.Keys(l.accounts)) {
		acct := l.accounts[program]
		if acct.recordPosition <= l.durable && acct.recordIsExact() {
			continue
		}
		state.Accounts = append(state.Accounts, acct.formerState(program))
	}
	if len(state.Accounts) > maxFormerAccounts {
		state.Accounts = state.Accounts[:maxFormerAccounts]
		return state
	}
	if l.ownership.openPosition > 0 && (!l.ownership.inheritedOpen || l.ownership.reconciled) {
		state.OpenID = l.ownership.id
	}
	return state
}

// recordIsExact reports whether the newest record allows no more than was used, and lists
// the turns that are not settled.
func (a *account) recordIsExact() bool {
	listed := a.newest.grant != unboundedGrant || a.openCount() == 0
	return listed && a.maxUsed() == a.newest.mark
}

// formerState returns the final state of an account. It lists turns that were not settled
// in time as open, since they may be settled at the new owner.
func (a *account) formerState(program string) FormerAccount {
	lapsed := lapsedTokens(a.open) + lapsedTokens(a.uncertain)
	return FormerAccount{
		Program: program, Writers: a.writers, LastGrant: a.lastGrant, Settled: a.settledTokens - lapsed, Presumed: a.presumedTokens - lapsed,
		Assumed: a.assumedTokens, MayHaveStarted: a.mayHaveStartedBefore, Open: a.list(func(reservation) bool { return true }),
		RetentionMS: a.retention.Milliseconds(), MaxDurationMS: a.maxDuration.Milliseconds(),
	}
}

// lapsedTokens returns the tokens of the turns that were not settled in time.
func lapsedTokens[K comparable](turns map[K]reservation) int {
	total := 0
	for _, reserved := range turns {
		if reserved.presumed {
			total += reserved.maxTokens
		}
	}
	return total
}

// openIDSeparator separates the value of an open record from its ID.
const openIDSeparator = ":"

// joinOpenID returns an open record with the ID of the owner that wrote it, if it has one.
func joinOpenID(value, id string) string {
	if id == "" {
		return value
	}
	return value + openIDSeparator + id
}

// cutOpenID splits an open record into its value and its ID.
func cutOpenID(record string) (value, id string) {
	value, id, _ = strings.Cut(record, openIDSeparator)
	return value, id
}
