package emulator_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/emulator"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/schedule"
)

// brokenPolicy is a baseline policy that deliberately violates one invariant.
type brokenPolicy struct {
	schedule.Policy
	machines []machine.Machine
	setOnce  bool
	// frozen makes the policy ignore all machine lists but the first.
	frozen bool
	// change, if set, alters the decisions of the baseline.
	change func(*brokenPolicy, []schedule.Decision) []schedule.Decision
}

// SetBackends stores the machines for isPlacementOn and passes them to the
// baseline.
func (b *brokenPolicy) SetBackends(now time.Time, machines []machine.Machine) {
	if b.frozen && b.setOnce {
		return
	}
	b.setOnce = true
	b.machines = machines
	b.Policy.SetBackends(now, machines)
}

// Ready returns the decisions of the baseline after change.
func (b *brokenPolicy) Ready(now time.Time) []schedule.Decision {
	decisions := b.Policy.Ready(now)
	if b.change != nil {
		decisions = b.change(b, decisions)
	}
	return decisions
}

// isPlacementOn reports whether a decision places a call on a machine of the kind.
func (b *brokenPolicy) isPlacementOn(decision schedule.Decision, kind machine.Kind) bool {
	for _, each := range b.machines {
		if each.ID == decision.Backend {
			return decision.Action == schedule.ActionPlace && each.Kind == kind
		}
	}
	return false
}

// ignoreZones places every tool call on depot-events-1, whatever its zone.
func ignoreZones(b *brokenPolicy, decisions []schedule.Decision) []schedule.Decision {
	for i, decision := range decisions {
		if b.isPlacementOn(decision, machine.KindTool) {
			decisions[i].Backend = "depot-events-1"
		}
	}
	return decisions
}

// placeTwice emits every decision twice.
func placeTwice(_ *brokenPolicy, decisions []schedule.Decision) []schedule.Decision {
	return append(decisions, decisions...)
}

// refuseAfterPlace refuses every call that it has just placed.
func refuseAfterPlace(_ *brokenPolicy, decisions []schedule.Decision) []schedule.Decision {
	all := decisions
	for _, decision := range decisions {
		all = append(all, schedule.Decision{
			Action: schedule.ActionRefuse, Call: decision.Call, Error: api.Refuse(api.CodeOverloaded, "broken"),
		})
	}
	return all
}

// dropEverySeventh returns a change that drops every seventh decision.
func dropEverySeventh() func(*brokenPolicy, []schedule.Decision) []schedule.Decision {
	count := 0
	return func(_ *brokenPolicy, decisions []schedule.Decision) []schedule.Decision {
		var kept []schedule.Decision
		for _, decision := range decisions {
			if count++; count%7 != 0 {
				kept = append(kept, decision)
			}
		}
		return kept
	}
}

var _ = Describe("The checker of a bench", func() {
	DescribeTable("names the promise that a policy breaks, and no other",
		func(promise string, frozen bool, change func(*brokenPolicy, []schedule.Decision) []schedule.Decision) {
			result := bench("koudeketting", func(config *emulator.BenchConfig) {
				config.Policies = []string{"broken"}
				config.Programs = 80
				config.Faults = []emulator.Fault{{At: 2 * time.Second, Kind: emulator.FaultLeave, Target: "engine-001"}}
				config.TuneScheduler = func(tuned *schedule.Config) { tuned.MaximumHold = time.Minute }
				config.NewPolicy = func(_ string, tuned schedule.Config) (schedule.Policy, error) {
					baseline, err := schedule.NewBaseline(schedule.BaselineRoundRobin, tuned)
					return &brokenPolicy{Policy: baseline, frozen: frozen, change: change}, err
				}
			})
			Expect(result.Policies[0].Violations).To(BeNumerically(">", 0))
			Expect(result.Policies[0].Findings).To(HaveEach(HavePrefix(promise + ": ")))
		},
		Entry("calls outside the permitted zones", "place", false, ignoreZones),
		Entry("calls sent twice", "at most once", false, placeTwice),
		Entry("not_run for what was sent", "true not_run", false, refuseAfterPlace),
		Entry("calls that are never answered", "every call answered", false, dropEverySeventh()),
		Entry("work for a back end that leaves", "leaving", true, nil),
	)

	It("finds no memory held for programs that are gone, though every release is lost", func() {
		result := bench("qasr", func(config *emulator.BenchConfig) {
			config.Policies = []string{schedule.BaselineSticky}
			config.Faults = []emulator.Fault{{At: 0, Kind: emulator.FaultLostReleases}}
		})
		Expect(result.Policies[0].Findings).To(BeEmpty(), "the sweep finds what no release did")
	})
})
