package tenant

import (
	"crypto/sha256"
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode"

	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/zone"
)

// Tenant is one tenant of a configuration.
type Tenant struct {
	Name string
	// Keys are the keys that the tenant's clients may show.
	Keys []string
	// Priority ranks the tenant's requests, whatever their route; 0 is the most
	// urgent.
	Priority int
	Limit    Limit
	// Regions are the only ones in which the tenant's requests may be served and
	// their data be; none set no bound.
	Regions []zone.Region
}

// Limit bounds a tenant's requests over all nodes together.
type Limit struct {
	// Rate is how many requests a second are allowed; 0 sets no limit.
	Rate float64 `json:"rate"`
	// Burst is how many requests may come on top of the rate.
	Burst float64 `json:"burst,omitempty"`
}

// Unlimited reports whether the limit bounds nothing.
func (l Limit) Unlimited() bool { return l.Rate <= 0 }

// keyHash stands for a key.
type keyHash [sha256.Size]byte

// Directory finds tenants by their keys. It is immutable, and nil where a
// configuration knows no tenants.
type Directory struct {
	byKey   map[keyHash]*Tenant
	tenants int
}

// NewDirectory returns the directory of a configuration's tenants, or every finding
// about them.
func NewDirectory(tenants []Tenant) (*Directory, error) {
	found := findings.Of("tenants")
	directory := &Directory{byKey: make(map[keyHash]*Tenant), tenants: len(tenants)}
	indexes := make(map[string]int, len(tenants))
	for index, given := range tenants {
		path := fmt.Sprintf("tenants[%d]", index)
		found.Require(given.Name != "", path+".name", "want a name")
		found.Require(!strings.ContainsFunc(given.Name, unicode.IsControl), path+".name", "want no control characters in %q", given.Name)
		first, taken := indexes[given.Name]
		found.Require(!taken, path+".name", "%q is the name of tenants[%d] as well", given.Name, first)
		indexes[given.Name] = index
		requireNonNegative(found, path+".rate", given.Limit.Rate)
		requireNonNegative(found, path+".burst", given.Limit.Burst)
		directory.add(found, path, given)
	}
	if err := found.Err(); err != nil {
		return nil, err
	}
	return directory, nil
}

func requireNonNegative(found *findings.List, path string, value float64) {
	found.Require(value >= 0 && !math.IsInf(value, 0), path, "got %v, want a number that is at least 0", value)
}

// add takes a tenant's keys in. The findings name the places of keys and no key.
func (d *Directory) add(found *findings.List, path string, given Tenant) {
	known := &Tenant{Name: given.Name, Priority: given.Priority, Limit: given.Limit, Regions: given.Regions}
	for index, key := range given.Keys {
		keyPath := fmt.Sprintf("%s.keys[%d]", path, index)
		found.Require(key != "", keyPath, "want a key that is not empty")
		hash := keyHash(sha256.Sum256([]byte(key)))
		other, taken := d.byKey[hash]
		found.Require(!taken || other == known, keyPath, "the key belongs to another tenant as well")
		d.byKey[hash] = known
	}
}

// Lookup returns the tenant that a key belongs to. The key counts as it stands, to
// the last sign. The caller must not change the tenant, which holds no keys.
func (d *Directory) Lookup(key string) (*Tenant, bool) {
	known, found := d.byKey[keyHash(sha256.Sum256([]byte(key)))]
	return known, found
}

// Priorities returns the priorities of all tenants, each once.
func (d *Directory) Priorities() []int {
	var priorities []int
	for _, known := range d.byKey {
		if !slices.Contains(priorities, known.Priority) {
			priorities = append(priorities, known.Priority)
		}
	}
	return priorities
}

// Count returns how many tenants there are.
func (d *Directory) Count() int { return d.tenants }
