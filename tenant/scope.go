package tenant

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Scope is whose names a request's ids are: the same id under two tenants names two
// things, neither of which the other tenant can reach. The zero Scope is that of a
// configuration without tenants.
type Scope struct {
	name   string
	scoped bool
}

// ScopeOf returns the scope of a tenant's requests.
func ScopeOf(owner *Tenant) Scope { return Scope{name: owner.Name, scoped: true} }

// PublicScope returns the scope of requests that need no key, where others do. It is
// not that of a configuration without tenants: what was kept under that one may be
// any tenant's.
func PublicScope() Scope { return Scope{scoped: true} }

const (
	// separator ends the tenant's name in the text of an id. No name holds it, since
	// NewDirectory allows no control characters.
	separator = "\x1f"
	// maxTextBytes bounds the text of an id: a key of the log is 255 bytes at most, with
	// what stands before and after the id, and a longer one would be cut off and
	// name something else.
	maxTextBytes = 230
)

// Of returns the text by which an id of the scope is known to all nodes: the plain id
// in the zero Scope. No two ids and no two scopes yield the same text, and none yields
// a plain id besides the zero Scope. The empty id, which names nothing, stays empty.
//
// What is too long for a key, and what holds the separator itself, is known by its
// digest behind two separators, which no other text begins with.
func (s Scope) Of(id string) string {
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

// Unscoped returns the text by which an id was known before ids had a scope, or ""
// where it is the same as that of Of.
func (s Scope) Unscoped(id string) string {
	if !s.scoped {
		return ""
	}
	return Scope{}.Of(id)
}
