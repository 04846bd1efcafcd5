package contract

import (
	"encoding/json"
	"fmt"
	"slices"

	"birchwood.example/birchwood/zone"
)

// Explanation says where one value of a contract comes from.
type Explanation struct {
	// Name is the value's name, as in Values.
	Name string `json:"name"`
	// Value is the effective value in its JSON form.
	Value json.RawMessage `json:"value"`
	// From is the branch that sets it, and Revision the change that set it
	// there. Default is set when no branch does.
	From     Path     `json:"from"`
	Revision Revision `json:"revision"`
	Default  bool     `json:"default,omitempty"`
	// Narrowed are the ancestors that also took zones away, nearest first.
	Narrowed []Path `json:"narrowed,omitempty"`
}

// Explain returns each inherited value of a branch with the branch that it
// comes from, in the order of the reference page. The error is an
// *UnknownBranchError.
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
			explanation.Narrowed = append(explanation.Narrowed, ancestor)
		}
	}
	return explanation
}

// narrows reports whether the zones that the branch at path lists leave out
// one that the branch at above itself does not permit now.
func (s *state) narrows(ancestor, path Path) bool {
	permitted := zone.NewPlacement(s.branch(ancestor).values.Zones...)
	return slices.ContainsFunc(s.branch(path).values.Zones, func(name zone.Name) bool { return !permitted.Contains(name) })
}
