package operator

import "time"

// SetClock sets the function from which the metrics read the time.
func (m *Metrics) SetClock(now func() time.Time) { m.now = now }
