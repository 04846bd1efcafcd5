package soak

import (
	"birchwood.example/birchwood/platform/standin"
	"birchwood.example/birchwood/soak/promise"
)

// client sends requests one after the other.
type client struct {
	soak *soak
	// node receives the next request; nil to pick one.
	node *process
	// keep leaves the connection open for the next request. It is used until the node, or
	// a fault, closes it.
	keep       bool
	connection *standin.Connection
}

// send sends a request, and records the request and its outcome for the checker.
func (c *client) send(method string, sent promise.Sent) standin.Answer {
	if c.node == nil {
		c.node = c.soak.pickNode()
	}
	sent.Node = c.node.settings.Node
	sent.Incarnation, _ = c.node.current()
	c.soak.record(sent)
	answer := c.exchange(method, sent)
	c.soak.record(promise.Answered{ID: sent.ID, Status: answer.Status, Body: answer.Body, Complete: answer.Complete})
	return answer
}

// exchange sends a request on the open connection, or on a new one. Without an answer, no
// promise about its content applies; the checker counts the attempt as failed.
func (c *client) exchange(method string, sent promise.Sent) standin.Answer {
	if c.connection == nil {
		connection, err := standin.Dial(clientTimeout, c.node.clients.address())
		if err != nil {
			c.disconnect()
			return standin.Answer{}
		}
		c.connection = connection
	}
	if sent.LeaveAfter > 0 {
		defer c.disconnect()
		answer, err := c.connection.SendAndLeave(clientTimeout, sent.LeaveAfter, method, standin.Host, sent.Route+"x", headerOf(sent), sent.Body)
		if err != nil && answer.Status == 0 {
			return standin.Answer{}
		}
		return answer
	}
	answer, reusable, err := c.connection.Send(clientTimeout, c.keep, method, standin.Host, sent.Route+"x", headerOf(sent), sent.Body)
	if !reusable {
		c.disconnect()
	}
	if err != nil {
		return standin.Answer{}
	}
	return answer
}

// disconnect closes the connection. The next request goes to another node.
func (c *client) disconnect() {
	if c.connection != nil {
		c.connection.Close()
	}
	c.connection, c.node = nil, nil
}
