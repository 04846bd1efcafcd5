// Package platformmodel holds the state of the emulated platform: the log
// service, the machine list, the weight store and the tool services. Every
// type is a pure state machine: the time is an argument, nothing is read or
// sent. The HTTP stand-ins and the virtual-time emulation drive the same
// types, so that both show the same behaviour.
//
// No type is safe for concurrent use; the driver serialises its calls.
package platformmodel
