// Package standin serves the platform's stand-ins over HTTP on loopback: the
// log service, the machine list, the weight store, model engines and tool
// services. `birchwood dev` and the tests run the system against them.
//
// Start opens one listener for the platform, one for the control of faults
// and one for each engine and tool service. docs/STANDINS.md describes the
// routes. The state behind the routes is that of the packages platformmodel
// and enginemodel, which the virtual-time emulation drives too.
//
// Faults are switched while the stand-ins run, by Set.Faults or by the
// control address: a service can be down, slow or hung, lose its answer after
// the action took effect, or lag; and zones can be cut off from each other.
// The stand-ins know a caller's zone by the header X-Zone.
package standin
