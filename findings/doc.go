// Package findings collects everything that is wrong with a configuration, so
// that whoever sets it learns all of it at once. The Config of each state
// machine is checked with it:
//
//	found := findings.Of("record log config")
//	found.Require(c.Writer != "", "Writer", "want a name")
//	findings.Positive(found, "ReadBatch", c.ReadBatch)
//	return found.Err()
//
// What callers send over HTTP is checked by package api, whose findings travel
// in the JSON of an error.
package findings
