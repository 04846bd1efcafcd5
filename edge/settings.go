package edge

import (
	"time"

	"birchwood.example/birchwood/tenant"
	"birchwood.example/birchwood/zone"
)

// Settings are what a node is told at its start. They come from an adapter.
type Settings struct {
	// Node names the node, and Zone the place it is in.
	Node string
	Zone string
	// Regions tells the regions of zones; empty where they are not known.
	Regions zone.Topology
	// LeaveWithin is within what time no requests are sent to a zone that is
	// evacuated; with 0 all leave at once.
	LeaveWithin time.Duration
	// Clients, Readiness and Peers are the "ip:port" that the node listens on.
	Clients   string
	Readiness string
	Peers     string
	// Metrics is "port/path" of the metrics on the node's address, or "".
	Metrics string
	// Seeds are addresses of peers, which may be stale.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// Partitions is how many partitions programs are dealt to.
	Partitions int
	// RecordBytes and AppendBytes bound one record and one append.
	RecordBytes int
	AppendBytes int
	// MemoryBytes bounds the process's memory.
	MemoryBytes int64
	// Cores is the node's share of processors, and LinkMegabits what its link
	// carries in a second; 0 where that is not known.
	Cores        float64
	LinkMegabits float64
	// RelayAbove is the product of nodes and replicas from which on nodes follow
	// the replicas through others; 0 takes a sound one.
	RelayAbove int
	// KeyLease is within what time a key that the operator took away works nowhere;
	// 0 takes a sound one. A node that has had no proof for as long that what it
	// knows of keys is the newest honours none.
	KeyLease time.Duration
	// Quota tells how the limits of tenants are judged; its zero value takes a
	// sound one.
	Quota tenant.Config
	// ColdReplicas tells how what cold replicas get is judged; its zero value takes a
	// sound one.
	ColdReplicas tenant.Config
	// Without lists the mechanisms that are switched off.
	Without []Mechanism
	// Grace is the time between the request to stop and the kill.
	Grace time.Duration
	// LogLinesDropped returns how many lines of the log were dropped; nil
	// where that is not counted.
	LogLinesDropped func() uint64
}
