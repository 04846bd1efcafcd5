package edge

import (
	"slices"
	"strings"

	"birchwood.example/birchwood/findings"
)

// Mechanism names a part of a node's decision making that can be switched off, to measure
// its effect.
type Mechanism string

// The mechanisms. All are on unless listed in Settings.Disabled.
const (
	// AskPeersForNodes makes a starting node query known peers for the list of nodes,
	// besides reading it from the store.
	AskPeersForNodes Mechanism = "ask-for-list"
	// AskForTurns has a new owner ask all nodes for the turns of its predecessors.
	AskForTurns Mechanism = "ask-for-turns"
	// EstimateSharedPrompts estimates which prompt parts that many programs share are in
	// the engines' caches because of requests from other nodes.
	EstimateSharedPrompts Mechanism = "assume-shared"
	// AwaitLateAppends accepts the answer of an append even after the append was sent
	// again.
	AwaitLateAppends Mechanism = "await-late-appends"
	// BeginAfterFailure extends BeginUnrecorded to an owner whose predecessor failed.
	BeginAfterFailure Mechanism = "begin-again"
	// BeginUnrecorded lets programs begin before their first mark is in the store.
	BeginUnrecorded Mechanism = "begin-unrecorded"
	// ReportCachedTokens makes the owner report how many tokens of a session its last
	// replica has cached.
	ReportCachedTokens Mechanism = "count-kept"
	// CountPeerLoads includes the requests of other nodes in the loads of replicas.
	CountPeerLoads Mechanism = "count-peers"
	// CountCentrally makes one node count a tenant's requests for the whole fleet; without
	// it, each node enforces its own part of the limit.
	CountCentrally Mechanism = "count-together"
	// DeferRemovals keeps replicas for a while that are missing in the store after an
	// outage.
	DeferRemovals Mechanism = "doubt-unlisted"
	// EstimateLoads estimates the requests of nodes whose loads were not received recently.
	EstimateLoads Mechanism = "estimate-loads"
	// PreferStartedPrograms prefers started programs to new ones at a tenant's limit.
	PreferStartedPrograms Mechanism = "finish-programs"
	// KeepSessions prefers the replica that served a session's last turn.
	KeepSessions Mechanism = "follow-lines"
	// FollowOwner makes a turn that waits for the log continue with the partition's new
	// owner as soon as one is known.
	FollowOwner Mechanism = "follow-owner"
	// TrackCachedPrompts estimates which prompt parts are in the cache of each engine.
	TrackCachedPrompts Mechanism = "follow-prompts"
	// FollowReaders makes most nodes of a large fleet get the replicas from other nodes.
	FollowReaders Mechanism = "follow-readers"
	// GatherLoads makes collectors gather the requests in progress of all nodes in a large
	// fleet.
	GatherLoads Mechanism = "gather-loads"
	// GrantTurnAfterFailure grants one turn beyond a budget that was used up by the mark of
	// a failed owner.
	GrantTurnAfterFailure Mechanism = "grant-turn-after-loss"
	// HandOver makes a partition's owner release it in an orderly handover.
	HandOver Mechanism = "hand-over"
	// HoldUntilStored holds an answer until its turn is stored, if the log accepted no
	// records when the turn was admitted.
	HoldUntilStored Mechanism = "hold-back"
	// StoreInOtherPartition stores a turn in another partition if the log accepts no
	// records of its program's partition.
	StoreInOtherPartition Mechanism = "keep-aside"
	// EnforceLimits enforces the rate limits of tenants.
	EnforceLimits Mechanism = "keep-quotas"
	// LeaseKeys accepts keys only while this node has a recent freshness proof for them.
	LeaseKeys Mechanism = "lease-keys"
	// LimitColdReplicas limits the rate of requests from all nodes together to a cold
	// replica.
	LimitColdReplicas Mechanism = "limit-cold"
	// MarkAhead raises marks beyond what a program needs at once.
	MarkAhead Mechanism = "mark-ahead"
	// OrderBySlack makes full engines first serve the programs with the least slack, within
	// their priority.
	OrderBySlack Mechanism = "order-by-slack"
	// DetectIsolationEarly treats a node that receives nothing from other zones as isolated
	// once its calls to the store have failed for some time, before the store counts as
	// unreachable.
	DetectIsolationEarly Mechanism = "notice-cuts"
	// PreferConnections prefers replicas to which there is an idle connection.
	PreferConnections Mechanism = "prefer-connections"
	// PreferRegion prefers replicas in the node's own region.
	PreferRegion Mechanism = "prefer-region"
	// PreferZone prefers replicas in the node's own zone.
	PreferZone Mechanism = "prefer-zone"
	// ShareProofs accepts freshness proofs of the configuration from peers, and makes the
	// readers of each zone read it often.
	ShareProofs Mechanism = "prove-peers"
	// ReadAccountsFirst reads a takeover's pages with accounts without waiting for other
	// takeovers' pages of stored turns.
	ReadAccountsFirst Mechanism = "read-accounts-first"
	// QuarantineRequests stops sending a request on after replicas ended under it.
	QuarantineRequests Mechanism = "quarantine-requests"
	// RankRetriesLast starts programs that arrive for the first time before retrying ones
	// at a tenant's limit.
	RankRetriesLast Mechanism = "rank-programs"
	// CacheChains caches the chains of turns that this node served, so that the owner need
	// not send them when their sessions continue here.
	CacheChains Mechanism = "recall-chains"
	// RedirectCharges makes a charge follow a redirect to the counting node in the view of
	// the node that was called, because that view may be newer.
	RedirectCharges Mechanism = "redirect-charges"
	// RefuseWhenFull makes new programs wait while all replicas are full.
	RefuseWhenFull Mechanism = "refuse-when-full"
	// AvoidFaultyReplicas avoids replicas that returned errors or did not answer.
	AvoidFaultyReplicas Mechanism = "remember-faults"
	// RecordReplica names the replica that served a turn in the turn's record, so that the
	// session continues there even at a new owner.
	RecordReplica Mechanism = "remember-replicas"
	// RepeatWithCapacity repeats late calls only if a replica has capacity and an answer
	// can arrive in time.
	RepeatWithCapacity Mechanism = "repeat-into-room"
	// RepeatLateCalls repeats a call that may run more than once when its answer is late.
	RepeatLateCalls Mechanism = "repeat-late-calls"
	// ReportFormerState has an owner that lost a partition pass its final state on to the
	// new owner.
	ReportFormerState Mechanism = "report-former-state"
	// SpreadRetries spreads the retry times of callers that are refused together, in the
	// order in which they should be served.
	SpreadRetries Mechanism = "spread-returns"
	// ShareByTenant divides the capacity of the replicas among tenants while it is short.
	ShareByTenant Mechanism = "share-by-tenant"
	// AvoidUnresponsiveReplicas skips replicas that failed to answer.
	AvoidUnresponsiveReplicas Mechanism = "suspect-silent"
	// QueueNewPrograms queues new programs at their node while the replicas are full;
	// without it they are refused at once.
	QueueNewPrograms Mechanism = "wait-for-room"
	// WeighTokenTimes includes the replicas' token times in the placement of turns.
	WeighTokenTimes Mechanism = "weigh-pace"
	// WeighSlack includes the slack of the programs in the placement of turns.
	WeighSlack Mechanism = "weigh-slack"
)

// Mechanisms returns all mechanisms, ordered by their strings.
func Mechanisms() []Mechanism {
	return []Mechanism{
		AskPeersForNodes,
		AskForTurns,
		EstimateSharedPrompts,
		AwaitLateAppends,
		BeginAfterFailure,
		BeginUnrecorded,
		ReportCachedTokens,
		CountPeerLoads,
		CountCentrally,
		DeferRemovals,
		EstimateLoads,
		PreferStartedPrograms,
		KeepSessions,
		FollowOwner,
		TrackCachedPrompts,
		FollowReaders,
		GatherLoads,
		GrantTurnAfterFailure,
		HandOver,
		HoldUntilStored,
		StoreInOtherPartition,
		EnforceLimits,
		LeaseKeys,
		LimitColdReplicas,
		MarkAhead,
		DetectIsolationEarly,
		OrderBySlack,
		PreferConnections,
		PreferRegion,
		PreferZone,
		ShareProofs,
		QuarantineRequests,
		RankRetriesLast,
		ReadAccountsFirst,
		CacheChains,
		RedirectCharges,
		RefuseWhenFull,
		AvoidFaultyReplicas,
		RecordReplica,
		RepeatWithCapacity,
		RepeatLateCalls,
		ReportFormerState,
		ShareByTenant,
		SpreadRetries,
		AvoidUnresponsiveReplicas,
		QueueNewPrograms,
		WeighTokenTimes,
		WeighSlack,
	}
}

// ParseMechanisms parses a comma-separated list of mechanisms, or returns all findings
// about it.
func ParseMechanisms(place, list string) ([]Mechanism, error) {
	if list == "" {
		return nil, nil
	}
	found := findings.Of(place)
	all := Mechanisms()
	var parsed []Mechanism
	for name := range strings.SplitSeq(list, ",") {
		mechanism := Mechanism(strings.TrimSpace(name))
		found.Require(slices.Contains(all, mechanism), string(mechanism), "no such mechanism, want one of %v", all)
		parsed = append(parsed, mechanism)
	}
	return parsed, found.Err()
}

// uses reports whether a mechanism is switched on.
func (s *Settings) uses(mechanism Mechanism) bool { return !slices.Contains(s.Disabled, mechanism) }
