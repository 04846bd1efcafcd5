// Package cluster runs whole clusters in virtual time to look for broken
// promises. The nodes are control.Core, the daemon's own state machine, and the
// policy is the daemon's scheduler; what surrounds them is emulated and may
// fail at any moment: the log service, the machine list, the links between
// zones, engines, tool services, gateways, callers and operators.
//
//	c, err := cluster.New(cluster.DefaultConfig(7))
//	c.StartProgram(cluster.ProgramPlan{...})
//	c.Advance(3 * time.Second)
//	c.Crash("node-1")
//	c.Settle()
//	report := history.CheckEvents(c.Events())
//
// A run is a discrete-event simulation on one goroutine. Equal seeds and equal
// calls give equal histories to the byte. The history says what callers, back
// ends, the log and the nodes saw; package history checks it and knows nothing
// of this package.
//
// Property is the stateful test: it draws programs, faults and changes of the
// settings with package rapid, heals everything, waits, and checks the history.
// CI runs a fixed part of it; `birchwood fuzz` runs it for as long as wanted.
//
// Gateways are emulated in their outline: a request goes to any node, which
// serves it or relays it to the owner that it knows; a relay whose answer is
// lost is answered as unknown.
package cluster
