package promise

import "time"

// Event is something that was seen from outside the nodes.
type Event interface{ event() }

// Sent says that a client sends a request.
type Sent struct {
	// ID is the request's own; each attempt has another.
	ID string
	// Node is the node that it goes to, and Life counts that node's processes.
	Node        string
	Incarnation int
	// Tenant is the one that the key belongs to.
	Tenant string
	Key    string
	Route  string
	// Repeats says that it may run more than once.
	Repeatable bool
	// Events is how many events a whole answer has; 0 for a plain body.
	Events int
	// Program, Session, Previous, Budget and Most are those of a turn; Kept says that the
	// nodes keep it.
	Program   string
	Session   string
	Previous  string
	Stored    bool
	Budget    int
	MaxTokens int
	Body      string
	// Proper says that it has to be served while nothing is disturbed.
	MustServe bool
}

// Answered says how a request ended for its client.
type Answered struct {
	ID string
	// Status is 0 where no answer came.
	Status int
	Body   string
	// Whole is false for an answer that broke off.
	Whole bool
}

// Ran says that a replica began to work on a request.
type Ran struct {
	ID      string
	Replica string
	Zone    string
	Tenant  string
	Body    string
	// Forged are the client's fields in it that clients may not set at a replica.
	Forged []string
}

// Drained says that the store took a replica's word that it leaves.
type Drained struct{ Replica string }

// KeyAdded and KeyRevoked say that the store took a configuration with the change.
type (
	KeyAdded   struct{ Key string }
	KeyRevoked struct{ Key string }
)

// Disturbed says that a disturbance begins or ends. Scope is a node or a replica, or
// Everything.
type Disturbance struct {
	Scope string
	Begin bool
}

// Everything is the scope of a disturbance that all nodes feel.
const AllNodes = ""

// Exited says that a process ended that nobody ended.
type Exited struct {
	Node   string
	Detail string
}

// Sampled is what a node's process takes of the machine.
type Sampled struct {
	Node        string
	Incarnation int
	MemoryBytes int64
	Descriptors int
}

// Evacuated says that the store took the order to send nothing to a zone, or that the
// zone is taken back.
type Evacuated struct {
	Zone  string
	Ended bool
}

// Cooled says that a replica is cold and bears a rate of requests a second, or that
// it is warm again.
type Cooled struct {
	Replica string
	Rate    float64
	Warm    bool
}

func (Sent) event()        {}
func (Answered) event()    {}
func (Ran) event()         {}
func (Drained) event()     {}
func (KeyAdded) event()    {}
func (KeyRevoked) event()  {}
func (Disturbance) event() {}
func (Exited) event()      {}
func (Sampled) event()     {}
func (Evacuated) event()   {}
func (Cooled) event()      {}

// Promise names what nodes promise.
type Promise string

// The promises.
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
	KnownRequests     Promise = "a replica runs only what a client sent"
)

// Breach is one broken promise.
type Breach struct {
	At      time.Time
	Promise Promise
	Request string
	Node    string
	Detail  string
}

// Limit is a tenant's limit.
type Limit struct {
	Rate  float64
	Burst float64
}

// Config holds the bounds of the promises.
type Config struct {
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int
	// Contact is how long nothing may have disturbed a node for it to be in touch.
	FaultFree time.Duration
	// Recovery is how long after the last disturbance programs are served again.
	Recovery time.Duration
	// Settle is how long after its end a turn counts with what it used.
	Settle time.Duration
	// Retention is how long kept turns are found.
	Retention time.Duration
	// DrainBound, RevokeBound, ApplyBound and EvacuationBound run from the store's
	// word.
	DrainBound      time.Duration
	RevokeBound     time.Duration
	ApplyBound      time.Duration
	EvacuationBound time.Duration
	// Limits are those of the tenants that have one; QuotaWindow, QuotaOverrun and
	// QuotaSlack tell how they are judged.
	Limits       map[string]Limit
	QuotaWindow  time.Duration
	QuotaOverrun float64
	QuotaSlack   float64
	// ColdOverrun and ColdSlack tell how the rates of cold replicas are judged.
	ColdOverrun float64
	ColdSlack   float64
	// Homes are the regions of routes that have any, and Regions those of zones.
	RouteRegions map[string][]string
	ZoneRegions  map[string]string
	// MemoryBytes and Descriptors bound what one process takes.
	MemoryBytes int64
	Descriptors int
}
