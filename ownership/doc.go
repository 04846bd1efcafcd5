// Package ownership decides which node owns which partition.
//
// Every node ranks the nodes that may own a partition by rendezvous hashing, over its own
// view of the live nodes. Two nodes whose views differ may both claim a partition.
// Neither the ranking nor a lease decides between them, but the log: a claim carries an
// epoch, the log refuses appends of lower epochs, and epochs of different processes
// differ. An owner whose append is refused stops at once. One that was paused and has not
// been refused yet cannot make anything durable.
package ownership
