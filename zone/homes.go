package zone

// Homes bounds where a request may be served and its data may be. The zero value sets
// no bound.
type Homes struct {
	bound     bool
	placement Placement
}

// Bind returns the homes where these regions bind as well. No regions set no bound;
// regions that there are not permit nothing.
func (h Homes) Bind(topology Topology, regions []Region) Homes {
	if len(regions) == 0 {
		return h
	}
	within := topology.Within(regions)
	if h.bound {
		within = within.Intersect(h.placement)
	}
	return Homes{bound: true, placement: within}
}

// Permit reports whether the zone is permitted. It does not allocate.
func (h Homes) Permit(name Name) bool { return !h.bound || h.placement.Contains(name) }

// Empty reports whether no zone is permitted.
func (h Homes) Empty() bool { return h.bound && h.placement == "" }

// Bound reports whether there is a bound, and Placement the zones that it permits.
func (h Homes) Bound() bool { return h.bound }

// Placement returns the zones that are permitted where there is a bound.
func (h Homes) Placement() Placement { return h.placement }
