package contract

import (
	"fmt"
	"slices"

	"birchwood.example/birchwood/zone"
)

// UnknownBranchError reports a path that identifies no branch.
type UnknownBranchError struct {
	Path Path
	// Deepest is the nearest existing ancestor of the path.
	Deepest Path
}

func (e *UnknownBranchError) Error() string {
	return fmt.Sprintf("no branch %q: the deepest known one above it is %q", e.Path.String(), e.Deepest.String())
}

// Resolve returns the contract of a branch. Its Revision is the one that last
// changed the contract, so that an unchanged contract compares equal. The
// lists are shared and must not be modified. The error is an
// *UnknownBranchError.
func (t *Tree) Resolve(path Path) (Contract, error) {
	current := t.published.Load()
	found := current.branch(path)
	if found == nil {
		return Contract{}, current.unknownBranch(path)
	}
	return *found.contract, nil
}

func (s *state) unknownBranch(path Path) error {
	deepest := path
	for deepest != Root && s.branch(deepest) == nil {
		deepest = deepest.Parent()
	}
	return &UnknownBranchError{Path: path, Deepest: deepest}
}

// resolveBelow computes the contracts of a branch and its descendants, parents
// first. A contract that does not change keeps its revision.
func (s *state) resolveBelow(revision Revision, path Path) {
	var affected []*branch
	s.walk(path, func(branch *branch) { affected = append(affected, branch) })
	for _, old := range affected {
		resolved := s.resolve(old)
		resolved.Revision = revision
		if old.contract != nil && equalContracts(*old.contract, *resolved) {
			continue
		}
		updated := *old
		updated.contract = resolved
		s.putBranch(&updated)
		s.addPlacement(resolved.Placement)
	}
}

// resolve computes a branch's contract from its values and its parent's
// contract.
func (s *state) resolve(b *branch) *Contract {
	if b.path == Root {
		values := defaults()
		overlay(&values, &b.values)
		return contractOf(b.path, &values, zone.NewPlacement(values.Zones...))
	}
	parent := s.branch(b.path.Parent()).contract
	values := valuesOf(parent)
	overlay(&values, &b.values)
	values.DrainedBackends = union(parent.DrainedBackends, b.values.DrainedBackends)
	placement := parent.Placement
	if b.values.Zones != nil {
		placement = placement.Intersect(zone.NewPlacement(b.values.Zones...))
	}
	return contractOf(b.path, &values, placement)
}

// union returns the items of both lists, sorted and without duplicates. It
// returns the first list itself if the second is empty.
func union(first, second []string) []string {
	if len(second) == 0 {
		return first
	}
	joined := append(slices.Clone(first), second...)
	slices.Sort(joined)
	return slices.Compact(joined)
}

// overlay copies every inherited field that source sets to target.
func overlay(target, source *Values) {
	for index := range fields {
		if fields[index].inherited && fields[index].isSet(source) {
			fields[index].assign(target, source)
		}
	}
}

// valuesOf returns a contract's values. It shares memory with the contract.
func valuesOf(c *Contract) Values {
	return Values{
		Zones: c.Placement.Zones(), Models: c.Models, Tools: c.Tools,
		Priority: &c.Priority, BudgetTokens: &c.BudgetTokens, MaxTurns: &c.MaxTurns,
		MaxOutputTokens: &c.MaxOutputTokens, Attempts: &c.Attempts,
		MaxDuration: &c.MaxDuration, IdleTimeout: &c.IdleTimeout,
		CallTimeout: &c.CallTimeout, ToolTimeout: &c.ToolTimeout, Retention: &c.Retention,
		DrainedBackends: c.DrainedBackends,
	}
}

func contractOf(path Path, v *Values, placement zone.Placement) *Contract {
	return &Contract{
		Path: path, Placement: placement, Models: v.Models, Tools: v.Tools,
		Priority: *v.Priority, BudgetTokens: *v.BudgetTokens, MaxTurns: *v.MaxTurns,
		MaxOutputTokens: *v.MaxOutputTokens, Attempts: *v.Attempts,
		MaxDuration: *v.MaxDuration, IdleTimeout: *v.IdleTimeout,
		CallTimeout: *v.CallTimeout, ToolTimeout: *v.ToolTimeout, Retention: *v.Retention,
		DrainedBackends: v.DrainedBackends,
	}
}

// equalContracts compares all fields except Revision.
func equalContracts(a, b Contract) bool {
	if !slices.Equal(a.Models, b.Models) || !slices.Equal(a.Tools, b.Tools) || !slices.Equal(a.DrainedBackends, b.DrainedBackends) {
		return false
	}
	return a.Path == b.Path && a.Placement == b.Placement &&
		a.Priority == b.Priority && a.BudgetTokens == b.BudgetTokens && a.MaxTurns == b.MaxTurns &&
		a.MaxOutputTokens == b.MaxOutputTokens && a.Attempts == b.Attempts &&
		a.MaxDuration == b.MaxDuration && a.IdleTimeout == b.IdleTimeout &&
		a.CallTimeout == b.CallTimeout && a.ToolTimeout == b.ToolTimeout && a.Retention == b.Retention
}
