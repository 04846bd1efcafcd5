// Package quarantine tracks requests that may end the replicas that run them.
//
// The tries of one request share a Fingerprint.
package quarantine

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("quarantine")
