package dispatch

import "time"

// Usual learns how much longer programs take, from those that a node saw. What a client
// grants its program at the first turn tells how large the program is; how long programs
// of its route take for each of their turns is learned. It is not safe for concurrent use.
type Usual struct {
	programs map[string]*trackedProgram
	routes   map[string]*routeSums
	sweptAt  time.Time
}

// trackedProgram is a program under way.
type trackedProgram struct {
	route string
	// granted is the time that the client gave it at its first turn; 0 where this node
	// did not see that, or the client did not say.
	granted time.Duration
	turns   int
	// began and last are when its first turn came and when its last one came or ended.
	began, last time.Time
}

// routeSums holds sums over the last programs of a route, which older programs leave
// little by little.
type routeSums struct {
	programs, turns, took, granted float64
	at                             time.Time
}

const (
	// maxTrackedPrograms bounds the programs that are followed at once, and usualRoutes the
	// routes: more than one node has under way.
	maxTrackedPrograms = 512
	maxTrackedRoutes   = 200
	// routeMemory is how many programs the sums of a route hold about.
	routeMemory = 50
	// minRoutePrograms is from how many programs on a route's sums are used.
	minRoutePrograms = 5
	// programIdleTime is how long after its last turn a program counts as over: longer than
	// its pauses and tools take as a rule.
	programIdleTime = 2 * time.Second
	// sweepInterval is how often programs that are over are looked for.
	sweepInterval = 250 * time.Millisecond
)

// NewUsual returns a Usual that knows no route.
func NewUsual() *Usual {
	return &Usual{programs: make(map[string]*trackedProgram), routes: make(map[string]*routeSums)}
}

// Begin takes in that a turn of a program came. Granted is what the client gives the
// whole program, if this is its first turn; else 0.
func (u *Usual) Begin(now time.Time, route, program string, granted time.Duration) {
	u.sweep(now)
	tracked := u.programs[program]
	if tracked == nil {
		if len(u.programs) >= maxTrackedPrograms {
			return
		}
		tracked = &trackedProgram{route: route, granted: max(granted, 0), began: now}
		u.programs[program] = tracked
	}
	tracked.last = now
	tracked.turns++
}

// End takes in that a turn of a program was served.
func (u *Usual) End(now time.Time, program string) {
	if tracked := u.programs[program]; tracked != nil {
		tracked.last = now
	}
}

// Need returns how much longer a program takes as a rule, the turn that began last
// included; 0 where that is not known. Of a program whose first turn this node did not
// see, only that turn is known to be left.
func (u *Usual) Need(route, program string) time.Duration {
	sums := u.routes[route]
	if sums == nil || sums.programs < minRoutePrograms {
		return 0
	}
	rest := 1.
	if tracked := u.programs[program]; tracked != nil && tracked.granted > 0 && sums.granted > 0 {
		turns := tracked.granted.Seconds() * sums.turns / sums.granted
		rest = max(turns-float64(tracked.turns-1), 1)
	}
	return time.Duration(rest * sums.took / sums.turns * float64(time.Second))
}

// sweep learns from the programs that are over.
func (u *Usual) sweep(now time.Time) {
	if now.Sub(u.sweptAt) < sweepInterval {
		return
	}
	u.sweptAt = now
	for id, tracked := range u.programs {
		if now.Sub(tracked.last) < programIdleTime {
			continue
		}
		delete(u.programs, id)
		if tracked.granted > 0 {
			u.learn(now, tracked)
		}
	}
}

// learn takes in a program that this node saw from its beginning and that is over.
func (u *Usual) learn(now time.Time, tracked *trackedProgram) {
	sums := u.routes[tracked.route]
	if sums == nil {
		if len(u.routes) >= maxTrackedRoutes {
			ForgetOldest(u.routes, func(one *routeSums) time.Time { return one.at })
		}
		sums = &routeSums{}
		u.routes[tracked.route] = sums
	}
	const decay = 1 - 1./routeMemory
	sums.at = now
	sums.programs = sums.programs*decay + 1
	sums.turns = sums.turns*decay + float64(tracked.turns)
	sums.took = sums.took*decay + tracked.last.Sub(tracked.began).Seconds()
	sums.granted = sums.granted*decay + tracked.granted.Seconds()
}
