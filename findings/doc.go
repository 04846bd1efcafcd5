// Package findings collects all errors of a configuration, so that they can be
// reported at once. The Config of each state machine is validated with it:
//
//	found := findings.Of("record log config")
//	found.Require(c.Writer != "", "Writer", "want a name")
//	findings.Positive(found, "ReadBatch", c.ReadBatch)
//	return found.Err()
//
// HTTP requests of callers are validated by package api, whose findings are sent
// in the JSON of an error.
package findings
