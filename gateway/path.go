package gateway

import (
	"sync"
	"time"

	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
)

// maximumPaths bounds the number of addresses that have a circuit breaker.
const maximumPaths = 1024

// breakerConfig returns the configuration of the circuit breakers. They open
// after 2 failures: a detour costs little, whereas a blocked path costs each
// request a time-out.
func breakerConfig() link.BreakerConfig {
	config := link.DefaultBreakerConfig()
	config.Failures = 2
	return config
}

// paths tracks which other nodes this node cannot reach, with one circuit
// breaker per address. Zones can be partitioned from each other while a third
// one reaches both.
type paths struct {
	mutex    sync.Mutex
	breakers map[string]*link.Breaker
}

func newPaths() *paths {
	return &paths{breakers: make(map[string]*link.Breaker)}
}

// allow reports whether to send a request directly to the address.
func (p *paths) allow(address string, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	breaker, known := p.breakers[address]
	return !known || breaker.Allow(now)
}

// report records whether a request to the address failed.
func (p *paths) report(address string, failed bool, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	breaker, known := p.breakers[address]
	if !known && !failed {
		return
	}
	if !known {
		breaker = p.add(address)
	}
	if failed {
		breaker.Failure(now)
		return
	}
	breaker.Success()
}

// add creates the breaker of an address that failed for the first time. The
// caller holds the mutex.
func (p *paths) add(address string) *link.Breaker {
	if len(p.breakers) >= maximumPaths {
		clear(p.breakers) // Most of these addresses belong to nodes that have left.
	}
	breaker, err := link.NewBreaker(breakerConfig())
	if err != nil {
		panic(err) // The configuration is constant, so this is a programming error.
	}
	p.breakers[address] = breaker
	return breaker
}

// relayToOwner relays the request to the owner, through another node if the
// direct path to the owner keeps failing. A request from a peer is relayed only
// directly.
func (g *Gateway) relayToOwner(request *exchange, owner Route) outcome {
	if request.peer || g.paths.allow(owner.Address, time.Now()) {
		return g.relay(request, owner.Address, false)
	}
	if detour, found := g.detour(owner.Owner); found {
		return g.relay(request, detour.Address, true)
	}
	return relayFailed(errNotSent)
}

// detour picks a random reachable node other than the owner.
func (g *Gateway) detour(owner machine.ID) (Route, bool) {
	directory, ok := g.service.(Directory)
	if !ok {
		return Route{}, false
	}
	var others []Route
	for _, peer := range directory.Peers() {
		if peer.Owner != owner && g.paths.allow(peer.Address, time.Now()) {
			others = append(others, peer)
		}
	}
	if len(others) == 0 {
		return Route{}, false
	}
	return others[g.random.IntN(len(others))], true
}
