package edge

import (
	"errors"
	"math"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/evacuation"
	"birchwood.example/birchwood/replica"
)

// In a large fleet most nodes follow the replicas and the configuration through others, by
// long polling. A follower holds the part of the replicas that is assigned to its group;
// sources and readers hold all.
const (
	pathReplicas = "/peer/replicas"
	// relayWait is the long-poll time of a follower's request, and sourceWait that of a
	// reader's, which adds to the age of the list at its followers.
	relayWait  = 700 * time.Millisecond
	sourceWait = 200 * time.Millisecond
	// relaySlack is added to the long-poll time for the timeout of the call.
	relaySlack = 300 * time.Millisecond
	// firstAnswerTimeout bounds a first answer, which has the whole part: a reader with a
	// slow link can send those of a hundred followers in that time.
	firstAnswerTimeout = 8 * time.Second
	// changeBatchWindow is how long a reader waits for further changes after one, so that
	// its followers get changes that are close together in one answer.
	changeBatchWindow = 100 * time.Millisecond
	// maximumListAge is the age of a list from which on another reader is tried: three
	// times the half a second that a source and a reader typically add.
	maximumListAge = 1500 * time.Millisecond
	// directReadPeriod is how long a node without a reader that answers follows the store
	// before it tries the readers again.
	directReadPeriod = 1500 * time.Millisecond
	// followerFallbackDelay is how long a follower tries readers before it reads the store
	// itself: all followers together would take the store's whole capacity, and failed
	// readers are replaced sooner than that.
	followerFallbackDelay = 8 * time.Second
	// readerFallbackDelay is the same for readers, of which there are few: a starting
	// source has read the whole list in that time.
	readerFallbackDelay = time.Second
	// maximumRelayWait bounds the long-poll time that another node may request.
	maximumRelayWait = 5 * time.Second
	// readerMinimumBackoff and readerMaximumBackoff space the requests while no reader
	// answers.
	readerMinimumBackoff = 50 * time.Millisecond
	readerMaximumBackoff = time.Second
)

// relayAnswer is a reader's answer: the changes since the requested number, or the whole
// list.
type relayAnswer struct {
	// ReaderIncarnation identifies the reader's process. The numbers of another process are
	// not comparable.
	ReaderIncarnation uint64 `json:"life"`
	// Next is the number for the next request.
	Next  uint64 `json:"next"`
	Whole bool   `json:"whole,omitempty"`
	// Partial is set while the reader has not read the whole list yet, so that replicas
	// that are missing here may exist.
	Partial bool             `json:"partial,omitempty"`
	Changes []replica.Change `json:"changes,omitempty"`
	// AgeMS is how long ago the reader's list was equal to that of the store, in
	// milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Position is the offset in the stream of replicas up to which the reader's list is known to
	// reflect the store's; 0 if unknown.
	Position uint64 `json:"position,omitempty"`
	// Older is set in place of a whole list that is older than the follower's.
	Older bool `json:"older,omitempty"`
	// Total is the number of replicas that the store lists.
	Total int `json:"total,omitempty"`
	// Configuration is the reader's newest configuration, if the follower's is older.
	Configuration *rawConfiguration `json:"configuration,omitempty"`
	// Proven is set if the configuration was proven to be the newest, ProofAgeMS
	// milliseconds before this answer.
	Proven     bool  `json:"proven,omitempty"`
	ProofAgeMS int64 `json:"proof_age_ms,omitempty"`
	// Evacuations are the evacuated zones in the reader's view.
	Evacuations *evacuation.Snapshot `json:"evacuations,omitempty"`
}

func (a *relayAnswer) age() time.Duration { return time.Duration(a.AgeMS) * time.Millisecond }

// relayRequest is a follower's request to a reader.
type relayRequest struct {
	// incarnation and since are the follower's position in the reader's changes;
	// incarnation 0 requests the whole list.
	incarnation, since uint64
	wait               time.Duration
	// part is set if the follower holds only the part of its group.
	part  bool
	group replica.Group
	// version is the version of the follower's configuration, and evacuations that of its
	// evacuated zones.
	version, evacuations uint64
	// position is the position of the follower's list; 0 if unknown. A reader sends no older
	// list.
	position uint64
	// takesPartial is set if the follower distinguishes an incomplete list from a complete
	// one. Nodes of an earlier version do not.
	takesPartial bool
	// ageOnly requests only the age and the length of the list.
	ageOnly bool
}

func (q *relayRequest) path() string {
	query := url.Values{
		"life": {strconv.FormatUint(q.incarnation, 10)}, "since": {strconv.FormatUint(q.since, 10)},
		"wait": {strconv.FormatInt(q.wait.Milliseconds(), 10)}, "version": {strconv.FormatUint(q.version, 10)},
		"evacuations": {strconv.FormatUint(q.evacuations, 10)}, "partial": {"taken"},
		"position": {strconv.FormatUint(q.position, 10)},
	}
	if q.part {
		query.Set("zone", q.group.Zone)
		query.Set("group", strconv.Itoa(q.group.Number))
	}
	if q.ageOnly {
		query.Set("age", "only")
	}
	return pathReplicas + "?" + query.Encode()
}

// parseRelayRequest parses a request. A node of an earlier version sends no group, and gets
// all replicas; it sends no version of its configuration, and neither gets one nor waits
// for one.
func parseRelayRequest(query *fasthttp.Args) (relayRequest, error) {
	var q relayRequest
	var incarnationErr, sinceErr, waitErr, groupErr, positionErr error
	q.incarnation, incarnationErr = strconv.ParseUint(string(query.Peek("life")), 10, 64)
	q.since, sinceErr = strconv.ParseUint(string(query.Peek("since")), 10, 64)
	milliseconds, waitErr := query.GetUint("wait")
	q.wait = min(time.Duration(milliseconds)*time.Millisecond, maximumRelayWait)
	if q.part = query.Has("zone"); q.part {
		q.group.Zone = string(query.Peek("zone"))
		q.group.Number, groupErr = query.GetUint("group")
	}
	if query.Has("position") {
		q.position, positionErr = strconv.ParseUint(string(query.Peek("position")), 10, 64)
	}
	q.version, q.evacuations = math.MaxUint64, math.MaxUint64
	if query.Has("version") {
		q.version = uint64(query.GetUintOrZero("version"))
		q.evacuations = uint64(query.GetUintOrZero("evacuations"))
	}
	q.ageOnly, q.takesPartial = query.Has("age"), query.Has("partial")
	return q, errors.Join(incarnationErr, sinceErr, waitErr, groupErr, positionErr)
}

// receiveReplicas answers a node that follows this one. A node that has not read the list
// itself refuses.
func (p *peers) receiveReplicas(ctx *fasthttp.RequestCtx) {
	request, err := parseRelayRequest(ctx.QueryArgs())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	node := p.node
	partial := !node.holdsAllReplicas.Load()
	if partial && (request.ageOnly || !request.takesPartial || !node.mayServePart()) {
		ctx.Error("the whole list of replicas was not read here", fasthttp.StatusServiceUnavailable)
		return
	}
	ownIncarnation := node.self.Incarnation
	known := request.incarnation == ownIncarnation
	if request.ageOnly {
		writeJSON(ctx, relayAnswer{ReaderIncarnation: ownIncarnation, AgeMS: node.listAge().Milliseconds(), Total: node.replicas.total()})
		return
	}
	if known {
		node.awaitChanges(&request)
	}
	answer := relayAnswer{ReaderIncarnation: ownIncarnation, Partial: partial}
	// The age, the position and the proof are read first: what is read after them is at least
	// as new.
	age, proven := node.freshnessProof.age(time.Now())
	answer.Proven, answer.ProofAgeMS = proven, age.Milliseconds()+1
	answer.AgeMS = node.listAge().Milliseconds()
	if request.version < node.configVersion() {
		answer.Configuration = node.config.newest()
	}
	if request.evacuations < node.evacuations.version() {
		snapshot := node.evacuations.snapshot(time.Now())
		answer.Evacuations = &snapshot
	}
	if !partial {
		answer.Position = node.listPosition.current()
	}
	answer.Changes, answer.Next, answer.Whole = node.replicas.since(&request, known)
	if answer.Whole && answer.Position > 0 && answer.Position < request.position {
		answer.Older, answer.Whole, answer.Changes = true, false, nil
	}
	answer.Total = node.replicas.total()
	writeJSON(ctx, answer)
}

// minimumPartialReplicas is the minimum number of replicas that a reader passes on before
// it has read all of them: fewer would get the requests of all nodes.
const minimumPartialReplicas = 256

// mayServePart reports whether this node may pass on an incomplete list: a source or reader
// that is still reading it may. A follower never holds more than its own part.
func (n *Node) mayServePart() bool {
	reads := n.role() == roleSource || n.role() == roleReader
	return reads && n.replicas.count() >= minimumPartialReplicas
}

// awaitChanges waits until there are changes for a follower or its long-poll time is over.
func (n *Node) awaitChanges(request *relayRequest) {
	until := time.Now().Add(request.wait)
	for request.version >= n.configVersion() && request.evacuations >= n.evacuations.version() {
		left := time.Until(until)
		if left <= 0 || n.ctx.Err() != nil || n.replicas.await(n.ctx, request, left) {
			return
		}
	}
}
