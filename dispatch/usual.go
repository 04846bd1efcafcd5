package dispatch

import "time"

// RemainingTimeEstimator estimates how much longer programs take, from earlier ones that
// this node observed. The time that a client grants its program at the first turn
// indicates the program's size; the time per turn is estimated by route. It is not safe
// for concurrent use.
type RemainingTimeEstimator struct {
	programs map[string]*trackedProgram
	routes   map[string]*routeSums
	sweptAt  time.Time
}

// trackedProgram is a program with recent turns.
type trackedProgram struct {
	route string
	// granted is the time that the client granted at the first turn; 0 if this node did
	// not observe that turn, or the client gave none.
	granted time.Duration
	turns   int
	// began is when the first turn arrived, and last when the latest turn arrived or
	// ended.
	began, last time.Time
}

// routeSums holds sums over a route's programs, with exponential decay.
type routeSums struct {
	programs, turns, took, granted float64
	at                             time.Time
}

const (
	// maxTrackedPrograms and maxTrackedRoutes bound the programs and routes that are
	// tracked at once: more than one node has in progress.
	maxTrackedPrograms = 512
	maxTrackedRoutes   = 200
	// routeMemory is about how many programs the sums of a route cover.
	routeMemory = 50
	// minRoutePrograms is how many programs a route's sums need before they are used.
	minRoutePrograms = 5
	// programIdleTime is the time after its last turn from which on a program counts as
	// ended: longer than its pauses and tool calls usually take.
	programIdleTime = 2 * time.Second
	// sweepInterval is the time between searches for ended programs.
	sweepInterval = 250 * time.Millisecond
)

// NewRemainingTimeEstimator returns an estimator without observations.
func NewRemainingTimeEstimator() *RemainingTimeEstimator {
	return &RemainingTimeEstimator{programs: make(map[string]*trackedProgram), routes: make(map[string]*routeSums)}
}

// Begin records the arrival of a program's turn. Granted is the time that the client
// grants the whole program if this is its first turn, else 0.
func (u *RemainingTimeEstimator) Begin(now time.Time, route, program string, granted time.Duration) {
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

// End records that a turn of a program was served.
func (u *RemainingTimeEstimator) End(now time.Time, program string) {
	if tracked := u.programs[program]; tracked != nil {
		tracked.last = now
	}
}

// Remaining returns how much longer a program is expected to take, including the turn that
// began last; 0 if unknown. If this node did not observe the first turn of the program,
// the result covers only the present turn.
func (u *RemainingTimeEstimator) Remaining(route, program string) time.Duration {
	sums := u.routes[route]
	if sums == nil || sums.programs < minRoutePrograms {
		return 0
	}
	turnsLeft := 1.
	if tracked := u.programs[program]; tracked != nil && tracked.granted > 0 && sums.granted > 0 {
		turns := tracked.granted.Seconds() * sums.turns / sums.granted
		turnsLeft = max(turns-float64(tracked.turns-1), 1)
	}
	return time.Duration(turnsLeft * sums.took / sums.turns * float64(time.Second))
}

// sweep removes the programs that have ended, and adds those observed from their first
// turn to the sums of their routes.
func (u *RemainingTimeEstimator) sweep(now time.Time) {
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
			u.addEnded(now, tracked)
		}
	}
}

// addEnded adds an ended program that this node observed from its first turn.
func (u *RemainingTimeEstimator) addEnded(now time.Time, tracked *trackedProgram) {
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
