// Package node drives a control.Core in a real process: it owns the control
// goroutine, performs the core's actions against the platform, the back ends
// and the peers, and is the gateway's service.
//
// One goroutine, started by Start, steps the core (loop.go). Every action that
// waits for I/O runs on a goroutine of its own and posts an event when it is
// done (perform.go, attempts.go). Answers' tokens go from the attempt's
// goroutine to the readers through a stream.Buffer and never pass through the
// control goroutine.
package node
