// Package machine describes the machines that a node works with: its peers
// and the back ends. Membership decides which of them are live, from the
// platform's machine list, which lags, and from probes of a few random peers
// in each period.
package machine
