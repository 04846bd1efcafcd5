package replica

import (
	"math"
	"time"
)

// sharedParts learns which parts of prompts many programs share, and how often
// this node's programs begin with them. Each node of a large fleet sends few of its
// programs to any one replica, and cannot tell from that alone what the others have
// had read there.
type sharedParts struct {
	parts map[string]*sharedPart
	// counted are the tokens of the parts that many programs share, as of countedAt.
	sharedTokens int
	countedAt    time.Time
}

// sharedPart is one part that a prompt of this node had.
type sharedPart struct {
	tokens  int
	program string
	// programs counts the programs that had the part after another one, and halves
	// with time.
	programs float64
	at       time.Time
}

const (
	// sharedHalfLife is the time in which a program's use of a part counts half as
	// much: a few seconds smooth a node's few programs, and engines keep a part
	// that is read again within such a time.
	sharedHalfLife = 5 * time.Second
	// sharedWindow is the time that the decayed count stands for: the half-life by
	// the natural logarithm of 2.
	sharedWindow = sharedHalfLife * 1000 / 693
	// maximumSharedParts bounds the parts that are followed, and sharedMinimumPrograms is the
	// count under which a part is forgotten when there are too many.
	maximumSharedParts    = 2048
	sharedMinimumPrograms = 0.1
	// sharedCountPeriod is for how long a count of the shared parts' tokens is used: a visit
	// of all parts would be most of the cost of a choice, and they halve in seconds.
	sharedCountPeriod = 100 * time.Millisecond
	// sharedCacheLimit is the share of an engine's memory that shared parts are taken
	// to have; the rest is the requests' own.
	sharedCacheLimit = 0.5
)

func newSharedParts() *sharedParts { return &sharedParts{parts: make(map[string]*sharedPart)} }

// add takes in the prompt of a program's turn.
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

// forget drops the parts that hardly any other program has had lately, which are
// nearly all: the histories of single programs.
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

// spread is how the programs of this node stand for those at one replica: the
// fleet's nodes by the replicas among which they choose, and the part of the window
// for which the replica has been there.
func programScale(nodes, replicas int, age time.Duration) float64 {
	return float64(nodes) / float64(max(1, replicas)) * min(1, float64(age)/float64(sharedWindow))
}

// kept returns how likely a replica keeps a part that this node did not send there:
// that some node of the fleet sent it a program with the part within the window.
func (s *sharedParts) cachedProbability(now time.Time, id string, scale float64) float64 {
	p := s.parts[id]
	if p == nil || p.programs == 0 {
		return 0
	}
	return 1 - math.Exp(-p.decayedPrograms(now)*scale)
}

// tokens returns the tokens of the parts that many programs have had lately.
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
