package retry

import "time"

// Patience bounds how long one try of a repeatable call may take, from how long
// calls took that were answered: a try whose answer is lost is repeated soon,
// and a server that has become slow is given more time with each try.
type Patience struct {
	// Minimum and Maximum bound the time of one try.
	Minimum time.Duration
	Maximum time.Duration
	// Factor is how many times the usual time the first try gets.
	Factor float64

	usual time.Duration
}

// patienceWeight is the weight of the newest answer in the usual time.
const patienceWeight = 0.2

// Observe takes in how long an answered call took.
func (p *Patience) Observe(took time.Duration) {
	if p.usual == 0 {
		p.usual = took
		return
	}
	p.usual += time.Duration(patienceWeight * float64(took-p.usual))
}

// Timeout returns the time of the given try, counted from 1. It doubles with
// each try.
func (p *Patience) Timeout(try int) time.Duration {
	timeout := min(max(time.Duration(p.Factor*float64(p.usual)), p.Minimum), p.Maximum)
	for step := 1; step < try && timeout < p.Maximum; step++ {
		timeout *= 2
	}
	return min(timeout, p.Maximum)
}
