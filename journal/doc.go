// Package journal makes the records of one partition durable in a stream of
// the log service.
package journal
