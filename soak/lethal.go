package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"birchwood.example/birchwood/platform/standin"
	"birchwood.example/birchwood/soak/promise"
)

// Parameters of the requests that end every replica that runs them.
const (
	// lethalShare is the share of a schedule's faults that come with such a request, and
	// lethalTries the number of its tries, each at another node.
	lethalShare = 0.5
	lethalTries = 6
	// lethalBody is the end of its body.
	lethalBody = "lethal"
	// maxLethalPause is the longest pause between two tries.
	maxLethalPause = 150 * time.Millisecond
	// lethalKillShare is the probability that the node of one of the tries is killed, after at
	// most maxLethalKillDelay, and starts again after lethalDownTime.
	lethalKillShare    = 0.3
	maxLethalKillDelay = 100 * time.Millisecond
	lethalDownTime     = 500 * time.Millisecond
	// lethalSalt makes these requests independent of the other faults of the seed.
	lethalSalt = 4 << 32
)

// lethalEndings are when replicas end, in rotation. Their deaths rotate as well.
var lethalEndings = []standin.Lethal{
	{Body: lethalBody}, {Body: lethalBody, Events: 2}, {Body: lethalBody, Delay: 100 * time.Millisecond},
	{Body: lethalBody, Events: 1, Delay: 30 * time.Millisecond}, {Body: lethalBody, Delay: 600 * time.Millisecond},
}

// lethalRoutes are the routes of such requests. A fault's first target selects one.
var lethalRoutes = []promise.Sent{
	{Route: standin.ModelPath, Repeatable: true, Events: eventsPerAnswer},
	{Route: standin.StoredPath, Stored: true, Events: eventsPerAnswer},
	{Route: standin.LookupPath, Repeatable: true},
	{Route: standin.NoticePath},
}

// Lethals draws requests that end every replica that runs them, beside the faults of a
// schedule. It is deterministic for a given scenario.
func Lethals(scenario Scenario, faults []Fault) (lethals []Fault) {
	random := rand.New(rand.NewPCG(scenario.Seed, lethalSalt+uint64(scenario.Nodes)))
	for _, fault := range faults {
		if fault.Kind == ReplicaDrain || random.Float64() >= lethalShare {
			continue
		}
		lethals = append(lethals, Fault{Kind: LethalRequest, AtMS: fault.AtMS, ForMS: fault.ForMS, Targets: draw(random, len(lethalRoutes), 1)})
	}
	return lethals
}

// tryLethal sends a request that ends its replicas as often as its caller tries it, to another
// node each time, until span has elapsed.
func (s *soak) tryLethal(ctx context.Context, fault Fault) {
	until := time.Now().Add(time.Duration(fault.ForMS) * time.Millisecond)
	lethal := lethalRoutes[fault.Targets[0]]
	lethal.Tenant, lethal.Key, lethal.Lethal = firstTenant, firstTenant+"-key", s.nextID("l")
	lethal.Body = fmt.Sprintf("input of %s %s", lethal.Lethal, lethalBody)
	if lethal.Events > 0 {
		lethal.Program, lethal.Session, lethal.Budget, lethal.MaxTokens = lethal.Lethal, lethal.Lethal, programBudget, maxTurnTokens
	}
	killAt := -1
	if s.chance(lethalKillShare) {
		killAt = s.randomInt(lethalTries)
	}
	for try := 0; try < lethalTries && time.Now().Before(until); try++ {
		next, node := lethal, s.pickNode()
		next.ID = s.nextID("l")
		if try == killAt {
			s.replacing.Go(func() { s.killSoon(ctx, node) })
		}
		answer := s.send(node, http.MethodPost, next)
		lethal.Resumes, lethal.After = resumption(next, answer)
		if !sleep(ctx, s.randomDuration(time.Millisecond, maxLethalPause)) {
			return
		}
	}
}

// killSoon kills a node while it may run a request, and starts it again.
func (s *soak) killSoon(ctx context.Context, node *process) {
	if !sleep(ctx, s.randomDuration(time.Millisecond, maxLethalKillDelay)) {
		return
	}
	s.record(promise.Disturbance{Scope: node.settings.Node, Begin: true})
	s.restart(ctx, Kill, []*process{node}, lethalDownTime)
	s.record(promise.Disturbance{Scope: node.settings.Node})
}
