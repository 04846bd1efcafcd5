package zone

import "slices"

// Topology tells which region each zone is in. Its zero value knows no zones. It must
// not be changed once it is in use.
type Topology map[Name]Region

// Within returns the zones of the regions. Regions that there are not hold none.
func (t Topology) Within(regions []Region) Placement {
	var names []Name
	for name, region := range t {
		if slices.Contains(regions, region) {
			names = append(names, name)
		}
	}
	return NewPlacement(names...)
}

// Together reports whether two zones are in one region, as far as is known: a zone
// whose region is not known counts as near.
func (t Topology) Together(left, right Name) bool {
	first, second := t[left], t[right]
	return first == second || first == "" || second == ""
}
