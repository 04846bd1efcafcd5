package gateway

import (
	"sync"
	"time"

	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
)

// maximumPaths bounds the addresses whose paths are remembered.
const maximumPaths = 1024

// pathBreaker opens soon: a detour costs little, and a path that is cut costs
// each request a time-out.
func pathBreaker() link.BreakerConfig {
	config := link.DefaultBreakerConfig()
	config.Failures = 2
	return config
}

// paths remembers which other nodes cannot be reached from here. Zones can be
// cut off from each other while a third one reaches both.
type paths struct {
	mutex    sync.Mutex
	breakers map[string]*link.Breaker
}

func newPaths() *paths {
	return &paths{breakers: make(map[string]*link.Breaker)}
}

// allow reports whether the address should be tried directly.
func (p *paths) allow(address string, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	breaker, known := p.breakers[address]
	return !known || breaker.Allow(now)
}

// report notes whether a request to the address was answered.
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

// add returns a breaker for an address that failed for the first time. The
// mutex is held.
func (p *paths) add(address string) *link.Breaker {
	if len(p.breakers) >= maximumPaths {
		clear(p.breakers) // Addresses of nodes that are long gone.
	}
	breaker, err := link.NewBreaker(pathBreaker())
	if err != nil {
		panic(err) // The settings are constants.
	}
	p.breakers[address] = breaker
	return breaker
}

// reach passes the request on to the owner, through another node when the
// path to the owner keeps failing.
func (g *Gateway) reach(request *exchange, owner Route) outcome {
	if request.peer || g.paths.allow(owner.Address, time.Now()) {
		return g.relay(request, owner.Address, false)
	}
	if detour, found := g.detour(owner.Owner); found {
		return g.relay(request, detour.Address, true)
	}
	return relayFailed(errNotSent)
}

// detour chooses another node at random.
func (g *Gateway) detour(owner machine.ID) (Route, bool) {
	directory, knows := g.service.(Directory)
	if !knows {
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
