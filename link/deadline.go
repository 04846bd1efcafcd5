package link

import (
	"fmt"
	"strconv"
	"time"
)

// HeaderDeadline carries the time that is left for a request, in
// milliseconds. A remaining time, unlike a point in time, does not depend on
// the clocks of two machines; the time on the wire is not counted.
const HeaderDeadline = "X-Deadline-Ms"

// MaximumDeadline bounds what a header can ask for.
const MaximumDeadline = 24 * time.Hour

// FormatDeadline returns the header's value for a request that is sent now.
// It reports false when no time is left, in which case the request must not
// be sent.
func FormatDeadline(now, deadline time.Time) (string, bool) {
	remaining := deadline.Sub(now).Milliseconds()
	if remaining <= 0 {
		return "", false
	}
	remaining = min(remaining, MaximumDeadline.Milliseconds())
	return strconv.FormatInt(remaining, 10), true
}

// ParseDeadline returns the deadline that a header received now stands for.
func ParseDeadline(now time.Time, text string) (time.Time, error) {
	remaining, err := strconv.ParseInt(text, 10, 64)
	if err != nil || remaining <= 0 || remaining > MaximumDeadline.Milliseconds() {
		return time.Time{}, fmt.Errorf("header %s: got %q, want 1 to %d milliseconds",
			HeaderDeadline, text, MaximumDeadline.Milliseconds())
	}
	return now.Add(time.Duration(remaining) * time.Millisecond), nil
}
