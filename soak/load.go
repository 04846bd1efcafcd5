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
	firstTenant    = "acme"
	secondTenant   = "bolt"
	limitedTenant  = "small"
	rotatingTenant = "passing"
	// forged is what clients put into the fields that only the system sets.
	forgedValue  = "forged"
	limitedRate  = 4
	limitedBurst = 2
)

// What the load is like.
const (
	concurrentPrograms = 12
	programBudget      = 400
	maxTurnTokens      = 50
	// loopShare is the share of the programs that go on until their budget ends, with
	// some lines of turns side by side, and keptShare that of those whose turns are kept.
	loopShare    = 0.4
	loopSessions = 3
	storedShare  = 0.6
	// stoppedShare is how often a program comes back whose budget ended, one of the
	// last stoppedKnown.
	exhaustedShare = 0.3
	maxExhausted   = 100
	// foreignShare is how often after a kept turn another tenant names it, and
	// returnShare how often a program of the same tenant goes on from an old one.
	foreignShare = 0.1
	resumeShare  = 0.3
	turnAttempts = 4
	// returns is how often a line whose turn failed comes back, within returnMost.
	maxSessionRetries    = 3
	maxSessionRetryDelay = 4 * time.Second
	// keptKnown is how many kept turns the load remembers, and keptFresh how old one
	// may be to be gone on from: well within their retention. keptDeep bounds the turns
	// before it, so that chains do not grow without end.
	maxStoredTurns = 400
	maxChainDepth  = 30
	maxStoredAge   = 45 * time.Second
	// clientPatience is when a client leaves, after its own deadline.
	requestDeadline   = 4 * time.Second
	clientTimeout     = 5 * time.Second
	limitedCallPeriod = 33 * time.Millisecond
	keyCallPeriod     = 50 * time.Millisecond
	operatorPeriod    = 1500 * time.Millisecond
	// keysValid and keysRevoked are how many passing keys are valid at once, and how
	// many taken away ones are tried.
	validKeyCount   = 3
	revokedKeyCount = 6
)

type storedTurn struct {
	id     string
	tenant string
	at     time.Time
	// depth is how many turns its chain has.
	depth int
}

// stoppedProgram is a program that went on until its budget ended.
type exhaustedProgram struct {
	turn promise.Sent
	at   time.Time
}

// keys are the passing tenant's: those from taken on to before next are valid.
type keys struct{ oldest, next int }

func keyName(number int) string { return fmt.Sprintf("passing-key-%d", number) }

// valid returns the keys that are valid.
func (k keys) valid() []string {
	valid := []string{firstTenant + "-key", secondTenant + "-key", limitedTenant + "-key"}
	for number := k.oldest; number < k.next; number++ {
		valid = append(valid, keyName(number))
	}
	return valid
}

// tenants returns the tenants of the configuration, in the platform's form.
func (k keys) tenants() string {
	var passing []string
	for number := k.oldest; number < k.next; number++ {
		passing = append(passing, strconv.Quote(keyName(number)))
	}
	return fmt.Sprintf(`[{"name":%q,"apiKeys":[%q],"priority":0},{"name":%q,"apiKeys":[%q],"priority":1},`+
		`{"name":%q,"apiKeys":[%q],"priority":1,"ratePerS":%d,"burst":%d},{"name":%q,"apiKeys":[%s],"priority":1}]`,
		firstTenant, firstTenant+"-key", secondTenant, secondTenant+"-key",
		limitedTenant, limitedTenant+"-key", limitedRate, limitedBurst, rotatingTenant, strings.Join(passing, ","))
}

// load drives all clients and the operator until the run ends.
func (s *soak) load(ctx context.Context) {
	var running sync.WaitGroup
	for index := range concurrentPrograms {
		tenant := []string{firstTenant, secondTenant}[index%2]
		running.Go(func() {
			for sleep(ctx, s.randomDuration(20*time.Millisecond, 100*time.Millisecond)) {
				s.program(ctx, tenant)
			}
		})
	}
	running.Go(func() { s.every(ctx, limitedCallPeriod, s.limitedCall) })
	running.Go(func() { s.every(ctx, keyCallPeriod, s.sendWithRandomKey) })
	running.Go(func() { s.every(ctx, operatorPeriod, s.rotateKeys) })
	running.Wait()
}

// every calls again and again, each time beside what goes on still.
func (s *soak) every(ctx context.Context, period time.Duration, call func()) {
	var running sync.WaitGroup
	for sleep(ctx, period) {
		running.Go(call)
	}
	running.Wait()
}

// program takes the turns of one program, with calls between them.
func (s *soak) program(ctx context.Context, tenant string) {
	turn := promise.Sent{
		Tenant: tenant, Key: tenant + "-key", Route: standin.ModelPath, Repeatable: true, Events: eventsOfAnswer,
		Program: s.nextID("p"), Budget: programBudget, MaxTokens: maxTurnTokens, MustServe: true,
	}
	if s.chance(exhaustedShare) {
		if exhausted, found := s.exhaustedProgram(tenant); found {
			s.session(ctx, exhausted, storedTurn{}, programBudget)
			return
		}
	}
	var previous storedTurn
	if s.chance(storedShare) {
		turn.Route, turn.Repeatable, turn.Stored = standin.KeptPath, false, true
		if s.chance(resumeShare) {
			previous = s.randomStoredTurn(tenant)
		}
	}
	if !s.chance(loopShare) {
		s.session(ctx, turn, previous, 2+s.randomInt(4))
		return
	}
	var sessions sync.WaitGroup
	for range loopSessions {
		sessions.Go(func() { s.session(ctx, turn, previous, programBudget) })
	}
	sessions.Wait()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.exhausted = append(s.exhausted, exhaustedProgram{turn: turn, at: time.Now()})
	s.exhausted = s.exhausted[max(0, len(s.exhausted)-maxExhausted):]
}

// stoppedProgram returns a program whose budget ended some time ago, if there is any.
func (s *soak) exhaustedProgram(tenant string) (promise.Sent, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fresh := slices.DeleteFunc(slices.Clone(s.exhausted), func(one exhaustedProgram) bool {
		return one.turn.Tenant != tenant || time.Since(one.at) > maxStoredAge
	})
	if len(fresh) == 0 {
		return promise.Sent{}, false
	}
	return fresh[s.random.IntN(len(fresh))].turn, true
}

// line takes the turns of one line of a program.
func (s *soak) session(ctx context.Context, turn promise.Sent, previous storedTurn, turns int) {
	turn.Session = s.nextID("s")
	turn.Previous = previous.id
	for taken, retries := 1, 0; taken <= turns; taken++ {
		id, end := s.turn(ctx, turn)
		if end == failed && retries < maxSessionRetries && sleep(ctx, s.randomDuration(time.Second, maxSessionRetryDelay)) {
			retries++
			continue
		}
		if end != served {
			return
		}
		if turn.Stored {
			turn.Previous = id
			s.rememberTurn(storedTurn{id: id, tenant: turn.Tenant, at: time.Now(), depth: previous.depth + taken})
			s.sendForeignTurn(id, turn.Tenant)
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
	for range turnAttempts {
		turn.ID = s.nextID("t")
		turn.Body = "input of " + turn.ID + ";"
		answer := s.send(s.pickNode(), http.MethodPost, turn)
		switch answer.Status {
		case http.StatusOK:
			if answer.Whole {
				return turn.ID, served
			}
		case http.StatusPaymentRequired, http.StatusUnauthorized, http.StatusNotFound, http.StatusBadRequest:
			return turn.ID, over
		}
		if !sleep(ctx, s.randomDuration(100*time.Millisecond, 400*time.Millisecond)) {
			return turn.ID, over
		}
	}
	return turn.ID, failed
}

// call calls a tool, which may repeat or not.
func (s *soak) call(tenant string, repeats bool) {
	call := promise.Sent{ID: s.nextID("c"), Tenant: tenant, Key: tenant + "-key", Route: standin.LookupPath, Repeatable: true}
	method := http.MethodGet
	if !repeats {
		call.Route, call.Repeatable, call.Body, method = standin.NoticePath, false, "call "+call.ID, http.MethodPost
	}
	s.send(s.pickNode(), method, call)
}

func (s *soak) limitedCall() { s.call(limitedTenant, true) }

// tryForeign has another tenant name a turn now and then.
func (s *soak) sendForeignTurn(previous, tenant string) {
	if !s.chance(foreignShare) {
		return
	}
	other := map[string]string{firstTenant: secondTenant, secondTenant: firstTenant}[tenant]
	id := s.nextID("f")
	s.send(s.pickNode(), http.MethodPost, promise.Sent{
		ID: id, Tenant: other, Key: other + "-key", Route: standin.KeptPath, Events: eventsOfAnswer, Program: s.nextID("p"),
		Session: id, Previous: previous, Stored: true, Budget: programBudget, MaxTokens: maxTurnTokens, Body: "input of " + id + ";",
	})
}

// tryKey asks one node with one of the passing tenant's keys, valid or taken away.
func (s *soak) sendWithRandomKey() {
	s.mutex.Lock()
	first := max(0, s.keys.oldest-revokedKeyCount)
	number := first + s.random.IntN(s.keys.next-first)
	node := s.processes[s.random.IntN(len(s.processes))]
	s.mutex.Unlock()
	s.send(node, http.MethodGet, promise.Sent{
		ID: s.nextID("k"), Tenant: rotatingTenant, Key: keyName(number), Route: standin.LookupPath, Repeatable: true,
	})
}

// operate writes the next configuration: one more key, and one less.
func (s *soak) rotateKeys() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keys.next++
	s.keys.oldest++
	s.system.ConfigureTenants(s.keys.next, s.keys.tenants())
	s.record(promise.KeyAdded{Key: keyName(s.keys.next - 1)})
	s.record(promise.KeyRevoked{Key: keyName(s.keys.oldest - 1)})
}

// ask sends a request to a node, and tells what is sent and how it ends.
func (s *soak) send(node *process, method string, sent promise.Sent) standin.Answer {
	sent.Node = node.settings.Node
	sent.Incarnation, _ = node.current()
	s.record(sent)
	answer, err := standin.AskWithin(clientTimeout, node.clients.address(), method, standin.Host, sent.Route+"x", headerOf(sent), sent.Body)
	if err != nil {
		// No answer makes no promise; the checker counts it as unserved.
		answer = standin.Answer{}
	}
	s.record(promise.Answered{ID: sent.ID, Status: answer.Status, Body: answer.Body, Whole: answer.Whole})
	return answer
}

// fieldsOf returns the header of a request.
func headerOf(sent promise.Sent) map[string]string {
	names := platform.Names()
	fields := map[string]string{
		names.RequestID: sent.ID, names.Deadline: strconv.FormatInt(requestDeadline.Milliseconds(), 10), names.APIKey: sent.Key,
		names.Tenant: forgedValue,
	}
	for _, name := range names.Reserved {
		fields[name] = forgedValue
	}
	if sent.Program == "" {
		return fields
	}
	maps.Copy(fields, map[string]string{
		names.Program: sent.Program, names.Session: sent.Session, names.Finish: "9000",
		names.TokenBudget: strconv.Itoa(sent.Budget), names.TokenCounts: "10," + strconv.Itoa(sent.MaxTokens),
		names.PromptPrefix: "aa:100," + fmt.Sprintf("%x", sent.Session) + ":10", header.ContentType: "text/plain",
	})
	if sent.Previous != "" {
		fields[names.PreviousTurn] = sent.Previous
	}
	return fields
}

// pick returns the node that a client's connection goes to.
func (s *soak) pickNode() *process {
	readyNodes := s.readyNodes()
	if len(readyNodes) == 0 {
		readyNodes = s.processes
	}
	return readyNodes[s.randomInt(len(readyNodes))]
}

func (s *soak) nextID(kind string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ids++
	return fmt.Sprintf("%s%d-%d", kind, s.options.Seed, s.ids)
}

func (s *soak) randomInt(bound int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(bound)
}

func (s *soak) chance(share float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < share
}

func (s *soak) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.randomInt(int(longest-shortest)))
}

func (s *soak) rememberTurn(turn storedTurn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.storedTurns = append(s.storedTurns, turn)
	s.storedTurns = s.storedTurns[max(0, len(s.storedTurns)-maxStoredTurns):]
}

// knownTurn returns a turn of a tenant that is kept still, or none.
func (s *soak) randomStoredTurn(tenant string) storedTurn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fresh := slices.DeleteFunc(slices.Clone(s.storedTurns), func(one storedTurn) bool {
		return one.tenant != tenant || one.depth > maxChainDepth || time.Since(one.at) > maxStoredAge
	})
	if len(fresh) == 0 {
		return storedTurn{}
	}
	return fresh[s.random.IntN(len(fresh))]
}
