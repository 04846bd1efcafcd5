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
	counted   int
	countedAt time.Time
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
	// maximumShared bounds the parts that are followed, and sharedForgotten is the
	// count under which a part is forgotten when there are too many.
	maximumShared   = 2048
	sharedForgotten = 0.1
	// countPeriod is for how long a count of the shared parts' tokens is used: a visit
	// of all parts would be most of the cost of a choice, and they halve in seconds.
	countPeriod = 100 * time.Millisecond
	// sharedMemory is the share of an engine's memory that shared parts are taken
	// to have; the rest is the requests' own.
	sharedMemory = 0.5
)

func newSharedParts() *sharedParts { return &sharedParts{parts: make(map[string]*sharedPart)} }

// add takes in the prompt of a program's turn.
func (s *sharedParts) add(now time.Time, program string, prompt []Part) {
	if program == "" {
		return
	}
	for _, part := range prompt {
		known := s.parts[part.ID]
		if known == nil {
			s.parts[part.ID] = &sharedPart{tokens: part.Tokens, program: program, at: now}
			continue
		}
		if known.program == program {
			continue
		}
		known.programs = known.programsNow(now) + 1
		known.program, known.at = program, now
	}
	if len(s.parts) > maximumShared {
		s.forget(now)
	}
}

// forget drops the parts that hardly any other program has had lately, which are
// nearly all: the histories of single programs.
func (s *sharedParts) forget(now time.Time) {
	for id, known := range s.parts {
		if known.programsNow(now) < sharedForgotten && now.Sub(known.at) > sharedHalfLife {
			delete(s.parts, id)
		}
	}
	if len(s.parts) > maximumShared {
		clear(s.parts)
	}
}

func (p *sharedPart) programsNow(now time.Time) float64 {
	if p.programs == 0 {
		return 0
	}
	return p.programs * math.Exp2(-float64(now.Sub(p.at))/float64(sharedHalfLife))
}

// spread is how the programs of this node stand for those at one replica: the
// fleet's nodes by the replicas among which they choose, and the part of the window
// for which the replica has been there.
func spread(nodes, replicas int, age time.Duration) float64 {
	return float64(nodes) / float64(max(1, replicas)) * min(1, float64(age)/float64(sharedWindow))
}

// kept returns how likely a replica keeps a part that this node did not send there:
// that some node of the fleet sent it a program with the part within the window.
func (s *sharedParts) kept(now time.Time, id string, spread float64) float64 {
	known := s.parts[id]
	if known == nil || known.programs == 0 {
		return 0
	}
	return 1 - math.Exp(-known.programsNow(now)*spread)
}

// tokens returns the tokens of the parts that many programs have had lately.
func (s *sharedParts) tokens(now time.Time) (tokens int) {
	if !s.countedAt.IsZero() && now.Sub(s.countedAt) < countPeriod {
		return s.counted
	}
	defer func() { s.counted, s.countedAt = tokens, now }()
	for _, known := range s.parts {
		if known.programs > 0 && known.programsNow(now) >= sharedForgotten {
			tokens += known.tokens
		}
	}
	return tokens
}
