package schedule_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/schedule"
)

// BenchmarkDecision measures enqueueing, placing and finishing one call in
// fleets whose slots are about half used.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{10, 60, 600} {
		b.Run(fmt.Sprintf("replicas=%d", engines), func(b *testing.B) {
			policy := newPolicy("birchwood", testConfig(1))
			driver := newPolicyDriver(policy, engines)
			for i := range engines {
				driver.enqueue(fmt.Sprintf("p-%d", i), "tenant")
			}
			driver.ready()
			names := make([]api.ProgramID, 256)
			for i := range names {
				names[i] = api.ProgramID(fmt.Sprintf("q-%d", i))
			}
			request := schedule.Request{
				Kind: api.CallModel, Model: "small", Tenant: "tenant", Placement: "a",
				PromptTokens: 500, OutputCap: 100, Arrived: start, Enqueued: start, Deadline: start.Add(time.Hour),
			}
			b.ReportAllocs()
			sequence := uint64(0)
			for b.Loop() {
				sequence++
				request.Call = program.CallRef{Program: names[sequence%256], Sequence: sequence}
				policy.Enqueue(start, request)
				for _, decision := range policy.Ready(start) {
					policy.Finished(start, decision.Call, decision.Backend, api.Usage{PromptTokens: 500, OutputTokens: 50}, 500)
				}
			}
		})
	}
}

// BenchmarkTrackedProgram measures the memory of one paused program.
func BenchmarkTrackedProgram(b *testing.B) {
	const programs = 20000
	for b.Loop() {
		policy := newPolicy("birchwood", testConfig(1))
		driver := newPolicyDriver(policy, 10)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range programs {
			driver.enqueue(fmt.Sprintf("program-%d", i), "tenant")
			for _, decision := range policy.Ready(start) {
				policy.Finished(start, decision.Call, decision.Backend, api.Usage{PromptTokens: 500, OutputTokens: 50}, 500)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/programs, "B/program")
		runtime.KeepAlive(policy)
	}
}
