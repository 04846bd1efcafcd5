// Package machine describes the machines that a node works with, its peers and
// the back ends, and determines which of them are live.
//
// # Membership
//
// Membership is a pure state machine. The driver passes in the platform's
// machine list (Observe), messages from peers (Step) and the time (Tick), and
// sends the messages that Ready returns. It calls Tick no later than NextWake.
// The package reads no clock, opens no connection and uses no random source
// other than the one passed in.
//
// The machine list is the only source of addresses, but it lags. Failures are
// therefore detected by probing, following SWIM (Das, Gupta, Motivala: "SWIM:
// Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol", 2002):
//
//   - In each probe period a node probes the next peers of a shuffled list. A
//     peer that does not answer in time is probed indirectly through a few
//     others.
//   - A peer that answers neither way becomes suspect. A suspect counts as
//     live. It becomes dead if its suspicion is not refuted in time.
//   - A node that receives an update about its own suspicion or death refutes
//     it with a higher incarnation.
//   - Updates are carried by probes and acks, and by a few additional messages
//     while there are recent updates. The number of updates in a message is
//     limited.
//
// The number of messages that a node sends per period does not depend on the
// number of nodes.
//
// # Local faults
//
// A node that is partitioned off, or was paused, gets no answer from any peer.
// Following Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health
// Awareness for More Accurate Failure Detection", 2018) the node scales its
// timeouts by its own health. In addition, it declares a death only if some
// peer has answered a probe since the suspicion began. With one or two peers a
// recent machine list is sufficient evidence, since both may have died. A gap
// between two calls that is longer than the node could have intended counts as
// a pause, and extends every running timeout.
//
// # The machine list
//
// A missing entry is kept for ListTimeout, so that a flapping list changes
// nothing. An empty list is not treated as evidence. A "leaving" entry takes
// effect at once and is disseminated to the peers. It is revoked only by a new
// incarnation or, for a back end, after lists have shown the machine as live
// for LeavingTimeout. Two nodes may disagree for a while on which machines are
// live. This can cause a needless claim of a partition, but never a wrong
// answer, since claims are decided by the order of the log.
package machine
