package dispatch

import "time"

// Usual learns how much longer programs take, from those that a node saw. What a client
// grants its program at the first turn tells how large the program is; how long programs
// of its route take for each of their turns is learned. It is not safe for concurrent use.
type Usual struct {
	programs map[string]*seenProgram
	routes   map[string]*usualRoute
	sweptAt  time.Time
}

// seenProgram is a program under way.
type seenProgram struct {
	route string
	// granted is the time that the client gave it at its first turn; 0 where this node
	// did not see that, or the client did not say.
	granted time.Duration
	turns   int
	// began and last are when its first turn came and when its last one came or ended.
	began, last time.Time
}

// usualRoute holds sums over the last programs of a route, which older programs leave
// little by little.
type usualRoute struct {
	programs, turns, took, granted float64
	at                             time.Time
}

const (
	// usualPrograms bounds the programs that are followed at once, and usualRoutes the
	// routes: more than one node has under way.
	usualPrograms = 512
	usualRoutes   = 200
	// usualMemory is how many programs the sums of a route hold about.
	usualMemory = 50
	// usualLeast is from how many programs on a route's sums are used.
	usualLeast = 5
	// programOver is how long after its last turn a program counts as over: longer than
	// its pauses and tools take as a rule.
	programOver = 2 * time.Second
	// usualSweep is how often programs that are over are looked for.
	usualSweep = 250 * time.Millisecond
)

// NewUsual returns a Usual that knows no route.
func NewUsual() *Usual {
	return &Usual{programs: make(map[string]*seenProgram), routes: make(map[string]*usualRoute)}
}

// Begin takes in that a turn of a program came. Granted is what the client gives the
// whole program, if this is its first turn; else 0.
func (u *Usual) Begin(now time.Time, route, program string, granted time.Duration) {
	u.sweep(now)
	seen := u.programs[program]
	if seen == nil {
		if len(u.programs) >= usualPrograms {
			return
		}
		seen = &seenProgram{route: route, granted: max(granted, 0), began: now}
		u.programs[program] = seen
	}
	seen.last = now
	seen.turns++
}

// End takes in that a turn of a program was served.
func (u *Usual) End(now time.Time, program string) {
	if seen := u.programs[program]; seen != nil {
		seen.last = now
	}
}

// Need returns how much longer a program takes as a rule, the turn that began last
// included; 0 where that is not known. Of a program whose first turn this node did not
// see, only that turn is known to be left.
func (u *Usual) Need(route, program string) time.Duration {
	known := u.routes[route]
	if known == nil || known.programs < usualLeast {
		return 0
	}
	rest := 1.
	if seen := u.programs[program]; seen != nil && seen.granted > 0 && known.granted > 0 {
		turns := seen.granted.Seconds() * known.turns / known.granted
		rest = max(turns-float64(seen.turns-1), 1)
	}
	return time.Duration(rest * known.took / known.turns * float64(time.Second))
}

// sweep learns from the programs that are over.
func (u *Usual) sweep(now time.Time) {
	if now.Sub(u.sweptAt) < usualSweep {
		return
	}
	u.sweptAt = now
	for id, seen := range u.programs {
		if now.Sub(seen.last) < programOver {
			continue
		}
		delete(u.programs, id)
		if seen.granted > 0 {
			u.learn(now, seen)
		}
	}
}

// learn takes in a program that this node saw from its beginning and that is over.
func (u *Usual) learn(now time.Time, seen *seenProgram) {
	known := u.routes[seen.route]
	if known == nil {
		if len(u.routes) >= usualRoutes {
			ForgetOldest(u.routes, func(one *usualRoute) time.Time { return one.at })
		}
		known = &usualRoute{}
		u.routes[seen.route] = known
	}
	const kept = 1 - 1./usualMemory
	known.at = now
	known.programs = known.programs*kept + 1
	known.turns = known.turns*kept + float64(seen.turns)
	known.took = known.took*kept + seen.last.Sub(seen.began).Seconds()
	known.granted = known.granted*kept + seen.granted.Seconds()
}
