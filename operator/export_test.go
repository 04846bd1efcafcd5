package operator

import "time"

// SetClock makes the metrics read the time from the function.
func (m *Metrics) SetClock(now func() time.Time) { m.now = now }
