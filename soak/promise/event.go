package promise

import "time"

// Event is something observed from outside the nodes.
type Event interface{ event() }

// Sent records that a client sends a request.
type Sent struct {
	// ID is unique to the request. Each attempt has its own.
	ID string
	// Node is the node that receives it, and Incarnation numbers that node's processes.
	Node        string
	Incarnation int
	// Tenant is the tenant that Key belongs to.
	Tenant string
	Key    string
	Route  string
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Events is the number of events of a complete answer, or 0 for a plain body.
	Events int
	// Program, Session, Previous, Budget and MaxTokens are those of a turn; the last two are
	// in tokens. Stored is set if the nodes store the turn.
	Program   string
	Session   string
	Previous  string
	Stored    bool
	Budget    int
	MaxTokens int
	Body      string
	// Resumes is the request that brought the first event of the stream that this one resumes,
	// and After the number of events that the client has received; "" and 0 for a new stream.
	Resumes string
	After   int
	// LeaveAfter is the number of events after which the client closes the connection; 0 if it
	// reads the whole answer.
	LeaveAfter int
	// Lethal is common to all tries of a request that ends every replica that runs it; "" for
	// other requests.
	Lethal string
	// MustServe is set if the request has to be served in fault-free periods.
	MustServe bool
}

// Answered records how a request ended for its client.
type Answered struct {
	ID string
	// Status is the HTTP status, or 0 if no answer was received.
	Status int
	Body   string
	// Complete is false if the answer broke off.
	Complete bool
}

// Ran records that a replica started to run a request.
type Ran struct {
	ID      string
	Replica string
	Zone    string
	Tenant  string
	Body    string
	// Forged lists the header fields set by the client that must not reach a replica from a
	// client.
	Forged []string
}

// ReplicaEnded records that a replica ended under a request.
type ReplicaEnded struct {
	Replica string
	ID      string
}

// Drained records that the store accepted a replica's entry as draining.
type Drained struct{ Replica string }

// Serving records that the store lists a replica of a software version as ready, or with Ended
// that it no longer does.
type Serving struct {
	Replica string
	Version string
	Ended   bool
}

// KeyAdded and KeyRevoked record that the store accepted a configuration with the change.
type (
	KeyAdded   struct{ Key string }
	KeyRevoked struct{ Key string }
)

// Disturbance records the beginning or the end of a disturbance. Scope is a node, a replica
// or AllNodes.
type Disturbance struct {
	Scope string
	Begin bool
}

// AllNodes is the scope of a disturbance that affects all nodes.
const AllNodes = ""

// Exited records that a process exited unexpectedly.
type Exited struct {
	Node   string
	Detail string
}

// Sampled records the resource usage of a node's process.
type Sampled struct {
	Node        string
	Incarnation int
	MemoryBytes int64
	Descriptors int
}

// Evacuated records that the store accepted the order to evacuate a zone, or with Ended the
// order to end the evacuation.
type Evacuated struct {
	Zone  string
	Ended bool
}

// Cooled records that a replica is cold and can take Rate requests per second, or with Warm
// that it is warm again.
type Cooled struct {
	Replica string
	Rate    float64
	Warm    bool
}

func (Sent) event()         {}
func (Answered) event()     {}
func (Ran) event()          {}
func (ReplicaEnded) event() {}
func (Drained) event()      {}
func (Serving) event()      {}
func (KeyAdded) event()     {}
func (KeyRevoked) event()   {}
func (Disturbance) event()  {}
func (Exited) event()       {}
func (Sampled) event()      {}
func (Evacuated) event()    {}
func (Cooled) event()       {}

// Promise names a guarantee of the nodes. Reports show it.
type Promise string

const (
	WholeAnswers      Promise = "answers are whole and in order"
	AtMostOnce        Promise = "what may not repeat runs at most once"
	TrueRefusals      Promise = "what is refused as not run did not run"
	Budget            Promise = "a program gets its budget and one turn at most"
	NoEarlyEnd        Promise = "no program is ended while its budget holds a turn"
	Quota             Promise = "a tenant's limit holds in every window"
	RevokedKeys       Promise = "a key that was taken away runs nothing past its bound"
	ValidKeys         Promise = "a valid key is known"
	TenantIsolation   Promise = "a tenant reads nothing of another's"
	StoredTurns       Promise = "a kept turn is found"
	Chain             Promise = "a replica gets the chain's inputs and outputs"
	Draining          Promise = "a leaving replica gets nothing past its bound"
	NoConfigRollback  Promise = "a configuration never goes back"
	ServedAgain       Promise = "programs are served again after a fault"
	NoUnexpectedExits Promise = "no process ends of its own"
	NoGrowth          Promise = "memory and descriptors do not grow without end"
	Evacuation        Promise = "an evacuated zone gets nothing past its bound"
	ColdRate          Promise = "a cold replica gets no more than it bears"
	RouteRegions      Promise = "requests stay in the regions of their route"
	ReservedFields    Promise = "a replica gets no field that clients may not set"
	OneVersion        Promise = "a stream holds events of one version"
	StreamsResumed    Promise = "streams taken up go on half as often as new ones begin"
	EndsBounded       Promise = "a request under which three replicas ended is sent to no more"
	EndsCostOthers    Promise = "no other request is refused because replicas ended"
	KnownRequests     Promise = "a replica runs only what a client sent"
)

// Breach is one observed violation of a promise.
type Breach struct {
	At      time.Time
	Promise Promise
	Request string
	Node    string
	Detail  string
}

// Limit is a tenant's rate limit, in requests per second, with its burst in requests.
type Limit struct {
	Rate  float64
	Burst float64
}

// Config holds the bounds of the promises.
type Config struct {
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// FaultFree is how long a node and a replica must have been undisturbed before the checks of
	// draining and evacuation apply to them.
	FaultFree time.Duration
	// Recovery is how long after the last disturbance programs must be served again.
	Recovery time.Duration
	// Settle is how long after its end a turn counts with its actual usage instead of its
	// maximum.
	Settle time.Duration
	// Retention is how long a stored turn can be continued.
	Retention time.Duration
	// DrainBound, RevokeBound, ApplyBound and EvacuationBound start when the store accepts the
	// change.
	DrainBound      time.Duration
	RevokeBound     time.Duration
	ApplyBound      time.Duration
	EvacuationBound time.Duration
	// Limits holds the rate limits by tenant. In QuotaWindow, a tenant may exceed its limit by
	// the share QuotaOverrun and by QuotaSlack requests more.
	Limits       map[string]Limit
	QuotaWindow  time.Duration
	QuotaOverrun float64
	QuotaSlack   float64
	// A cold replica may receive ColdOverrun times its rate plus ColdSlack requests in a
	// window.
	ColdOverrun float64
	ColdSlack   float64
	// RouteRegions holds the permitted regions of routes that have a zone constraint, and
	// ZoneRegions the region of each zone.
	RouteRegions map[string][]string
	ZoneRegions  map[string]string
	// MemoryBytes and Descriptors bound the resource usage of one process.
	MemoryBytes int64
	Descriptors int
}
