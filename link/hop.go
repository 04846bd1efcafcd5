package link

import (
	"fmt"
	"strconv"
)

// HeaderHopLimit carries how many more times a request may be forwarded.
const HeaderHopLimit = "X-Hop-Limit"

// HopLimit is how many more times a request may be forwarded. Two nodes that
// each believe the other to be the owner would otherwise pass it back and
// forth.
type HopLimit int

// InitialHopLimit is what a gateway gives a caller's request: one hop to the
// owner it believes in, and two more while ownership moves.
const InitialHopLimit HopLimit = 3

// Forward returns the limit for the next hop. It reports false when the
// request must not be forwarded any more.
func (h HopLimit) Forward() (HopLimit, bool) {
	if h <= 0 {
		return 0, false
	}
	return h - 1, true
}

// String returns the header's value.
func (h HopLimit) String() string {
	return strconv.Itoa(int(h))
}

// ParseHopLimit reads the header's value.
func ParseHopLimit(text string) (HopLimit, error) {
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 0 || limit > int(InitialHopLimit) {
		return 0, fmt.Errorf("header %s: got %q, want 0 to %d", HeaderHopLimit, text, InitialHopLimit)
	}
	return HopLimit(limit), nil
}
