// Package ownership decides which node owns which partition.
//
// Every node ranks the nodes that may own a partition by a hash of both
// (rendezvous hashing), over its own view of who is live. Two nodes whose views
// differ may both claim a partition. Neither the ranking nor any lease decides
// then but the log: a claim carries an epoch, the log refuses the appends of
// every lower epoch, and epochs of different processes differ. An owner that
// was refused stops at once; one that was paused and has not yet been refused
// can make nothing durable.
package ownership
