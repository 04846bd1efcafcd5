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
	// RecallChains keeps the chains of turns that this node served, so that the
	// owner need not send them when their lines go on here.
	RecallChains Mechanism = "recall-chains"
	// RememberReplicas has the record of a kept turn name the replica that served
	// it, so that its line goes on there also at a new owner.
	RememberReplicas Mechanism = "remember-replicas"
	// RepeatLateCalls sends a call that may run more than once again when its
	// answer is late.
	RepeatLateCalls Mechanism = "repeat-late-calls"
)

// Mechanisms returns all mechanisms, in the order of their names.
func Mechanisms() []Mechanism {
	return []Mechanism{
		RecallChains,
		RememberReplicas,
		RepeatLateCalls,
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
