// Package control is the state machine of one node. A Core combines the node's
// membership, settings, partitions, programs and scheduler. It does no I/O: its
// driver passes it events and the time, and performs the actions that it emits.
package control
