// Package emulator runs the system in virtual time. RunBench measures
// scheduling policies under the load of a deployment: each node runs the same
// schedule.Policy code as the daemon, package enginemodel emulates the engines,
// and package workload generates the programs of the callers.
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
// configuration gives a byte-identical result. All policies of a run get the
// same arrivals, and each program draws its steps from its own random source,
// so the steps do not depend on the policy either.
//
// # What is emulated
//
// A call is sent to the node that owns its program (client delay), is recorded
// there (journal delay), waits in the node's scheduling policy and is sent to a
// back end (link delay). The answer returns and is recorded with the same
// delays. Load reports and cache events reach the nodes late. Each node decides
// independently of the others.
//
// # What load means
//
// Load 1 is the arrival rate at which the replicas of the model in highest
// demand are just fully utilised, assuming that every prompt token is computed
// once and every batch is full. Capacity documents the calculation.
package emulator
