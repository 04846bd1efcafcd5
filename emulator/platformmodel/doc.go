// Package platformmodel emulates the services of the platform: the log service,
// the machine list, the weight store and the tool services. Every type is a pure
// state machine that gets the time as an argument and does no I/O. The HTTP
// stand-ins and the virtual-time emulation use the same types, so that both
// behave identically.
//
// No type is safe for concurrent use. The caller must serialise its calls.
package platformmodel
