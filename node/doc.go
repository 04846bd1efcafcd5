// Package node runs a control.Core in a process: it owns the control goroutine,
// performs the core's actions on the platform, the back ends and the peers, and
// implements gateway.Service.
//
// One goroutine, started by Start, steps the core (loop.go). Each action that
// waits for I/O runs on its own goroutine and posts an event when it is done
// (perform.go, attempts.go). The tokens of an answer go from the attempt's
// goroutine to the readers through a stream.Buffer, bypassing the control
// goroutine.
package node
