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

// In a large fleet most nodes follow the replicas and the configuration through others,
// by reads that wait for a change. Each holds the part of the replicas that is its
// group's; sources and readers hold all.
const (
	pathReplicas = "/peer/replicas"
	// relayWait is how long an answer that brings no change is held for a follower, and
	// sourceWait for a reader, whose followers count the age of its list on top.
	relayWait  = 700 * time.Millisecond
	sourceWait = 200 * time.Millisecond
	// relaySlack is how much later such an answer may come.
	relaySlack = 300 * time.Millisecond
	// firstPatience is how much later a first answer may come, which holds all of a
	// part: a reader with a slow link sends those of a hundred followers in that time.
	firstAnswerTimeout = 8 * time.Second
	// gatherChanges is how long a reader waits for further changes after one, so that
	// many that come close together cost its followers one answer.
	changeBatchWindow = 100 * time.Millisecond
	// relayAge is the age of a list from which on another reader is looked for: three
	// times what a source and a reader add to it as a rule, half a second.
	maximumListAge = 1500 * time.Millisecond
	// storeTurn is how long a node follows the store that no reader serves.
	directReadPeriod = 1500 * time.Millisecond
	// strandedAfter is how long a follower looks for a reader until it reads the store
	// itself: all followers at once would take the store's whole capacity, and their
	// readers are ranked anew sooner.
	followerFallbackDelay = 8 * time.Second
	// readerStrandedAfter is the same for the few readers: a source that starts has read
	// the whole list in that time.
	readerFallbackDelay = time.Second
	// maximumRelayWait bounds the wait that another node may ask for.
	maximumRelayWait = 5 * time.Second
	// readerPauseFirst and readerPauseMost space the questions while no reader serves.
	readerMinimumBackoff = 50 * time.Millisecond
	readerMaximumBackoff = time.Second
)

// relayAnswer is a reader's answer: the changes since the number that was asked
// for, or the whole list.
type relayAnswer struct {
	// Life names the reader's process; numbers of another one mean nothing.
	ReaderIncarnation uint64 `json:"life"`
	// Next is the number to ask for next.
	Next  uint64 `json:"next"`
	Whole bool   `json:"whole,omitempty"`
	// Partial says that the reader has not read all of the list yet: what it lacks may
	// be there.
	Partial bool             `json:"partial,omitempty"`
	Changes []replica.Change `json:"changes,omitempty"`
	// AgeMS is how long ago the reader's list was that of the store, in
	// milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Total is how many replicas the store lists.
	Total int `json:"total,omitempty"`
	// Configuration is the newest that the reader has, where the follower's is older.
	Configuration *rawConfiguration `json:"configuration,omitempty"`
	// Proven says that the configuration was proven to be the newest, ProofAgeMS
	// milliseconds before this answer.
	Proven     bool  `json:"proven,omitempty"`
	ProofAgeMS int64 `json:"proof_age_ms,omitempty"`
	// Evacuations is what the reader knows of evacuated zones.
	Evacuations *evacuation.Snapshot `json:"evacuations,omitempty"`
}

func (a *relayAnswer) age() time.Duration { return time.Duration(a.AgeMS) * time.Millisecond }

// relayQuestion is what a follower asks a reader.
type relayRequest struct {
	// life and since are where the follower stands; life 0 asks for the whole list.
	incarnation, since uint64
	wait               time.Duration
	// part says that the follower is of a group, and holds its part alone.
	part  bool
	group replica.Group
	// version is that of the follower's configuration, and evacuations that of what it
	// knows of evacuated zones.
	version, evacuations uint64
	// takesPartial says that the follower tells a list that is not read whole from one that
	// is. Nodes of an earlier version do not.
	takesPartial bool
	// ageOnly asks for nothing but the age and the length of the list.
	ageOnly bool
}

func (q *relayRequest) path() string {
	query := url.Values{
		"life": {strconv.FormatUint(q.incarnation, 10)}, "since": {strconv.FormatUint(q.since, 10)},
		"wait": {strconv.FormatInt(q.wait.Milliseconds(), 10)}, "version": {strconv.FormatUint(q.version, 10)},
		"evacuations": {strconv.FormatUint(q.evacuations, 10)}, "partial": {"taken"},
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

// parseRelayQuestion reads a question. A node of an earlier version asks without a
// group, and gets all replicas; it names no configuration, and waits for none.
func parseRelayRequest(query *fasthttp.Args) (relayRequest, error) {
	var q relayRequest
	var lifeErr, sinceErr, waitErr, groupErr error
	q.incarnation, lifeErr = strconv.ParseUint(string(query.Peek("life")), 10, 64)
	q.since, sinceErr = strconv.ParseUint(string(query.Peek("since")), 10, 64)
	milliseconds, waitErr := query.GetUint("wait")
	q.wait = min(time.Duration(milliseconds)*time.Millisecond, maximumRelayWait)
	if q.part = query.Has("zone"); q.part {
		q.group.Zone = string(query.Peek("zone"))
		q.group.Number, groupErr = query.GetUint("group")
	}
	q.version, q.evacuations = math.MaxUint64, math.MaxUint64
	if query.Has("version") {
		q.version = uint64(query.GetUintOrZero("version"))
		q.evacuations = uint64(query.GetUintOrZero("evacuations"))
	}
	q.ageOnly, q.takesPartial = query.Has("age"), query.Has("partial")
	return q, errors.Join(lifeErr, sinceErr, waitErr, groupErr)
}

// receiveReplicas answers a node that follows this one. A node that has not read the list
// itself has none to pass on.
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
	own := node.self.Incarnation
	known := request.incarnation == own
	if request.ageOnly {
		writeJSON(ctx, relayAnswer{ReaderIncarnation: own, AgeMS: node.listAge().Milliseconds(), Total: node.replicas.total()})
		return
	}
	if known {
		node.awaitChanges(&request)
	}
	answer := relayAnswer{ReaderIncarnation: own, Partial: partial}
	// The age and the proof go first: what is read after them is no older.
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
	answer.Changes, answer.Next, answer.Whole = node.replicas.since(&request, known)
	answer.Total = node.replicas.total()
	writeJSON(ctx, answer)
}

// partialLeast is how many replicas a reader passes on at the least before it has read all:
// fewer would get the requests of all nodes.
const minimumPartialReplicas = 256

// mayServePart reports whether this node, which has not read the whole list, passes on what
// it has: a source or reader that reads it. A follower holds its own part for good.
func (n *Node) mayServePart() bool {
	reads := n.role() == roleSource || n.role() == roleReader
	return reads && n.replicas.count() >= minimumPartialReplicas
}

// awaitRelay waits until there is news for a follower, or its time is up.
func (n *Node) awaitChanges(request *relayRequest) {
	until := time.Now().Add(request.wait)
	for request.version >= n.configVersion() && request.evacuations >= n.evacuations.version() {
		left := time.Until(until)
		if left <= 0 || n.ctx.Err() != nil || n.replicas.await(n.ctx, request, left) {
			return
		}
	}
}
