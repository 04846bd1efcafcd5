// Package workload generates the load of birchwood's deployments: agent
// programs as callers run them, whose steps are not known in advance.
//
// A Deployment describes the zones, link delays, model replicas, tool services
// and branches of one installation, and the kinds of program that its callers
// start. Generate returns a Generator, which draws programs in the order of
// their intended start. A Program returns its steps one at a time: each call
// of Next takes the result of the previous step and draws the next one, so
// neither the scheduler nor the driver can look ahead.
//
//	deployment, _ := workload.ByName("koudeketting")
//	generator := deployment.Generate(workload.Options{Seed: 7, ProgramsPerSecond: 2})
//	program := generator.Next()
//	for step, more := program.Next(workload.Result{}); more; {
//	    result := perform(step)
//	    step, more = program.Next(result)
//	}
//
// Arrivals are open-loop: a program's Start does not depend on the progress of
// earlier programs, and latency counts from Start. Equal seeds give equal
// programs. Each program has its own random source, so the order in which a
// driver interleaves programs does not change their steps.
//
// The numbers in profiles.go and deployments.go are assumptions that exercise
// the scheduler, not data from users' sites. Only the numbers of zones and
// services and the order of the link delays come from users.
package workload
