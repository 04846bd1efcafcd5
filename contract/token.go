package contract

import (
	"crypto/sha256"
	"encoding/hex"
)

// hashLength is the length of a token's hash in hexadecimal digits.
const hashLength = sha256.Size * 2

// HashToken returns the form in which the settings tree stores a bearer token:
// its hexadecimal SHA-256 digest. Tokens are long random strings that no
// dictionary holds, so a fast hash is sufficient.
func HashToken(token string) string {
	digest := sha256.Sum256([]byte(token))
	return hex.EncodeToString(digest[:])
}

// validTokenHash reports whether text has the form that HashToken returns.
func validTokenHash(text string) bool {
	if len(text) != hashLength {
		return false
	}
	for _, digit := range text {
		if (digit < '0' || digit > '9') && (digit < 'a' || digit > 'f') {
			return false
		}
	}
	return true
}
