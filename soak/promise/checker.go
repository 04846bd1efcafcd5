package promise

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxBreachesPerPromise bounds the breaches stored per promise, so that a persistent fault
// does not fill the memory.
const maxBreachesPerPromise = 3

// Checker verifies the promises against events. It is not safe for concurrent use.
type Checker struct {
	config   Config
	requests map[string]*request
	programs map[string]*program
	// limitedRequests holds the recent requests of each tenant with a limit, and coldReplicas the cold
	// replicas with their recent requests.
	limitedRequests map[string][]arrival
	coldReplicas    map[string]*coldReplica
	// drained and evacuated hold the start of each drain and evacuation; added and revoked hold
	// when each key became valid or was revoked.
	drained   map[string]time.Time
	evacuated map[string]time.Time
	added     map[string]time.Time
	revoked   map[string]time.Time
	// denied holds when a process last refused a revoked key.
	denied map[denial]time.Time
	// versions holds the version of each replica that serves, and streams how streams began and
	// went on.
	versions map[string]string
	// allVersions are all versions that ever served, and "" for replicas without one.
	allVersions  []string
	streams      streamOutcomes
	disturbances disturbances
	// ends counts the replicas that ended under each request that ends its replicas.
	ends        map[string]int
	samples     map[process][]Sampled
	breaches    []Breach
	counts      map[Promise]int
	newBreaches []Breach
}

type request struct {
	Sent
	at         time.Time
	faultFree  bool
	runs       int
	replicas   []string
	answered   bool
	answeredAt time.Time
	status     int
	complete   bool
	tokens     int
	// streamVersions are the versions that wrote the events of the stream, over all requests
	// that resumed it. They are stored with the request that began the stream.
	streamVersions []string
	// comparable is set if the request's outcome counts for StreamsResumed.
	comparable bool
}

type program struct {
	turns           []*request
	deliveredTokens int
	// failedAttempts counts consecutive failed attempts in fault-free periods.
	failedAttempts int
}

type process struct {
	node        string
	incarnation int
}

type denial struct {
	process
	key string
}

// New returns a checker without any events.
func New(config Config) *Checker {
	return &Checker{
		config: config, requests: make(map[string]*request), programs: make(map[string]*program),
		limitedRequests: make(map[string][]arrival), coldReplicas: make(map[string]*coldReplica),
		versions: make(map[string]string), allVersions: []string{""},
		drained: make(map[string]time.Time), evacuated: make(map[string]time.Time),
		added: make(map[string]time.Time), revoked: make(map[string]time.Time), denied: make(map[denial]time.Time),
		ends: make(map[string]int), disturbances: newDisturbances(), samples: make(map[process][]Sampled), counts: make(map[Promise]int),
	}
}

// Add processes an event and returns the breaches that it reveals.
func (c *Checker) Add(at time.Time, event Event) []Breach {
	c.newBreaches = nil
	switch event := event.(type) {
	case Sent:
		c.send(at, event)
	case Answered:
		c.answer(at, event)
	case Ran:
		c.run(at, event)
	case ReplicaEnded:
		c.countEnd(event)
	case Drained:
		c.drained[event.Replica] = at
	case Serving:
		c.setServing(event)
	case KeyAdded:
		c.added[event.Key] = at
	case KeyRevoked:
		delete(c.added, event.Key)
		c.revoked[event.Key] = at
	case Disturbance:
		c.disturbances.record(at, event)
	case Exited:
		c.addBreach(at, NoUnexpectedExits, nil, event.Node, event.Detail)
	case Sampled:
		c.sample(at, event)
	case Evacuated:
		c.evacuate(at, event)
	case Cooled:
		c.setCold(event)
	}
	return c.newBreaches
}

// Counts returns the number of breaches by promise.
func (c *Checker) Counts() map[Promise]int { return c.counts }

// Breaches returns the first breaches of each promise, up to maxBreachesPerPromise.
func (c *Checker) Breaches() []Breach { return c.breaches }

// RequestCounts returns the number of requests sent, and of those that were answered
// successfully and completely.
func (c *Checker) RequestCounts() (sent, served int) {
	for _, r := range c.requests {
		if r.complete && succeeded(r.status) {
			served++
		}
	}
	return len(c.requests), served
}

func (c *Checker) addBreach(at time.Time, promise Promise, related *request, node, detail string) {
	c.counts[promise]++
	if c.counts[promise] > maxBreachesPerPromise {
		return
	}
	breach := Breach{At: at, Promise: promise, Node: node, Detail: detail}
	if related != nil {
		breach.Request, breach.Node = related.ID, related.Node
	}
	c.breaches = append(c.breaches, breach)
	c.newBreaches = append(c.newBreaches, breach)
}

func (c *Checker) send(at time.Time, event Sent) {
	sent := &request{Sent: event, at: at, faultFree: c.disturbances.faultFree(at, c.config.Recovery)}
	c.requests[event.ID] = sent
	sent.comparable = c.comparesOutcome(sent)
	if event.Program == "" {
		return
	}
	prog := c.programs[event.Program]
	if prog == nil {
		prog = &program{}
		c.programs[event.Program] = prog
	}
	prog.turns = append(prog.turns, sent)
}

func (c *Checker) run(at time.Time, event Ran) {
	ran := c.requests[event.ID]
	if ran == nil {
		c.addBreach(at, KnownRequests, nil, "", fmt.Sprintf("replica %s ran %q, which nobody sent", event.Replica, event.ID))
		return
	}
	ran.runs++
	ran.replicas = append(ran.replicas, event.Replica)
	if ran.runs > 1 && !ran.Repeatable {
		c.addBreach(at, AtMostOnce, ran, "", fmt.Sprintf("run %d, on %v", ran.runs, ran.replicas))
	}
	if ran.answered && meansNotRun(ran.status) {
		c.addBreach(at, TrueRefusals, ran, "", fmt.Sprintf("answered %d, and ran afterwards on %s", ran.status, event.Replica))
	}
	if event.Tenant != ran.Tenant {
		c.addBreach(at, TenantIsolation, ran, "", fmt.Sprintf("sent by tenant %q, ran as one of %q", ran.Tenant, event.Tenant))
	}
	if len(event.Forged) > 0 {
		c.addBreach(at, ReservedFields, ran, "", fmt.Sprintf("%s got the client's %v", event.Replica, event.Forged))
	}
	c.checkEnds(at, ran, event)
	c.checkKey(at, ran)
	c.checkChain(at, ran, event.Body)
	c.checkPlace(at, ran, event)
	c.checkRates(at, ran, event)
}

// checkKey checks that a request sent later than RevokeBound after the revocation of its key
// does not run.
func (c *Checker) checkKey(at time.Time, ran *request) {
	since, revoked := c.revoked[ran.Key]
	if revoked && ran.at.After(since.Add(c.config.RevokeBound)) {
		c.addBreach(at, RevokedKeys, ran, "", fmt.Sprintf("key %q was taken away %s before the request was sent", ran.Key, ran.at.Sub(since)))
	}
}

// checkChain checks that a replica receives the inputs and outputs of the previous turns of
// the same tenant, followed by the new input.
func (c *Checker) checkChain(at time.Time, ran *request, body string) {
	if ran.Previous != "" {
		previous := c.requests[ran.Previous]
		if previous == nil {
			c.addBreach(at, Chain, ran, "", fmt.Sprintf("goes on from %q, which is no turn, and ran", ran.Previous))
			return
		}
		if previous.Tenant != ran.Tenant {
			c.addBreach(at, TenantIsolation, ran, "", fmt.Sprintf("tenant %q goes on from turn %s of %q, and it ran", ran.Tenant, previous.ID, previous.Tenant))
			return
		}
	}
	var want string
	for _, version := range c.writersOf(ran.Previous) {
		if want = c.chainBefore(ran, version) + ran.Body; body == want {
			return
		}
	}
	c.addBreach(at, Chain, ran, "", fmt.Sprintf("a replica got %q, want %q", shorten(body), shorten(want)))
}

// writersOf returns the versions that may have written the output of a turn: the one that its
// client saw, or any if it saw no event, because the answer broke off or is a 502 or 504, which do
// not tell whether the turn ran. A node may keep a whole turn that it could not answer in time.
func (c *Checker) writersOf(turn string) []string {
	written := c.requests[turn]
	if written == nil || len(written.streamVersions) > 0 {
		return []string{written.version()}
	}
	if written.complete && written.status != statusBadGateway && written.status != statusGatewayTimeout {
		return []string{""}
	}
	return c.allVersions
}

// chainBefore returns the inputs and outputs of all previous turns in the chain of a turn, the
// last of which a replica of the given version wrote.
func (c *Checker) chainBefore(turn *request, version string) string {
	previous := c.requests[turn.Previous]
	if turn.Previous == "" || previous == nil {
		return ""
	}
	var text strings.Builder
	text.WriteString(c.chainBefore(previous, c.writersOf(previous.Previous)[0]))
	text.WriteString(previous.Body)
	for event := 1; event <= previous.Events; event++ {
		text.WriteString(EventData(previous.ID, version, event) + "\n")
	}
	return text.String()
}

// version returns the version that wrote the events of the stream, or "" if they name none.
func (r *request) version() string {
	if r == nil || len(r.streamVersions) == 0 {
		return ""
	}
	return r.streamVersions[0]
}

// EventData returns the expected data of the numbered event in the answer to a request that a
// replica of the version wrote; with "" events name no version.
func EventData(id, version string, event int) string {
	if version != "" {
		id += versionSeparator + version
	}
	return fmt.Sprintf("%s-%d", id, event)
}

// completeStream returns the complete answer to a request for the events that follow the one
// numbered after, up to the one numbered events.
func completeStream(id, version string, after, events int) string {
	var text strings.Builder
	for event := after + 1; event <= events; event++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", event, EventData(id, version, event))
	}
	return text.String()
}

// maxShownBytes bounds the part of a body that a breach shows.
const maxShownBytes = 120

func shorten(text string) string {
	if len(text) <= maxShownBytes {
		return text
	}
	return text[:maxShownBytes] + "..."
}

func succeeded(status int) bool { return status >= 200 && status < 300 }

// meansNotRun reports whether a status guarantees that the request did not run.
func meansNotRun(status int) bool {
	return slices.Contains([]int{401, 402, 404, 408, 421, 429, 503}, status)
}
