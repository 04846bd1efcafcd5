package partition

import (
	"errors"
	"time"

	"birchwood.example/birchwood/recordlog"
)

var errAnswerLost = errors.New("answer lost")

// simulatedLog is an in-memory stream of the log service with injected faults.
type simulatedLog struct {
	entries []recordlog.Entry
	down    bool
	// loseAnswers is the number of next appends that take effect but whose
	// answers are lost.
	loseAnswers int
	extraDelay  time.Duration
	reads       int
	readEntries int
	appends     int
}

// append performs an append, which takes effect after half of its delay.
func (c *cluster) append(node *simulatedNode, request Append) {
	c.log.appends++
	delay := logDelay + c.log.extraDelay
	c.after(delay/2, func() {
		if c.log.down {
			c.deliver(node, delay, func() {
				node.replica.Step(c.now, Appended{Request: request.Request, Err: ErrNotAppended})
			})
			return
		}
		answer := Appended{Request: request.Request, FirstOffset: uint64(len(c.log.entries))}
		c.log.entries = append(c.log.entries, request.Entries...)
		if c.log.loseAnswers > 0 {
			c.log.loseAnswers--
			answer = Appended{Request: request.Request, Err: errAnswerLost}
		}
		c.deliver(node, delay/2, func() { node.replica.Step(c.now, answer) })
	})
}

func (c *cluster) read(node *simulatedNode, request Read) {
	delay := logDelay + c.log.extraDelay
	c.after(delay/2, func() {
		if c.log.down {
			c.deliver(node, delay, func() {
				node.replica.Step(c.now, ReadDone{Request: request.Request, Err: errors.New("down")})
			})
			return
		}
		answer := c.log.read(request)
		c.deliver(node, delay/2, func() { node.replica.Step(c.now, answer) })
	})
}

func (l *simulatedLog) read(request Read) ReadDone {
	l.reads++
	end := uint64(len(l.entries))
	from := min(request.From, end)
	if request.Tail {
		from = end - min(end, 1)
	}
	to := min(end, from+uint64(request.Maximum))
	l.readEntries += int(to - from)
	return ReadDone{Request: request.Request, FirstOffset: from, Entries: l.entries[from:to], End: end}
}
