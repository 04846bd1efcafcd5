// Package zone names the places where data may be processed.
//
// A zone is the unit of placement and of failure: machines of one zone share
// a network that can be cut off from the others. A Placement is the set of
// zones that a program's data may visit, in a canonical form that can be used
// as a map key.
package zone

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// Name identifies one zone, such as "midrand-a".
type Name string

// Region names a group of zones that share a wide-area link.
type Region string

// Zone is one zone and the region that it belongs to.
type Zone struct {
	Name   Name   `json:"name" yaml:"name"`
	Region Region `json:"region" yaml:"region"`
}

// separator joins zone names in a Placement. No zone name contains it.
const separator = "_"

var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,30}[a-z0-9])?$`)

// Validate reports whether the name is made of lower-case letters, digits and
// inner hyphens, at most 32 characters.
func (n Name) Validate() error {
	if !validName.MatchString(string(n)) {
		return fmt.Errorf("zone name %q: want 1 to 32 lower-case letters, digits or inner hyphens", string(n))
	}
	return nil
}

// Placement is a set of zones, encoded as their sorted, de-duplicated names joined by
// "_", so that equal sets are equal strings. The empty Placement permits no zone.
type Placement string

// NewPlacement returns the canonical placement of the given zones.
func NewPlacement(names ...Name) Placement {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	parts := make([]string, len(sorted))
	for i, name := range sorted {
		parts[i] = string(name)
	}
	return Placement(strings.Join(parts, separator))
}

// ParsePlacement checks that text is the canonical form of a non-empty set.
func ParsePlacement(text string) (Placement, error) {
	placement := Placement(text)
	for _, name := range placement.Zones() {
		if err := name.Validate(); err != nil {
			return "", fmt.Errorf("placement %q: %w", text, err)
		}
	}
	if text == "" || NewPlacement(placement.Zones()...) != placement {
		return "", fmt.Errorf("placement %q: want sorted zone names without repeats", text)
	}
	return placement, nil
}

// Zones returns the zones of the placement in sorted order.
func (p Placement) Zones() []Name {
	if p == "" {
		return nil
	}
	parts := strings.Split(string(p), separator)
	names := make([]Name, len(parts))
	for i, part := range parts {
		names[i] = Name(part)
	}
	return names
}

// Contains reports whether the placement permits the zone. It does not allocate, since
// it runs for every candidate of every placement decision.
func (p Placement) Contains(name Name) bool {
	rest := string(p)
	for rest != "" {
		head, tail, _ := strings.Cut(rest, separator)
		if head == string(name) {
			return true
		}
		rest = tail
	}
	return false
}

// Intersect returns the zones that both placements permit.
func (p Placement) Intersect(other Placement) Placement {
	var common []Name
	for _, name := range p.Zones() {
		if other.Contains(name) {
			common = append(common, name)
		}
	}
	return NewPlacement(common...)
}
