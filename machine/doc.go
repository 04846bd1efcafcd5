// Package machine describes the machines that a node works with, its peers and
// the back ends, and decides which of them are live.
//
// # Membership
//
// Membership is a pure state machine. The driver passes in the platform's
// machine list (Observe), messages of peers (Step) and the time (Tick), and
// sends what Ready returns. It calls Tick no later than NextWake. Nothing here
// reads a clock, opens a connection or uses a random source that was not passed
// in.
//
// The machine list is the only source of addresses, but it lags. Failures are
// therefore found by probing, after SWIM (Das, Gupta, Motivala: "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol", 2002):
//
//   - In each probe period a node probes the next peers of a shuffled list. A
//     peer that does not answer in time is probed through a few others.
//   - A peer that answers neither way becomes suspect. A suspect counts as
//     live. It becomes dead when its suspicion is not refuted in time.
//   - A node that hears of its own suspicion or death refutes it with a higher
//     incarnation.
//   - News travels on probes and acks, and on a few extra messages for as long
//     as there is fresh news. Each message carries a bounded number of updates.
//
// The number of messages of a node in a period does not depend on the number
// of nodes.
//
// # When the fault is here
//
// A node that is cut off, or was paused, sees every peer fail. After Lifeguard
// (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More
// Accurate Failure Detection", 2018) the node scales its time-outs by its own
// health. In addition a death is declared here only if some peer has answered
// a probe since the suspicion began. With one or two peers a fresh machine
// list is proof enough, since both may have died. A gap between two calls that
// is longer than the node could have wanted counts as a pause: every running
// time-out is extended by it.
//
// # The machine list
//
// An entry that is missing stays for ListTimeout, so that a flapping list
// changes nothing. An empty list is no evidence at all. "Leaving" takes effect
// at once, is told to the peers, and is taken back only by a new incarnation or,
// for a back end, after LeavingTimeout of lists that say live. Two nodes may disagree on
// who is live for a while: this costs a needless claim of a partition, never a
// wrong answer, since claims are decided by the order of the log.
package machine
