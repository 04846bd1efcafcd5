package zone

import "slices"

// Topology maps each zone to its region. Its zero value has no zones. It must not be
// modified once it is in use.
type Topology map[Name]Region

// ZonesIn returns the zones of the given regions. A region that does not exist has none.
func (t Topology) ZonesIn(regions []Region) Placement {
	var names []Name
	for name, region := range t {
		if slices.Contains(regions, region) {
			names = append(names, name)
		}
	}
	return NewPlacement(names...)
}

// SameRegion reports whether two zones are in the same region. A zone of unknown region
// counts as being in the same region as any other.
func (t Topology) SameRegion(left, right Name) bool {
	first, second := t[left], t[right]
	return first == second || first == "" || second == ""
}
