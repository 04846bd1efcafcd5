package zone

// Constraint restricts the zones in which a request may be served and its data stored.
// Its zero value permits all zones.
type Constraint struct {
	restricted bool
	permitted  Placement
}

// Restrict returns the constraint narrowed to the zones of the given regions. An empty
// list adds no restriction; regions that do not exist permit no zone.
func (c Constraint) Restrict(topology Topology, regions []Region) Constraint {
	if len(regions) == 0 {
		return c
	}
	zones := topology.ZonesIn(regions)
	if c.restricted {
		zones = zones.Intersect(c.permitted)
	}
	return Constraint{restricted: true, permitted: zones}
}

// Permits reports whether the zone is permitted. It does not allocate.
func (c Constraint) Permits(name Name) bool { return !c.restricted || c.permitted.Contains(name) }

// Empty reports whether no zone is permitted.
func (c Constraint) Empty() bool { return c.restricted && c.permitted == "" }

// Restricted reports whether there is any restriction.
func (c Constraint) Restricted() bool { return c.restricted }

// Placement returns the permitted zones. It is meaningful only if Restricted is true.
func (c Constraint) Placement() Placement { return c.permitted }
