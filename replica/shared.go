package replica

import (
	"math"
	"time"
)

// sharedParts tracks which prompt parts many programs share, and how often this node's programs
// begin with them. In a large fleet each node sends few of its programs to any one replica, so
// its own requests alone do not show which parts the replica has cached for other nodes.
type sharedParts struct {
	parts map[string]*sharedPart
	// sharedTokens is the total length of the parts that many programs share, as of countedAt.
	sharedTokens int
	countedAt    time.Time
}

// sharedPart is one part that occurred in a prompt of this node.
type sharedPart struct {
	tokens  int
	program string
	// programs counts the times that the part was used by another program than the one before,
	// as of at. It decays exponentially.
	programs float64
	at       time.Time
}

const (
	// sharedHalfLife is the half-life of the use counts. A few seconds average over the few
	// programs of a node, and an engine keeps a part that is used again within that time.
	sharedHalfLife = 5 * time.Second
	// sharedWindow is the time span that the decayed count represents: the half-life divided by
	// the natural logarithm of 2.
	sharedWindow = sharedHalfLife * 1000 / 693
	// maximumSharedParts bounds the number of tracked parts. When it is exceeded, older parts
	// with a count below sharedMinimumPrograms are dropped.
	maximumSharedParts    = 2048
	sharedMinimumPrograms = 0.1
	// sharedCountPeriod is how long the total length of the shared parts is reused. Iterating
	// over all parts would be most of the cost of a selection, and the counts change over
	// seconds.
	sharedCountPeriod = 100 * time.Millisecond
	// sharedCacheLimit is the share of an engine's KV cache assumed to be available to shared
	// parts. The rest holds the requests' own tokens.
	sharedCacheLimit = 0.5
)

func newSharedParts() *sharedParts { return &sharedParts{parts: make(map[string]*sharedPart)} }

// add records the prompt of a program's turn.
func (s *sharedParts) add(now time.Time, program string, prompt []Part) {
	if program == "" {
		return
	}
	for _, part := range prompt {
		p := s.parts[part.ID]
		if p == nil {
			s.parts[part.ID] = &sharedPart{tokens: part.Tokens, program: program, at: now}
			continue
		}
		if p.program == program {
			continue
		}
		p.programs = p.decayedPrograms(now) + 1
		p.program, p.at = program, now
	}
	if len(s.parts) > maximumSharedParts {
		s.evictUnshared(now)
	}
}

// evictUnshared drops the parts that hardly any other program used recently. These are nearly
// all parts, since most belong to the history of a single program. If too many remain, it drops
// all parts.
func (s *sharedParts) evictUnshared(now time.Time) {
	for id, p := range s.parts {
		if p.decayedPrograms(now) < sharedMinimumPrograms && now.Sub(p.at) > sharedHalfLife {
			delete(s.parts, id)
		}
	}
	if len(s.parts) > maximumSharedParts {
		clear(s.parts)
	}
}

func (p *sharedPart) decayedPrograms(now time.Time) float64 {
	if p.programs == 0 {
		return 0
	}
	return p.programs * math.Exp2(-float64(now.Sub(p.at))/float64(sharedHalfLife))
}

// programScale converts the program count of this node to that expected at one replica. It is
// the number of nodes per replica among which they choose, times the part of the window for
// which the replica has existed.
func programScale(nodes, replicas int, age time.Duration) float64 {
	return float64(nodes) / float64(max(1, replicas)) * min(1, float64(age)/float64(sharedWindow))
}

// cachedProbability returns the probability that a replica has a part cached that this node did
// not send there, that is, that some node sent it a program with this part within the window.
func (s *sharedParts) cachedProbability(now time.Time, id string, scale float64) float64 {
	p := s.parts[id]
	if p == nil || p.programs == 0 {
		return 0
	}
	return 1 - math.Exp(-p.decayedPrograms(now)*scale)
}

// tokens returns the total length of the parts that many programs used recently.
func (s *sharedParts) tokens(now time.Time) (tokens int) {
	if !s.countedAt.IsZero() && now.Sub(s.countedAt) < sharedCountPeriod {
		return s.sharedTokens
	}
	defer func() { s.sharedTokens, s.countedAt = tokens, now }()
	for _, p := range s.parts {
		if p.programs > 0 && p.decayedPrograms(now) >= sharedMinimumPrograms {
			tokens += p.tokens
		}
	}
	return tokens
}
