package dispatch

import "time"

// Usual learns how much longer programs of each route take from each of their turns on,
// from the programs that a node saw. It is not safe for concurrent use.
type Usual struct {
	programs map[string]*seenProgram
	routes   map[string]*usualRoute
	sweptAt  time.Time
}

// seenProgram is a program under way.
type seenProgram struct {
	route string
	// begins are when its turns came, the first usualSteps of them.
	begins []time.Time
	// last is when its last turn came or ended.
	last time.Time
}

// usualRoute holds the usual of one route, by how many turns came before.
type usualRoute struct {
	rest [usualSteps]usualRest
	at   time.Time
}

// usualRest is a mean that follows the last programs.
type usualRest struct{ seconds, programs float64 }

const (
	// usualSteps is how many turns of a program are told apart.
	usualSteps = 12
	// usualPrograms bounds the programs that are followed at once, and usualRoutes the
	// routes: more than one node has under way.
	usualPrograms = 512
	usualRoutes   = 200
	// usualMean is how many programs the mean of a route holds.
	usualMean = 50
	// usualLeast is from how many programs on a mean is used.
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

// Begin takes in that a turn of a program came, and returns how many turns of it came
// before, as far as this node knows.
func (u *Usual) Begin(now time.Time, route, program string) (step int) {
	u.sweep(now)
	seen := u.programs[program]
	if seen == nil {
		if len(u.programs) >= usualPrograms {
			return 0
		}
		seen = &seenProgram{route: route}
		u.programs[program] = seen
	}
	seen.last = now
	step = len(seen.begins)
	if step < usualSteps {
		seen.begins = append(seen.begins, now)
	}
	return min(step, usualSteps-1)
}

// End takes in that a turn of a program was served.
func (u *Usual) End(now time.Time, program string) {
	if seen := u.programs[program]; seen != nil {
		seen.last = now
	}
}

// Rest returns how much longer a program of the route takes as a rule from a turn on, the
// turn itself included, or false where that is not known.
func (u *Usual) Rest(route string, step int) (time.Duration, bool) {
	known := u.routes[route]
	if known == nil {
		return 0, false
	}
	rest := known.rest[min(max(step, 0), usualSteps-1)]
	return time.Duration(rest.seconds * float64(time.Second)), rest.programs >= usualLeast
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
		u.learn(now, seen)
	}
}

// learn takes in a program that is over.
func (u *Usual) learn(now time.Time, seen *seenProgram) {
	known := u.routes[seen.route]
	if known == nil {
		if len(u.routes) >= usualRoutes {
			u.forgetOldest()
		}
		known = &usualRoute{}
		u.routes[seen.route] = known
	}
	known.at = now
	for step, began := range seen.begins {
		rest := &known.rest[step]
		rest.programs = min(rest.programs+1, usualMean)
		rest.seconds += (seen.last.Sub(began).Seconds() - rest.seconds) / rest.programs
	}
}

// forgetOldest drops the route whose programs ended longest ago.
func (u *Usual) forgetOldest() {
	oldest := ""
	for name, known := range u.routes {
		if oldest == "" || known.at.Before(u.routes[oldest].at) {
			oldest = name
		}
	}
	delete(u.routes, oldest)
}
