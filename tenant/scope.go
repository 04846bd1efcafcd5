package tenant

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Scope is the namespace of the IDs in a request: the same ID under two tenants denotes
// two things, neither of which the other tenant can reach. The zero Scope is that of a
// configuration without tenants.
type Scope struct {
	name   string
	scoped bool
}

// ScopeOf returns the scope of a tenant's requests.
func ScopeOf(owner *Tenant) Scope { return Scope{name: owner.Name, scoped: true} }

// PublicScope returns the scope of requests that need no key, in a configuration with
// tenants. It differs from the zero Scope: what was stored under that one may belong to
// any tenant.
func PublicScope() Scope { return Scope{scoped: true} }

const (
	// separator follows the tenant's name in a qualified ID. No name contains it, since
	// NewDirectory allows no control characters.
	separator = "\x1f"
	// maxTextBytes bounds the length of a qualified ID. A key of the log, with what
	// precedes and follows the ID, has at most 255 bytes; a longer one would be truncated
	// and denote something else.
	maxTextBytes = 230
)

// Qualify returns the text that denotes an ID of the scope on all nodes; for the zero
// Scope this is the ID itself. Different IDs and different scopes yield different texts,
// and only the zero Scope yields the plain ID. The empty ID, which denotes nothing, stays
// empty.
//
// An ID that is too long for a key, or contains the separator itself, is replaced by its
// digest after two separators, with which no other text begins.
func (s Scope) Qualify(id string) string {
	if id == "" {
		return ""
	}
	text, kind := id, "plain"
	if s.scoped {
		text, kind = s.name+separator+id, "scoped"
	}
	if len(text) <= maxTextBytes && !strings.Contains(id, separator) {
		return text
	}
	digest := sha256.Sum256([]byte(kind + separator + text))
	return separator + separator + hex.EncodeToString(digest[:])
}

// Unscoped returns the text that denoted an ID before IDs had a scope, or "" if it is the
// same as that of Qualify.
func (s Scope) Unscoped(id string) string {
	if !s.scoped {
		return ""
	}
	return Scope{}.Qualify(id)
}
