package promise

import (
	"fmt"
	"strings"
	"time"
)

// maxEnds is the number of replicas that may end under a request before it is sent to no more.
const maxEnds = 3

// quarantined is in the answer of a node to a request under which replicas ended.
const quarantined = "replicas ended under earlier runs of the request"

// countEnd counts a replica that ended under a request.
func (c *Checker) countEnd(event ReplicaEnded) {
	if ran := c.requests[event.ID]; ran != nil {
		c.ends[ran.Lethal]++
	}
}

// checkEnds checks that a request that ends its replicas, with all its tries, is sent to none
// after maxEnds of them.
func (c *Checker) checkEnds(at time.Time, ran *request, event Ran) {
	if ended := c.ends[ran.Lethal]; ran.Lethal != "" && ended >= maxEnds {
		c.addBreach(at, EndsBounded, ran, "", fmt.Sprintf("ran on %s after %d replicas ended under request %s", event.Replica, ended, ran.Lethal))
	}
}

// checkQuarantine checks that only a request that ends its replicas is refused for that.
func (c *Checker) checkQuarantine(at time.Time, sent *request, event Answered) {
	if sent.Lethal == "" && strings.Contains(event.Body, quarantined) {
		c.addBreach(at, EndsCostOthers, sent, "", fmt.Sprintf("answered %d: %s", event.Status, shorten(event.Body)))
	}
}
