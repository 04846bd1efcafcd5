package zone_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/zone"
)

var topology = zone.Topology{"east-a": "east", "east-b": "east", "west-a": "west", "north-a": "north"}

// TestConstraint checks that a request is restricted by every list of regions that is set, and
// not by empty ones.
func TestConstraint(t *testing.T) {
	g := NewWithT(t)
	var unrestricted zone.Constraint
	g.Expect(unrestricted.Permits("anywhere")).To(BeTrue())
	g.Expect(unrestricted.Empty()).To(BeFalse())
	g.Expect(unrestricted.Restrict(topology, nil)).To(Equal(unrestricted))
	g.Expect(unrestricted.Restrict(topology, []zone.Region{})).To(Equal(unrestricted))

	east := unrestricted.Restrict(topology, []zone.Region{"east", "west"})
	g.Expect(east.Placement()).To(Equal(zone.NewPlacement("east-a", "east-b", "west-a")))
	g.Expect(east.Permits("north-a")).To(BeFalse())
	g.Expect(east.Permits("")).To(BeFalse(), "a place that is not known")

	both := east.Restrict(topology, []zone.Region{"west", "north"})
	g.Expect(both.Placement()).To(Equal(zone.NewPlacement("west-a")))
	g.Expect(both.Empty()).To(BeFalse())
	g.Expect(both.Restrict(topology, []zone.Region{"east"}).Empty()).To(BeTrue(), "nothing in common")
	g.Expect(unrestricted.Restrict(topology, []zone.Region{"south"}).Empty()).To(BeTrue(), "no such region")
	g.Expect(unrestricted.Restrict(nil, []zone.Region{"east"}).Empty()).To(BeTrue(), "no regions known")
}

// TestSameRegion checks that a zone of unknown region counts as being in the same region.
func TestSameRegion(t *testing.T) {
	g := NewWithT(t)
	g.Expect(topology.SameRegion("east-a", "east-b")).To(BeTrue())
	g.Expect(topology.SameRegion("east-a", "west-a")).To(BeFalse())
	g.Expect(topology.SameRegion("east-a", "new")).To(BeTrue())
	g.Expect(zone.Topology(nil).SameRegion("a", "b")).To(BeTrue())
}
