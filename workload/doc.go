// Package workload generates the load of birchwood's deployments: agent
// programs as callers run them, with graphs that nobody knows ahead of time.
//
// A Deployment describes the places, link delays, model replicas, tool
// services and branches of one installation, and the kinds of program that
// its callers start. Generate returns a Generator, which draws programs one
// after another in the order of their intended start. A Program gives its
// steps one at a time: each Next takes what became of the step before and
// draws the next one, so that neither the scheduler nor the driver can look
// ahead.
//
//	deployment, _ := workload.ByName("koudeketting")
//	generator := deployment.Generate(workload.Options{Seed: 7, ProgramsPerSecond: 2})
//	program := generator.Next()
//	for step, more := program.Next(workload.Result{}); more; {
//	    result := perform(step)
//	    step, more = program.Next(result)
//	}
//
// Arrivals are open-loop: a program's Start does not depend on how the ones
// before it fare, and latency counts from Start. Equal seeds give equal
// programs; each program owns a random source, so the order in which drivers
// interleave programs changes nothing.
//
// Every number in profiles.go and deployments.go is this project's own
// assumption about such users, chosen to exercise the scheduler; none of them
// was measured at a user's site. Only the counts of zones and services and
// the order of the link delays are the users'.
package workload
