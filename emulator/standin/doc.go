// Package standin serves stand-ins for the platform's services over HTTP on
// loopback: the log service, the machine list, the weight store, model engines
// and tool services. `birchwood dev` and the tests run the system against them.
//
// Start opens one listener for the platform, one for fault injection and one for
// each engine and tool service. docs/STANDINS.md describes the routes. The state
// is kept by the packages platformmodel and enginemodel, which the virtual-time
// emulation uses too.
//
// Faults are injected and removed at run time through Set.Faults or the control
// address: a service can be down, unavailable, slow or hung, lose its answer
// after the action took effect, or report late; and links between zones can be
// blocked. The header X-Zone names the caller's zone.
package standin
