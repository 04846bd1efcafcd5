package contract

import (
	"encoding/json"
	"fmt"
	"slices"

	"birchwood.example/birchwood/zone"
)

// Explanation describes the origin of one value of a contract.
type Explanation struct {
	// Name is the value's name, as in Values.
	Name string `json:"name"`
	// Value is the effective value in its JSON form.
	Value json.RawMessage `json:"value"`
	// From is the branch that sets the value, and Revision the change that
	// set it there. Default is true when no branch sets it.
	From     Path     `json:"from"`
	Revision Revision `json:"revision"`
	Default  bool     `json:"default,omitempty"`
	// NarrowedBy lists the ancestors of From that exclude some of its zones,
	// nearest first.
	NarrowedBy []Path `json:"narrowed,omitempty"`
}

// Explain returns each inheritable value of a branch and the branch that sets
// it, in the order of the reference page. The error is an *UnknownBranchError.
func (t *Tree) Explain(path Path) ([]Explanation, error) {
	return t.published.Load().explain(path)
}

func (s *state) explain(path Path) ([]Explanation, error) {
	found := s.branch(path)
	if found == nil {
		return nil, s.unknownBranch(path)
	}
	effective := valuesOf(found.contract)
	var explanations []Explanation
	for index := range fields {
		if !fields[index].inherited {
			continue
		}
		explanation := s.origin(path, index)
		value, err := json.Marshal(fields[index].value(&effective))
		if err != nil {
			return nil, fmt.Errorf("value %s: %w", fields[index].name, err)
		}
		explanation.Value = value
		explanations = append(explanations, explanation)
	}
	return explanations, nil
}

// origin finds the nearest branch that sets a field.
func (s *state) origin(path Path, index int) Explanation {
	explanation := Explanation{Name: fields[index].name, Default: true}
	for _, ancestor := range path.selfAndAncestors() {
		branch := s.branch(ancestor)
		if !fields[index].isSet(&branch.values) {
			continue
		}
		if explanation.Default {
			explanation.Default = false
			explanation.From = ancestor
			explanation.Revision = branch.fieldRevisions[index]
			if fields[index].name != fieldZones {
				break
			}
			continue
		}
		if s.narrows(ancestor, explanation.From) {
			explanation.NarrowedBy = append(explanation.NarrowedBy, ancestor)
		}
	}
	return explanation
}

// narrows reports whether the branch at path lists a zone that the branch at
// ancestor does not list.
func (s *state) narrows(ancestor, path Path) bool {
	permitted := zone.NewPlacement(s.branch(ancestor).values.Zones...)
	return slices.ContainsFunc(s.branch(path).values.Zones, func(name zone.Name) bool { return !permitted.Contains(name) })
}
