// Package promise checks what nodes promise against what their callers, their
// replicas and their operator saw. It is pure: events go in with their times,
// broken promises come out, so that the same events always give the same verdict.
//
// A fault excuses only what the promise excuses: checks that bind nodes in touch
// look at the disturbances that they were told of; the others always hold.
package promise
