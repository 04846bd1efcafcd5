package promise

import (
	"fmt"
	"slices"
	"time"
)

// disturbances tracks the current disturbances and the end of the last one, by scope and in
// total.
type disturbances struct {
	active map[string]int
	ended  map[string]time.Time
	// running counts all current disturbances, and last is when the latest one ended.
	running int
	last    time.Time
}

func newDisturbances() disturbances {
	return disturbances{active: make(map[string]int), ended: make(map[string]time.Time)}
}

func (d *disturbances) record(at time.Time, event Disturbance) {
	if event.Begin {
		d.active[event.Scope]++
		d.running++
		return
	}
	d.active[event.Scope]--
	d.running--
	d.ended[event.Scope], d.last = at, at
}

// faultFree reports whether nothing was disturbed for at least span.
func (d *disturbances) faultFree(at time.Time, span time.Duration) bool {
	return d.running == 0 && at.Sub(d.last) >= span
}

// scopeFaultFree reports whether neither the scope nor AllNodes was disturbed for at least
// span.
func (d *disturbances) scopeFaultFree(at time.Time, scope string, span time.Duration) bool {
	for _, name := range []string{scope, AllNodes} {
		if d.active[name] > 0 || at.Sub(d.ended[name]) < span {
			return false
		}
	}
	return true
}

// checkPlace checks that a request runs in the regions of its route and, if its node and its
// replica were fault-free for long enough, neither on a draining replica nor in an evacuated
// zone after the bound.
func (c *Checker) checkPlace(at time.Time, ran *request, event Ran) {
	region := c.config.ZoneRegions[event.Zone]
	if allowed := c.config.RouteRegions[ran.Route]; len(allowed) > 0 && !slices.Contains(allowed, region) {
		c.addBreach(at, RouteRegions, ran, "", fmt.Sprintf("ran on %s in %s, want one of %v", event.Replica, region, allowed))
	}
	scopeFaultFree := c.disturbances.scopeFaultFree(at, ran.Node, c.config.FaultFree) && c.disturbances.scopeFaultFree(at, event.Replica, c.config.FaultFree)
	if !scopeFaultFree {
		return
	}
	if since, drained := c.drained[event.Replica]; drained && at.Sub(since) > c.config.DrainBound {
		c.addBreach(at, Draining, ran, "", fmt.Sprintf("reached %s %s after it said that it leaves", event.Replica, at.Sub(since)))
	}
	if since, evacuated := c.evacuated[event.Zone]; evacuated && at.Sub(since) > c.config.EvacuationBound {
		c.addBreach(at, Evacuation, ran, "", fmt.Sprintf("reached %s %s after the evacuation of %s", event.Replica, at.Sub(since), event.Zone))
	}
}

func (c *Checker) evacuate(at time.Time, event Evacuated) {
	if event.Ended {
		delete(c.evacuated, event.Zone)
		return
	}
	c.evacuated[event.Zone] = at
}

// arrival records when a request was sent and when a replica started it.
type arrival struct{ sent, at time.Time }

// coldReplica is a replica that can take only a limited rate of requests.
type coldReplica struct {
	rate     float64
	arrivals []arrival
}

// coldWindow is the window in which the requests of a cold replica are counted.
const coldWindow = time.Second

func (c *Checker) setCold(event Cooled) {
	if event.Warm {
		delete(c.coldReplicas, event.Replica)
		return
	}
	c.coldReplicas[event.Replica] = &coldReplica{rate: event.Rate}
}

// checkRates checks the rates of limited tenants and cold replicas. A request counts only if
// it was both sent and run within the window, so late arrivals cause no breach.
func (c *Checker) checkRates(at time.Time, ran *request, event Ran) {
	reached := arrival{sent: ran.at, at: at}
	if limit, limited := c.config.Limits[event.Tenant]; limited && ran.runs == 1 {
		window := c.config.QuotaWindow
		maxRequests := (limit.Rate*window.Seconds()+limit.Burst)*(1+c.config.QuotaOverrun) + c.config.QuotaSlack
		c.limitedRequests[event.Tenant] = append(dropBefore(c.limitedRequests[event.Tenant], at, window), reached)
		if count := len(c.limitedRequests[event.Tenant]); float64(count) > maxRequests {
			c.addBreach(at, Quota, ran, "", fmt.Sprintf("%d requests of tenant %q ran within %s, want at most %g", count, event.Tenant, window, maxRequests))
		}
	}
	if replica := c.coldReplicas[event.Replica]; replica != nil {
		maxRequests := replica.rate*c.config.ColdOverrun + c.config.ColdSlack
		replica.arrivals = append(dropBefore(replica.arrivals, at, coldWindow), reached)
		if count := len(replica.arrivals); float64(count) > maxRequests {
			c.addBreach(at, ColdRate, ran, "", fmt.Sprintf("%d requests reached %s within %s, want at most %g", count, event.Replica, coldWindow, maxRequests))
		}
	}
}

// dropBefore drops requests that were sent before the window that ends at the given time.
func dropBefore(arrivals []arrival, at time.Time, window time.Duration) []arrival {
	return slices.DeleteFunc(arrivals, func(entry arrival) bool { return at.Sub(entry.sent) > window })
}
