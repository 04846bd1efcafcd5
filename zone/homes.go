package zone

// Homes bounds where a request may be served and its data may be. The zero value sets
// no bound.
type Homes struct {
	restricted bool
	permitted  Placement
}

// Bind returns the homes where these regions bind as well. No regions set no bound;
// regions that there are not permit nothing.
func (c Homes) Bind(topology Topology, regions []Region) Homes {
	if len(regions) == 0 {
		return c
	}
	zones := topology.Within(regions)
	if c.restricted {
		zones = zones.Intersect(c.permitted)
	}
	return Homes{restricted: true, permitted: zones}
}

// Permit reports whether the zone is permitted. It does not allocate.
func (c Homes) Permit(name Name) bool { return !c.restricted || c.permitted.Contains(name) }

// Empty reports whether no zone is permitted.
func (c Homes) Empty() bool { return c.restricted && c.permitted == "" }

// Bound reports whether there is a bound, and Placement the zones that it permits.
func (c Homes) Bound() bool { return c.restricted }

// Placement returns the zones that are permitted where there is a bound.
func (c Homes) Placement() Placement { return c.permitted }
