package ledger

import (
	"slices"
	"time"
)

// attemptsOf returns the IDs of the unsettled attempts at a stream: the turn that began it,
// and those that resumed it.
func (a *account) attemptsOf(stream string) (attempts []string) {
	for _, id := range sortedKeys(a.open) {
		if id == stream || a.open[id].resumes == stream {
			attempts = append(attempts, id)
		}
	}
	return attempts
}

// resumesKnownStream reports whether a turn resumes a stream that is known here. What the
// client says that it has received of the stream replaces what its lost attempts count, except
// if the turn is requested again: attempts that were lost since then may have delivered more.
func (l *Ledger) resumesKnownStream(acct *account, turn Turn) bool {
	if turn.Resumes == "" {
		return false
	}
	attempts := acct.attemptsOf(turn.Resumes)
	if _, repeated := acct.open[turn.ID]; !repeated && turn.Received > 0 {
		acct.limitLost(attempts, turn.Received)
	}
	_, begun := l.streams.origins[turn.Resumes]
	return begun || len(attempts) > 0
}

// limitLost lowers what the lost ones of the attempts at a stream count together to what the
// client has received of the stream. They deliver nothing more.
func (a *account) limitLost(attempts []string, received int) {
	for _, id := range slices.DeleteFunc(attempts, func(id string) bool { return !a.open[id].lost }) {
		reserved := a.open[id]
		tokens := min(reserved.maxTokens, received)
		a.addPresumed(tokens - reserved.maxTokens)
		received -= tokens
		reserved.maxTokens = tokens
		a.open[id] = reserved
	}
}

// LapseLost counts the open turns of processes that have ended at their maximum, and returns
// their number: nobody is left to settle them. processes holds the present process of each
// node that has restarted.
func (l *Ledger) LapseLost(now time.Time, processes map[string]uint64) (lapsed int) {
	for _, acct := range l.accounts {
		for id, reserved := range acct.open {
			if reserved.lost || reserved.process >= processes[reserved.node] {
				continue
			}
			lapsed += lapse(now, acct, acct.open, id)
			reserved = acct.open[id]
			reserved.lost = true
			acct.open[id] = reserved
		}
	}
	return lapsed
}
