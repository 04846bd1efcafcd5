// Package scale measures how the cost of a node grows with the size of the
// fleet.
//
// # What runs
//
// Run starts many nodes in one process. Each is a node.Node, the one that the
// daemon runs, with its own control goroutine, its own connection to the
// platform's stand-in over HTTP, and real time. Most are hollow: they talk to
// each other through an in-process network that encodes each message, counts
// its bytes as link/linkhttp would send them, delays it, and can cut zones off
// from each other. A few are real ones in that they talk to everyone through
// linkhttp over loopback. The back ends are in-process stand-ins with fixed
// rates; their answers depend on the whole prompt, so that a caller can tell a
// lost, mixed or reordered history by its answer.
//
// # What happens
//
// After the fleet has settled, an idle phase measures what a node costs
// without work. Then programs arrive at a steady rate, while settings change,
// nodes fail and restart, one zone is lost and comes back, and one region is
// cut off from the others.
//
// # What the figures are
//
//   - Control CPU is the time that control goroutines spend in steps, by the
//     clock: on a busy machine it includes waiting for a processor.
//   - Memory is the live heap and stacks of the process without what the log
//     stand-in holds, divided by the nodes. The fixed cost of a process is
//     not in it.
//   - Control bytes are those of messages between nodes, headers included,
//     sent and received. The machine list that each node reads from the
//     platform is reported apart.
//   - Settings spread is the time from the answer of a change's append until
//     the change is in force on a node, over all nodes and changes.
//   - Recovery is the time from a node's failure until a caller of a program
//     that it owned is served by the next owner.
//   - Violations count broken promises that the run itself can see: see Kind.
package scale
