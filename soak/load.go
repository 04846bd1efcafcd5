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

// Tenants of the load. The keys of rotatingTenant are added and revoked during the run.
const (
	firstTenant    = "acme"
	secondTenant   = "bolt"
	limitedTenant  = "small"
	rotatingTenant = "passing"
	// forgedValue is sent by clients in header fields that only the system may set.
	forgedValue  = "forged"
	limitedRate  = 4
	limitedBurst = 2
)

// Parameters of the load.
const (
	concurrentPrograms = 12
	programBudget      = 400
	maxTurnTokens      = 50
	// loopShare is the share of programs that run until their budget is spent, in loopSessions
	// concurrent sessions; storedShare is the share of programs whose turns are stored.
	loopShare    = 0.4
	loopSessions = 3
	storedShare  = 0.6
	// exhaustedShare is the probability that a program is an exhausted one that tries again,
	// drawn from the last maxExhausted ones.
	exhaustedShare = 0.3
	maxExhausted   = 100
	// keptShare is the share of sessions whose client keeps its connection open from turn to
	// turn for as long as the node leaves it open, also while the node is not ready.
	keptShare = 0.5
	// foreignShare is the probability that another tenant refers to a turn just stored, and
	// resumeShare that a program with stored turns continues an older turn of its tenant.
	foreignShare = 0.1
	resumeShare  = 0.3
	turnAttempts = 4
	// leaveShare is the probability that a client closes the connection of a resumable stream
	// after some of its events, to resume it at another node.
	leaveShare = 0.15
	// maxSessionRetries is how often a session retries a turn that failed, each time after at
	// most maxSessionRetryDelay.
	maxSessionRetries    = 3
	maxSessionRetryDelay = 4 * time.Second
	// maxStoredTurns bounds the stored turns that the load remembers. maxStoredAge is the oldest
	// age at which one is continued, well within the nodes' retention. maxChainDepth bounds the
	// turns before it, so that chains do not grow without bound.
	maxStoredTurns = 400
	maxChainDepth  = 30
	maxStoredAge   = 45 * time.Second
	// requestDeadline is the deadline that clients send. They disconnect after clientTimeout,
	// which is longer.
	requestDeadline   = 4 * time.Second
	clientTimeout     = 5 * time.Second
	limitedCallPeriod = 33 * time.Millisecond
	keyCallPeriod     = 50 * time.Millisecond
	operatorPeriod    = 1500 * time.Millisecond
	// validKeyCount is how many keys of rotatingTenant are valid at a time, and
	// revokedKeyCount how many of those revoked last are tried as well.
	validKeyCount   = 3
	revokedKeyCount = 6
)

type storedTurn struct {
	id     string
	tenant string
	at     time.Time
	// depth is the number of turns in the chain, this one included.
	depth int
}

// exhaustedProgram is a program that ran until its budget was spent.
type exhaustedProgram struct {
	turn promise.Sent
	at   time.Time
}

// keys numbers the keys of rotatingTenant: those from oldest up to but excluding next are valid.
type keys struct{ oldest, next int }

func keyName(number int) string { return fmt.Sprintf("passing-key-%d", number) }

// valid returns the valid keys of all tenants.
func (k keys) valid() []string {
	valid := []string{firstTenant + "-key", secondTenant + "-key", limitedTenant + "-key"}
	for number := k.oldest; number < k.next; number++ {
		valid = append(valid, keyName(number))
	}
	return valid
}

// tenants returns the tenants of the configuration, in the platform's format.
func (k keys) tenants() string {
	var quotedKeys []string
	for number := k.oldest; number < k.next; number++ {
		quotedKeys = append(quotedKeys, strconv.Quote(keyName(number)))
	}
	return fmt.Sprintf(`[{"name":%q,"apiKeys":[%q],"priority":0},{"name":%q,"apiKeys":[%q],"priority":1},`+
		`{"name":%q,"apiKeys":[%q],"priority":1,"ratePerS":%d,"burst":%d},{"name":%q,"apiKeys":[%s],"priority":1}]`,
		firstTenant, firstTenant+"-key", secondTenant, secondTenant+"-key",
		limitedTenant, limitedTenant+"-key", limitedRate, limitedBurst, rotatingTenant, strings.Join(quotedKeys, ","))
}

// load runs all clients and the operator until the run ends.
func (s *soak) load(ctx context.Context) {
	var clients sync.WaitGroup
	for index := range concurrentPrograms {
		tenant := []string{firstTenant, secondTenant}[index%2]
		clients.Go(func() {
			for sleep(ctx, s.randomDuration(20*time.Millisecond, 100*time.Millisecond)) {
				s.program(ctx, tenant)
			}
		})
	}
	clients.Go(func() { s.every(ctx, limitedCallPeriod, s.limitedCall) })
	clients.Go(func() { s.every(ctx, keyCallPeriod, s.sendWithRandomKey) })
	clients.Go(func() { s.every(ctx, operatorPeriod, s.rotateKeys) })
	clients.Wait()
}

// every starts call once per period, without waiting for earlier calls to return.
func (s *soak) every(ctx context.Context, period time.Duration, call func()) {
	var calls sync.WaitGroup
	for sleep(ctx, period) {
		calls.Go(call)
	}
	calls.Wait()
}

// program runs one program: its turns, in one or several sessions, and the calls between them.
func (s *soak) program(ctx context.Context, tenant string) {
	turn := promise.Sent{
		Tenant: tenant, Key: tenant + "-key", Route: standin.ModelPath, Repeatable: true, Events: eventsPerAnswer,
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
		turn.Route, turn.Repeatable, turn.Stored = standin.StoredPath, false, true
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

// exhaustedProgram returns a random recently exhausted program of a tenant, and false if
// there is none.
func (s *soak) exhaustedProgram(tenant string) (promise.Sent, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fresh := slices.DeleteFunc(slices.Clone(s.exhausted), func(candidate exhaustedProgram) bool {
		return candidate.turn.Tenant != tenant || time.Since(candidate.at) > maxStoredAge
	})
	if len(fresh) == 0 {
		return promise.Sent{}, false
	}
	return fresh[s.random.IntN(len(fresh))].turn, true
}

// session runs one session of a program, up to the given number of turns.
func (s *soak) session(ctx context.Context, turn promise.Sent, previous storedTurn, maxTurns int) {
	turn.Session = s.nextID("s")
	turn.Previous = previous.id
	client := &client{soak: s, keep: s.chance(keptShare)}
	defer client.disconnect()
	for number, retries := 1, 0; number <= maxTurns; number++ {
		id, end := s.turn(ctx, client, turn)
		if end == failed && retries < maxSessionRetries && sleep(ctx, s.randomDuration(time.Second, maxSessionRetryDelay)) {
			retries++
			continue
		}
		if end != served {
			return
		}
		if turn.Stored {
			turn.Previous = id
			s.addStoredTurn(storedTurn{id: id, tenant: turn.Tenant, at: time.Now(), depth: previous.depth + number})
			s.sendForeignTurn(id, turn.Tenant)
		}
		s.call(turn.Tenant, s.chance(0.5))
	}
}

// ending is the outcome of all attempts of a turn.
type ending int

const (
	served ending = iota
	failed
	// over means that the program cannot continue or the run has ended.
	over
)

// turn sends one turn, with retries as a client makes them, and returns the id of the last
// attempt.
func (s *soak) turn(ctx context.Context, client *client, turn promise.Sent) (id string, end ending) {
	for range turnAttempts {
		turn.ID = s.nextID("t")
		turn.Body = "input of " + turn.ID + ";"
		turn.LeaveAfter = 0
		if turn.Repeatable && s.chance(leaveShare) {
			turn.LeaveAfter = 1 + s.randomInt(eventsPerAnswer-1)
		}
		answer := client.send(http.MethodPost, turn)
		switch answer.Status {
		case http.StatusOK:
			if answer.Complete {
				return turn.ID, served
			}
		case http.StatusPaymentRequired, http.StatusUnauthorized, http.StatusNotFound, http.StatusBadRequest:
			return turn.ID, over
		}
		s.continueBroken(ctx, turn)
		turn.Resumes, turn.After = resumption(turn, answer)
		if !sleep(ctx, s.randomDuration(100*time.Millisecond, 400*time.Millisecond)) {
			return turn.ID, over
		}
	}
	return turn.ID, failed
}

// resumption returns what the next attempt of a turn resumes after an answer that broke off: the
// attempt that brought the first event, and the number of events that the client has.
func resumption(turn promise.Sent, answer standin.Answer) (resumes string, after int) {
	events := strings.Count(answer.Body, "\n\n")
	switch {
	case !turn.Repeatable:
		return "", 0
	case answer.Status == http.StatusServiceUnavailable && strings.Contains(answer.Body, notResumable):
		return "", 0
	case answer.Status != http.StatusOK:
		return turn.Resumes, turn.After
	case turn.Resumes == "" && events > 0:
		return turn.ID, events
	default:
		return turn.Resumes, turn.After + events
	}
}

// notResumable is in the answer of a node to a request whose stream has to begin anew.
const notResumable = "cannot be resumed"

// call sends a tool call that may or may not be repeated.
func (s *soak) call(tenant string, repeats bool) {
	call := promise.Sent{ID: s.nextID("c"), Tenant: tenant, Key: tenant + "-key", Route: standin.LookupPath, Repeatable: true}
	method := http.MethodGet
	if !repeats {
		call.Route, call.Repeatable, call.Body, method = standin.NoticePath, false, "call "+call.ID, http.MethodPost
	}
	s.send(s.pickNode(), method, call)
}

func (s *soak) limitedCall() { s.call(limitedTenant, true) }

// sendForeignTurn occasionally sends a turn of another tenant that refers to the given one.
func (s *soak) sendForeignTurn(previous, tenant string) {
	if !s.chance(foreignShare) {
		return
	}
	other := map[string]string{firstTenant: secondTenant, secondTenant: firstTenant}[tenant]
	id := s.nextID("f")
	s.send(s.pickNode(), http.MethodPost, promise.Sent{
		ID: id, Tenant: other, Key: other + "-key", Route: standin.StoredPath, Events: eventsPerAnswer, Program: s.nextID("p"),
		Session: id, Previous: previous, Stored: true, Budget: programBudget, MaxTokens: maxTurnTokens, Body: "input of " + id + ";",
	})
}

// sendWithRandomKey calls a random node with one of the rotating tenant's keys, valid or
// revoked.
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

// rotateKeys writes a configuration with one key added and the oldest valid key revoked.
func (s *soak) rotateKeys() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keys.next++
	s.keys.oldest++
	s.system.ConfigureTenants(s.keys.next, s.keys.tenants())
	s.record(promise.KeyAdded{Key: keyName(s.keys.next - 1)})
	s.record(promise.KeyRevoked{Key: keyName(s.keys.oldest - 1)})
}

// send sends a request to a node on a new connection.
func (s *soak) send(node *process, method string, sent promise.Sent) standin.Answer {
	client := &client{soak: s, node: node}
	return client.send(method, sent)
}

// headerOf returns the header fields of a request, including forged ones.
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
	if sent.Resumes != "" {
		fields[names.Resumes], fields[names.LastEvent] = sent.Resumes, strconv.Itoa(sent.After)
	}
	if sent.Previous != "" {
		fields[names.PreviousTurn] = sent.Previous
	}
	return fields
}

// pickNode returns the node for a new client connection: a ready one if there is any.
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
	s.lastID++
	return fmt.Sprintf("%s%d-%d", kind, s.options.Seed, s.lastID)
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

func (s *soak) addStoredTurn(turn storedTurn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.storedTurns = append(s.storedTurns, turn)
	s.storedTurns = s.storedTurns[max(0, len(s.storedTurns)-maxStoredTurns):]
}

// randomStoredTurn returns a random turn of a tenant that nodes still store, or the zero
// value if there is none.
func (s *soak) randomStoredTurn(tenant string) storedTurn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fresh := slices.DeleteFunc(slices.Clone(s.storedTurns), func(candidate storedTurn) bool {
		return candidate.tenant != tenant || candidate.depth > maxChainDepth || time.Since(candidate.at) > maxStoredAge
	})
	if len(fresh) == 0 {
		return storedTurn{}
	}
	return fresh[s.random.IntN(len(fresh))]
}
