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
	// Keys are the API keys of the tenant's clients.
	Keys []string
	// Priority is the priority of the tenant's requests on any route; 0 is the most
	// urgent.
	Priority int
	Limit    Limit
	// Regions are the regions to which the tenant's requests and data are restricted; if
	// empty, there is no restriction.
	Regions []zone.Region
}

// Limit is a tenant's rate limit over all nodes together.
type Limit struct {
	// Rate is the number of requests allowed per second; 0 means no limit.
	Rate float64 `json:"rate"`
	// Burst is the number of requests allowed in a window in addition to the rate.
	Burst float64 `json:"burst,omitempty"`
}

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return l.Rate <= 0 }

// keyHash is the hash of an API key.
type keyHash [sha256.Size]byte

// Directory finds tenants by their keys. It is immutable, and nil if the configuration has
// no tenants.
type Directory struct {
	byKey   map[keyHash]*Tenant
	tenants int
}

// NewDirectory returns the directory of a configuration's tenants, or an error with every
// finding about them.
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

// add adds a tenant's keys. The findings contain the paths of keys and no key.
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

// Lookup returns the tenant that a key belongs to. The key must match exactly. The caller
// must not modify the returned tenant, which holds no keys.
func (d *Directory) Lookup(key string) (*Tenant, bool) {
	known, found := d.byKey[keyHash(sha256.Sum256([]byte(key)))]
	return known, found
}

// Priorities returns the distinct priorities of all tenants that have keys.
func (d *Directory) Priorities() []int {
	var priorities []int
	for _, known := range d.byKey {
		if !slices.Contains(priorities, known.Priority) {
			priorities = append(priorities, known.Priority)
		}
	}
	return priorities
}

// Count returns the number of tenants.
func (d *Directory) Count() int { return d.tenants }
