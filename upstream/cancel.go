package upstream

import (
	"net"
	"sync"
	"time"
)

// Cancel cancels one exchange from another goroutine, by expiring the deadline
// of the connection that the exchange is using. The zero value is ready to use.
// A Cancel must not be copied.
type Cancel struct {
	mutex sync.Mutex
	conn  net.Conn
	cause error
	// children are cancelled together with this exchange.
	children []*Cancel
}

// Child returns a Cancel for one attempt of this exchange. It is triggered
// together with its parent, and can be triggered without affecting the parent or
// other attempts.
func (c *Cancel) Child() *Cancel {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	child := &Cancel{cause: c.cause}
	c.children = append(c.children, child)
	return child
}

// Trigger cancels the exchange for the given cause. Later calls have no effect.
func (c *Cancel) Trigger(cause error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cause != nil {
		return
	}
	c.cause = cause
	if c.conn != nil {
		_ = c.conn.SetDeadline(pastDeadline)
	}
	for _, child := range c.children {
		child.Trigger(cause)
	}
}

// Cause returns why the exchange was cancelled, or nil if it was not.
func (c *Cancel) Cause() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cause
}

// bind sets the connection that Trigger interrupts, nil for none, and sets the
// connection's deadline. It returns the cause if the exchange has already been
// cancelled.
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

// pastDeadline is a deadline that has passed on any clock. Setting it
// interrupts pending reads and writes.
var pastDeadline = time.Unix(1, 0)
