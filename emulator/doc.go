// Package emulator runs the system in virtual time. RunBench measures
// scheduling policies under a deployment's load: the schedule.Policy of each
// node is the daemon's own code, the engines are those of package enginemodel,
// and the callers' programs come from package workload.
//
//	deployment, _ := workload.ByName("qasr")
//	result, err := emulator.RunBench(emulator.BenchConfig{
//	    Deployment: deployment,
//	    Policies:   emulator.AllPolicies(),
//	    Seed:       7,
//	    Programs:   1000,
//	    Load:       0.8,
//	})
//
// A run is a discrete-event simulation on one goroutine: the same
// configuration gives the same result to the byte. Every policy of one run
// sees the same arrivals; a program's steps are drawn from its own random
// source, so they do not depend on the policy either.
//
// # What is emulated
//
// A caller's call travels to the node that owns its program (client delay),
// is recorded (journal delay), waits in the node's policy, travels to the back
// end (link delay), and its answer travels back and is recorded the same way.
// Load reports and cache events reach the nodes late. Each node decides alone.
//
// # What load means
//
// Load 1 is the arrival rate at which the replicas of the most wanted model
// are just busy, if every prompt token were computed once and every batch were
// full. Capacity tells how it is worked out.
package emulator
