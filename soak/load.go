package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"birchwood.example/birchwood/header"
	"birchwood.example/birchwood/platform"
	"birchwood.example/birchwood/platform/standin"
	"birchwood.example/birchwood/soak/promise"
)

// The tenants of the load. Keys of the passing one come and go.
const (
	firstTenant   = "acme"
	secondTenant  = "bolt"
	limitedTenant = "small"
	passingTenant = "passing"
	// forged is what clients put into the fields that only the system sets.
	forged       = "forged"
	limitedRate  = 4
	limitedBurst = 2
)

// What the load is like.
const (
	programsAtOnce = 12
	budget         = 400
	mostOfTurn     = 50
	// loopShare is the share of the programs that go on until their budget ends, with
	// some lines of turns side by side, and keptShare that of those whose turns are kept.
	loopShare = 0.4
	loopLines = 3
	keptShare = 0.6
	// stoppedShare is how often a program comes back whose budget ended, one of the
	// last stoppedKnown.
	stoppedShare = 0.3
	stoppedKnown = 100
	// foreignShare is how often after a kept turn another tenant names it, and
	// returnShare how often a program of the same tenant goes on from an old one.
	foreignShare = 0.1
	returnShare  = 0.3
	triesOfTurn  = 4
	// returns is how often a line whose turn failed comes back, within returnMost.
	returns    = 3
	returnMost = 4 * time.Second
	// keptKnown is how many kept turns the load remembers, and keptFresh how old one
	// may be to be gone on from: well within their retention. keptDeep bounds the turns
	// before it, so that chains do not grow without end.
	keptKnown = 400
	keptDeep  = 30
	keptFresh = 45 * time.Second
	// clientPatience is when a client leaves, after its own deadline.
	deadline       = 4 * time.Second
	clientPatience = 5 * time.Second
	limitedPeriod  = 33 * time.Millisecond
	keyPeriod      = 50 * time.Millisecond
	operatorPeriod = 1500 * time.Millisecond
	// keysValid and keysRevoked are how many passing keys are valid at once, and how
	// many taken away ones are tried.
	keysValid   = 3
	keysRevoked = 6
)

type keptTurn struct {
	id     string
	tenant string
	at     time.Time
	// depth is how many turns its chain has.
	depth int
}

// stoppedProgram is a program that went on until its budget ended.
type stoppedProgram struct {
	turn promise.Sent
	at   time.Time
}

// keys are the passing tenant's: those from taken on to before next are valid.
type keys struct{ taken, next int }

func keyName(number int) string { return fmt.Sprintf("passing-key-%d", number) }

// valid returns the keys that are valid.
func (k keys) valid() []string {
	valid := []string{firstTenant + "-key", secondTenant + "-key", limitedTenant + "-key"}
	for number := k.taken; number < k.next; number++ {
		valid = append(valid, keyName(number))
	}
	return valid
}

// tenants returns the tenants of the configuration, in the platform's form.
func (k keys) tenants() string {
	var passing []string
	for number := k.taken; number < k.next; number++ {
		passing = append(passing, strconv.Quote(keyName(number)))
	}
	return fmt.Sprintf(`[{"name":%q,"apiKeys":[%q],"priority":0},{"name":%q,"apiKeys":[%q],"priority":1},`+
		`{"name":%q,"apiKeys":[%q],"priority":1,"ratePerS":%d,"burst":%d},{"name":%q,"apiKeys":[%s],"priority":1}]`,
		firstTenant, firstTenant+"-key", secondTenant, secondTenant+"-key",
		limitedTenant, limitedTenant+"-key", limitedRate, limitedBurst, passingTenant, strings.Join(passing, ","))
}

// load drives all clients and the operator until the run ends.
func (s *soak) load(ctx context.Context) {
	var running sync.WaitGroup
	for index := range programsAtOnce {
		tenant := []string{firstTenant, secondTenant}[index%2]
		running.Go(func() {
			for pause(ctx, s.between(20*time.Millisecond, 100*time.Millisecond)) {
				s.program(ctx, tenant)
			}
		})
	}
	running.Go(func() { s.every(ctx, limitedPeriod, s.limitedCall) })
	running.Go(func() { s.every(ctx, keyPeriod, s.tryKey) })
	running.Go(func() { s.every(ctx, operatorPeriod, s.operate) })
	running.Wait()
}

// every calls again and again, each time beside what goes on still.
func (s *soak) every(ctx context.Context, period time.Duration, call func()) {
	var running sync.WaitGroup
	for pause(ctx, period) {
		running.Go(call)
	}
	running.Wait()
}

// program takes the turns of one program, with calls between them.
func (s *soak) program(ctx context.Context, tenant string) {
	turn := promise.Sent{
		Tenant: tenant, Key: tenant + "-key", Route: standin.ModelPath, Repeats: true, Events: eventsOfAnswer,
		Program: s.nextID("p"), Budget: budget, Most: mostOfTurn, Proper: true,
	}
	if s.chance(stoppedShare) {
		if stopped, found := s.stoppedProgram(tenant); found {
			s.line(ctx, stopped, keptTurn{}, budget)
			return
		}
	}
	var before keptTurn
	if s.chance(keptShare) {
		turn.Route, turn.Repeats, turn.Kept = standin.KeptPath, false, true
		if s.chance(returnShare) {
			before = s.knownTurn(tenant)
		}
	}
	if !s.chance(loopShare) {
		s.line(ctx, turn, before, 2+s.below(4))
		return
	}
	var lines sync.WaitGroup
	for range loopLines {
		lines.Go(func() { s.line(ctx, turn, before, budget) })
	}
	lines.Wait()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopped = append(s.stopped, stoppedProgram{turn: turn, at: time.Now()})
	s.stopped = s.stopped[max(0, len(s.stopped)-stoppedKnown):]
}

// stoppedProgram returns a program whose budget ended some time ago, if there is any.
func (s *soak) stoppedProgram(tenant string) (promise.Sent, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fresh := slices.DeleteFunc(slices.Clone(s.stopped), func(one stoppedProgram) bool {
		return one.turn.Tenant != tenant || time.Since(one.at) > keptFresh
	})
	if len(fresh) == 0 {
		return promise.Sent{}, false
	}
	return fresh[s.random.IntN(len(fresh))].turn, true
}

// line takes the turns of one line of a program.
func (s *soak) line(ctx context.Context, turn promise.Sent, before keptTurn, turns int) {
	turn.Session = s.nextID("s")
	turn.Previous = before.id
	for taken, returned := 1, 0; taken <= turns; taken++ {
		id, end := s.turn(ctx, turn)
		if end == failed && returned < returns && pause(ctx, s.between(time.Second, returnMost)) {
			returned++
			continue
		}
		if end != served {
			return
		}
		if turn.Kept {
			turn.Previous = id
			s.remember(keptTurn{id: id, tenant: turn.Tenant, at: time.Now(), depth: before.depth + taken})
			s.tryForeign(id, turn.Tenant)
		}
		s.call(turn.Tenant, s.chance(0.5))
	}
}

// ending tells how the tries of a turn ended.
type ending int

const (
	served ending = iota
	failed
	// over ends the program.
	over
)

// turn asks for one turn with a client's tries, and returns the id of the last one.
func (s *soak) turn(ctx context.Context, turn promise.Sent) (id string, end ending) {
	for range triesOfTurn {
		turn.ID = s.nextID("t")
		turn.Body = "input of " + turn.ID + ";"
		answer := s.ask(s.pick(), http.MethodPost, turn)
		switch answer.Status {
		case http.StatusOK:
			if answer.Whole {
				return turn.ID, served
			}
		case http.StatusPaymentRequired, http.StatusUnauthorized, http.StatusNotFound, http.StatusBadRequest:
			return turn.ID, over
		}
		if !pause(ctx, s.between(100*time.Millisecond, 400*time.Millisecond)) {
			return turn.ID, over
		}
	}
	return turn.ID, failed
}

// call calls a tool, which may repeat or not.
func (s *soak) call(tenant string, repeats bool) {
	call := promise.Sent{ID: s.nextID("c"), Tenant: tenant, Key: tenant + "-key", Route: standin.LookupPath, Repeats: true}
	method := http.MethodGet
	if !repeats {
		call.Route, call.Repeats, call.Body, method = standin.NoticePath, false, "call "+call.ID, http.MethodPost
	}
	s.ask(s.pick(), method, call)
}

func (s *soak) limitedCall() { s.call(limitedTenant, true) }

// tryForeign has another tenant name a turn now and then.
func (s *soak) tryForeign(previous, tenant string) {
	if !s.chance(foreignShare) {
		return
	}
	other := map[string]string{firstTenant: secondTenant, secondTenant: firstTenant}[tenant]
	id := s.nextID("f")
	s.ask(s.pick(), http.MethodPost, promise.Sent{
		ID: id, Tenant: other, Key: other + "-key", Route: standin.KeptPath, Events: eventsOfAnswer, Program: s.nextID("p"),
		Session: id, Previous: previous, Kept: true, Budget: budget, Most: mostOfTurn, Body: "input of " + id + ";",
	})
}

// tryKey asks one node with one of the passing tenant's keys, valid or taken away.
func (s *soak) tryKey() {
	s.mutex.Lock()
	least := max(0, s.keys.taken-keysRevoked)
	number := least + s.random.IntN(s.keys.next-least)
	node := s.processes[s.random.IntN(len(s.processes))]
	s.mutex.Unlock()
	s.ask(node, http.MethodGet, promise.Sent{
		ID: s.nextID("k"), Tenant: passingTenant, Key: keyName(number), Route: standin.LookupPath, Repeats: true,
	})
}

// operate writes the next configuration: one more key, and one less.
func (s *soak) operate() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keys.next++
	s.keys.taken++
	s.system.ConfigureTenants(s.keys.next, s.keys.tenants())
	s.see(promise.KeyAdded{Key: keyName(s.keys.next - 1)})
	s.see(promise.KeyRevoked{Key: keyName(s.keys.taken - 1)})
}

// ask sends a request to a node, and tells what is sent and how it ends.
func (s *soak) ask(node *process, method string, sent promise.Sent) standin.Answer {
	sent.Node = node.settings.Node
	sent.Life, _ = node.current()
	s.see(sent)
	answer, err := standin.AskWithin(clientPatience, node.clients.address(), method, standin.Host, sent.Route+"x", fieldsOf(sent), sent.Body)
	if err != nil {
		// No answer makes no promise; the checker counts it as unserved.
		answer = standin.Answer{}
	}
	s.see(promise.Answered{ID: sent.ID, Status: answer.Status, Body: answer.Body, Whole: answer.Whole})
	return answer
}

// fieldsOf returns the header of a request.
func fieldsOf(sent promise.Sent) map[string]string {
	names := platform.Names()
	fields := map[string]string{
		names.RequestID: sent.ID, names.Deadline: strconv.FormatInt(deadline.Milliseconds(), 10), names.APIKey: sent.Key,
		names.Tenant: forged,
	}
	for _, name := range names.Reserved {
		fields[name] = forged
	}
	if sent.Program == "" {
		return fields
	}
	maps.Copy(fields, map[string]string{
		names.Program: sent.Program, names.Session: sent.Session, names.Finish: "9000",
		names.TokenBudget: strconv.Itoa(sent.Budget), names.TokenCounts: "10," + strconv.Itoa(sent.Most),
		names.PromptPrefix: "aa:100," + fmt.Sprintf("%x", sent.Session) + ":10", header.ContentType: "text/plain",
	})
	if sent.Previous != "" {
		fields[names.PreviousTurn] = sent.Previous
	}
	return fields
}

// pick returns the node that a client's connection goes to.
func (s *soak) pick() *process {
	in := s.in()
	if len(in) == 0 {
		in = s.processes
	}
	return in[s.below(len(in))]
}

func (s *soak) nextID(kind string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ids++
	return fmt.Sprintf("%s%d-%d", kind, s.options.Seed, s.ids)
}

func (s *soak) below(bound int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(bound)
}

func (s *soak) chance(share float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < share
}

func (s *soak) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.below(int(most-least)))
}

func (s *soak) remember(turn keptTurn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.kept = append(s.kept, turn)
	s.kept = s.kept[max(0, len(s.kept)-keptKnown):]
}

// knownTurn returns a turn of a tenant that is kept still, or none.
func (s *soak) knownTurn(tenant string) keptTurn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fresh := slices.DeleteFunc(slices.Clone(s.kept), func(one keptTurn) bool {
		return one.tenant != tenant || one.depth > keptDeep || time.Since(one.at) > keptFresh
	})
	if len(fresh) == 0 {
		return keptTurn{}
	}
	return fresh[s.random.IntN(len(fresh))]
}
