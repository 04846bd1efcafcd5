package quarantine

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Identity is what the tries of one request have in common. IDs and the events that a client
// already has are no part of it: they change from try to try.
type Identity struct {
	// Tenant is the tenant that sent the request, or "".
	Tenant string
	// Program is the program that the request belongs to, or "". Two programs that send the same
	// body have two requests: each may have met crashes that it did not cause.
	Program string
	Route   string
	Method  string
	// Target is the request target with its query.
	Target string
	// Previous is the turn that the request continues, or "".
	Previous string
	Body     []byte
}

// Fingerprint stands for an Identity. Two identities with the same fingerprint share the limit
// on ended replicas.
type Fingerprint uint64

// Fingerprint returns the hash of the identity.
func (i *Identity) Fingerprint() Fingerprint {
	hash := xxhash.New()
	for _, field := range []string{i.Tenant, i.Program, i.Route, i.Method, i.Target, i.Previous} {
		writeLength(hash, len(field))
		_, _ = hash.WriteString(field)
	}
	_, _ = hash.Write(i.Body)
	return Fingerprint(hash.Sum64())
}

// writeLength separates the fields, so that no two identities yield the same bytes.
func writeLength(hash *xxhash.Digest, length int) {
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], uint64(length))
	_, _ = hash.Write(prefix[:])
}

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	value, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return Error.New("fingerprint %q: want 16 hexadecimal digits", text)
	}
	*f = Fingerprint(value)
	return nil
}
