package upstream

import (
	"net"
	"sync"
	"time"
)

// Cancel ends one exchange from another goroutine: it breaks whatever
// connection the exchange waits on. The zero value is ready; it must not be
// copied.
type Cancel struct {
	mutex sync.Mutex
	conn  net.Conn
	cause error
	// children end with this exchange.
	children []*Cancel
}

// Child returns a Cancel of one of several attempts of the same exchange: it
// ends with the exchange, or alone.
func (c *Cancel) Child() *Cancel {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	child := &Cancel{cause: c.cause}
	c.children = append(c.children, child)
	return child
}

// Trigger ends the exchange for the given cause. Only the first cause counts.
func (c *Cancel) Trigger(cause error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cause != nil {
		return
	}
	c.cause = cause
	if c.conn != nil {
		_ = c.conn.SetDeadline(longAgo)
	}
	for _, child := range c.children {
		child.Trigger(cause)
	}
}

// Cause returns why the exchange was ended, or nil.
func (c *Cancel) Cause() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cause
}

// bind names the connection that a trigger breaks from now on, nil for none.
// It returns the cause if the exchange was ended already.
func (c *Cancel) bind(conn net.Conn, deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.conn = conn
	if c.cause != nil {
		return c.cause
	}
	if conn != nil {
		return conn.SetDeadline(deadline)
	}
	return nil
}

// longAgo is a deadline that has passed on every clock.
var longAgo = time.Unix(1, 0)
