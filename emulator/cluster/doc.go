// Package cluster simulates whole clusters in virtual time to find violations
// of the guarantees that package history checks. The nodes run control.Core,
// the daemon's own state machine, with the daemon's scheduler as the policy.
// Everything around them is emulated and may fail at any moment: the log
// service, the machine list, the links between zones, engines, tool services,
// gateways, callers and operators.
//
//	c, err := cluster.New(cluster.DefaultConfig(7))
//	c.StartProgram(cluster.ProgramPlan{...})
//	c.Advance(3 * time.Second)
//	c.Crash(0)
//	c.Settle()
//	report := history.CheckEvents(c.Events())
//
// A run is a discrete-event simulation on one goroutine. The same seed and the
// same calls give byte-identical histories. The history records what callers,
// back ends, the log and the nodes observed; package history checks it and does
// not depend on this package.
//
// Property is the stateful test: it draws programs, faults and settings changes
// with package rapid, ends all faults, waits, and checks the history. CI runs a
// fixed set of seeds; `birchwood fuzz` runs any number of them.
//
// Gateways are emulated in simplified form: a request goes to a random node,
// which serves it or relays it to the owner in its routing table. If the answer
// of a relayed request is lost, the caller gets "outcome unknown".
package cluster
