package edge

import (
	"slices"
	"strings"

	"birchwood.example/birchwood/findings"
)

// Mechanism names a part of how a node decides that can be switched off, so
// that its worth can be measured.
type Mechanism string

// The mechanisms. All are on unless Settings.Without lists them.
const (
	// AskForList has a node that starts ask the nodes that it hears of for the list of
	// nodes, beside what it reads of the store.
	AskForList Mechanism = "ask-for-list"
	// AssumeShared estimates which parts that many programs share other nodes had
	// engines read.
	EstimateSharedPrompts Mechanism = "assume-shared"
	// AwaitLateAppends takes the answer of an append also after it was sent again.
	AwaitLateAppends Mechanism = "await-late-appends"
	// BeginAgain lets programs begin before the store has their first mark also at an
	// owner that followed a lost one.
	BeginAfterFailure Mechanism = "begin-again"
	// BeginUnrecorded lets programs begin before the store has their first mark.
	BeginUnrecorded Mechanism = "begin-unrecorded"
	// CountKept has the owner tell how much of a line of turns its last replica keeps.
	ReportCachedTokens Mechanism = "count-kept"
	// CountPeers counts what other nodes have under way at replicas.
	CountPeerLoads Mechanism = "count-peers"
	// CountTogether has one node count a tenant's requests for the fleet; without it
	// each node counts to its own part of the limit.
	CountCentrally Mechanism = "count-together"
	// DoubtUnlisted keeps replicas that the store lacks after an outage.
	DeferRemovals Mechanism = "doubt-unlisted"
	// EstimateLoads estimates the requests of nodes that were not heard lately.
	EstimateLoads Mechanism = "estimate-loads"
	// FinishPrograms has programs under way go before new ones at a tenant's limit.
	PreferStartedPrograms Mechanism = "finish-programs"
	// FollowLines keeps a line of turns where its last turn was served.
	KeepSessions Mechanism = "follow-lines"
	// FollowOwner has a turn that waits for the log go on with the partition's new owner
	// as soon as one is known.
	FollowOwner Mechanism = "follow-owner"
	// FollowPrompts estimates which parts of prompts each engine keeps.
	TrackCachedPrompts Mechanism = "follow-prompts"
	// FollowReaders has most nodes of a large fleet follow the replicas through
	// others.
	FollowReaders Mechanism = "follow-readers"
	// GatherLoads has collectors gather what the nodes of a large fleet have under way.
	GatherLoads Mechanism = "gather-loads"
	// GrantTurnAfterLoss grants one turn beyond a budget that a lost owner's mark
	// used up.
	GrantTurnAfterFailure Mechanism = "grant-turn-after-loss"
	// HandOver has a partition's owner give it up in order.
	HandOver Mechanism = "hand-over"
	// HoldBack has nothing of an answer go out before its turn is kept, where the log took
	// no records when the turn was admitted.
	HoldBack Mechanism = "hold-back"
	// KeepAside has a turn kept in another partition where the log takes no records of
	// its program's.
	KeepAside Mechanism = "keep-aside"
	// KeepQuotas holds tenants to their limits.
	EnforceLimits Mechanism = "keep-quotas"
	// LeaseKeys honours keys only while what is known of them is proven to be recent.
	LeaseKeys Mechanism = "lease-keys"
	// LimitCold bounds what all nodes together send to a cold replica in a second.
	LimitCold Mechanism = "limit-cold"
	// MarkAhead raises marks beyond what a program needs at once.
	MarkAhead Mechanism = "mark-ahead"
	// OrderBySlack has engines that are full serve the programs first that have the least
	// time to spare, within their priority.
	OrderBySlack Mechanism = "order-by-slack"
	// NoticeCuts has a node that hears no other zone count as cut off as soon as its calls
	// to the store have failed for some time, before it counts as not reaching the store.
	DetectIsolationEarly Mechanism = "notice-cuts"
	// PreferConnections prefers replicas to which a connection is free.
	PreferConnections Mechanism = "prefer-connections"
	// PreferRegion prefers replicas of the node's own region.
	PreferRegion Mechanism = "prefer-region"
	// PreferZone prefers replicas of the node's own zone.
	PreferZone Mechanism = "prefer-zone"
	// ProvePeers takes peers' word of how lately their configuration was proven to be
	// the newest, and has the readers of each zone read it often.
	ShareProofs Mechanism = "prove-peers"
	// ReadAccountsFirst has a takeover's pages with accounts not wait for pages of kept
	// turns of other takeovers.
	ReadAccountsFirst Mechanism = "read-accounts-first"
	// RankPrograms has programs that are further go first among those under way at a
	// tenant's limit.
	// RankPrograms has programs that come for the first time begin before those that come
	// back at a tenant's limit.
	RankRetriesLast Mechanism = "rank-programs"
	// RecallChains keeps the chains of turns that this node served, so that the
	// owner need not send them when their lines go on here.
	CacheChains Mechanism = "recall-chains"
	// RedirectCharges has a request that counts to a limit follow the view of the node that
	// was asked, which may have heard sooner who counts.
	RedirectCharges Mechanism = "redirect-charges"
	// RefuseWhenFull has new programs wait while all replicas are full.
	RefuseWhenFull Mechanism = "refuse-when-full"
	// RememberFaults avoids replicas that erred or did not answer.
	AvoidFaultyReplicas Mechanism = "remember-faults"
	// RememberReplicas has the record of a kept turn name the replica that served
	// it, so that its line goes on there also at a new owner.
	RecordReplica Mechanism = "remember-replicas"
	// RepeatIntoRoom sends late calls again only where a replica has room and an answer
	// can come in time.
	RepeatWithCapacity Mechanism = "repeat-into-room"
	// RepeatLateCalls sends a call that may run more than once again when its
	// answer is late.
	RepeatLateCalls Mechanism = "repeat-late-calls"
	// SpreadReturns has those who are refused together come back one after the other, in
	// the order in which they are to be served.
	SpreadRetries Mechanism = "spread-returns"
	// ShareByTenant divides the replicas' room among tenants while there is too little.
	ShareByTenant Mechanism = "share-by-tenant"
	// SuspectSilent passes over replicas that failed to answer.
	AvoidUnresponsiveReplicas Mechanism = "suspect-silent"
	// WaitForRoom has new programs wait at their node, in order, while the replicas are
	// full; without it they are refused at once.
	QueueNewPrograms Mechanism = "wait-for-room"
	// WeighPace places turns by how fast replicas are.
	WeighTokenTimes Mechanism = "weigh-pace"
	// WeighSlack places turns by how their programs stand against their time.
	WeighSlack Mechanism = "weigh-slack"
)

// Mechanisms returns all mechanisms, in the order of their names.
func Mechanisms() []Mechanism {
	return []Mechanism{
		AskForList,
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
		HoldBack,
		KeepAside,
		EnforceLimits,
		LeaseKeys,
		LimitCold,
		MarkAhead,
		DetectIsolationEarly,
		OrderBySlack,
		PreferConnections,
		PreferRegion,
		PreferZone,
		ShareProofs,
		RankRetriesLast,
		ReadAccountsFirst,
		CacheChains,
		RedirectCharges,
		RefuseWhenFull,
		AvoidFaultyReplicas,
		RecordReplica,
		RepeatWithCapacity,
		RepeatLateCalls,
		ShareByTenant,
		SpreadRetries,
		AvoidUnresponsiveReplicas,
		QueueNewPrograms,
		WeighTokenTimes,
		WeighSlack,
	}
}

// ParseMechanisms reads a list of mechanisms separated by commas, or returns
// every finding about it.
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
func (s *Settings) uses(mechanism Mechanism) bool { return !slices.Contains(s.Without, mechanism) }
