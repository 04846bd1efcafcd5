package edge

import (
	"time"

	"birchwood.example/birchwood/quarantine"
	"birchwood.example/birchwood/tenant"
	"birchwood.example/birchwood/zone"
)

// Settings are the parameters of a node that are fixed at its start. An adapter provides
// them.
type Settings struct {
	// Node names the node, and Zone the zone that it runs in.
	Node string
	Zone string
	// Regions maps zones to regions; empty if unknown.
	Regions zone.Topology
	// LeaveWithin is how long after the evacuation of a zone began the last requests may be
	// sent there; 0 moves all of them at once.
	LeaveWithin time.Duration
	// Clients, Readiness and Peers are the "ip:port" addresses that the node listens on.
	Clients   string
	Readiness string
	Peers     string
	// Metrics is "port/path" of the metrics endpoint on the node's address, or "".
	Metrics string
	// Seeds are addresses of peers, some of which may be outdated.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// Partitions is the number of partitions that programs are distributed over.
	Partitions int
	// RecordBytes and AppendBytes are the maximum sizes of a record and of an append.
	RecordBytes int
	AppendBytes int
	// MemoryBytes is the memory limit of the process; 0 if there is none.
	MemoryBytes int64
	// BodyMemoryBytes bounds the memory of the bodies of all requests under way, and EventBytes one
	// event of a stream; 0 selects the defaults.
	BodyMemoryBytes int64
	EventBytes      int
	// Cores is the node's share of processors, and LinkMegabits the capacity of its link in
	// Mbit/s; 0 if unknown.
	Cores        float64
	LinkMegabits float64
	// RelayAbove is the product of nodes and replicas from which on nodes follow the
	// replicas through others; 0 selects the default.
	RelayAbove int
	// KeyLease is the time within which a key that the operator removed stops working on
	// all nodes; 0 selects the default. A node accepts no keys once its last proof that its
	// list of keys was the newest is that old.
	KeyLease time.Duration
	// Quota configures how tenants' rate limits are enforced; the zero value selects the
	// default.
	Quota tenant.Config
	// ColdReplicas configures how the rates of cold replicas are enforced; the zero value
	// selects the default.
	ColdReplicas tenant.Config
	// Quarantine configures how requests that end their replicas are tracked; the zero value
	// selects the default.
	Quarantine quarantine.Config
	// Disabled lists the mechanisms that are switched off.
	Disabled []Mechanism
	// Grace is the time between the stop signal and the kill.
	Grace time.Duration
	// LogLinesDropped returns how many log lines were dropped; nil if that is not counted.
	LogLinesDropped func() uint64
}
