package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/schedule"
	"birchwood.example/birchwood/zone"
)

// policyNames lists all policies. Each has to follow the rules below.
var policyNames = []string{"birchwood", schedule.BaselineRoundRobin, schedule.BaselineLeastLoaded, schedule.BaselineSticky}

// start is the time of the first input in every test.
var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// testConfig returns a complete configuration for a node in zone a.
func testConfig(seed uint64) schedule.Config {
	config := schedule.DefaultConfig()
	config.Self = "a"
	config.LinkDelay = func(name zone.Name) time.Duration {
		if name == "a" {
			return 100 * time.Microsecond
		}
		return time.Millisecond
	}
	config.Random = rand.New(rand.NewPCG(seed, seed))
	return config
}

// newPolicy returns the named policy with the given configuration.
func newPolicy(name string, config schedule.Config) schedule.Policy {
	var policy schedule.Policy
	var err error
	if name == "birchwood" {
		policy, err = schedule.New(config)
	} else {
		policy, err = schedule.NewBaseline(name, config)
	}
	if err != nil {
		panic(err)
	}
	return policy
}

// oracle records the inputs of a policy and checks each of its decisions against
// them.
type oracle struct {
	policy   schedule.Policy
	now      time.Time
	machines []machine.Machine
	held     map[program.CallRef]schedule.Request
	placed   map[program.CallRef]machine.ID
	sequence uint64
}

func (o *oracle) setBackends(t *rapid.T) {
	o.machines = nil
	for i := range rapid.IntRange(0, 6).Draw(t, "backends") {
		entry := machine.Machine{
			ID:     machine.ID(fmt.Sprintf("m%d", i)),
			Zone:   rapid.SampledFrom([]zone.Name{"a", "b", "c"}).Draw(t, "zone"),
			Status: rapid.SampledFrom([]machine.Status{machine.StatusLive, machine.StatusLive, machine.StatusLeaving}).Draw(t, "status"),
		}
		if rapid.Bool().Draw(t, "engine") {
			entry.Kind, entry.Slots, entry.CacheTokens = machine.KindEngine, 2, 10000
			entry.Models = rapid.SliceOfDistinct(rapid.SampledFrom([]string{"small", "large"}), rapid.ID).Draw(t, "models")
		} else {
			entry.Kind, entry.Tools = machine.KindTool, []string{"notify"}
		}
		o.machines = append(o.machines, entry)
	}
	o.policy.SetBackends(o.now, o.machines)
}

func (o *oracle) enqueue(t *rapid.T) {
	o.sequence++
	request := schedule.Request{
		Call:   program.CallRef{Program: api.ProgramID(fmt.Sprintf("p%d", o.sequence%7)), Sequence: o.sequence},
		Kind:   api.CallModel,
		Model:  rapid.SampledFrom([]string{"small", "large"}).Draw(t, "model"),
		Tenant: rapid.SampledFrom([]string{"triage", "audit"}).Draw(t, "tenant"),
		Placement: zone.NewPlacement(rapid.SliceOfNDistinct(
			rapid.SampledFrom([]zone.Name{"a", "b", "c"}), 1, 3, rapid.ID).Draw(t, "placement")...),
		Priority:       rapid.IntRange(0, 3).Draw(t, "priority"),
		PromptTokens:   rapid.IntRange(1, 5000).Draw(t, "prompt"),
		OutputCap:      200,
		AttainedTokens: int64(rapid.IntRange(0, 50000).Draw(t, "attained")),
		Arrived:        o.now,
		Enqueued:       o.now,
		Deadline:       o.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "deadline")) * time.Second),
	}
	if rapid.Bool().Draw(t, "tool") {
		request.Kind, request.Model, request.Tool = api.CallTool, "", "notify"
	}
	if rapid.IntRange(0, 4).Draw(t, "retried") == 0 {
		request.Avoid = []machine.ID{machine.ID(fmt.Sprintf("m%d", rapid.IntRange(0, 5).Draw(t, "avoid")))}
	}
	o.held[request.Call] = request
	o.policy.Enqueue(o.now, request)
}

// withdraw withdraws the oldest held call, if there is one.
func (o *oracle) withdraw(t *rapid.T) {
	call, ok := oldestCall(o.held)
	if !ok {
		return
	}
	if !o.policy.Withdraw(call) {
		t.Fatalf("held call %v could not be withdrawn", call)
	}
	delete(o.held, call)
}

func (o *oracle) finish(t *rapid.T) {
	call, ok := oldestCall(o.placed)
	if !ok {
		return
	}
	usage := api.Usage{PromptTokens: 100, OutputTokens: rapid.IntRange(0, 200).Draw(t, "output")}
	o.policy.Finished(o.now, call, o.placed[call], usage, rapid.IntRange(0, 5000).Draw(t, "resident"))
	delete(o.placed, call)
}

func (o *oracle) observe(t *rapid.T) {
	o.policy.ObserveLoad(o.now, schedule.Load{
		Backend:      machine.ID(fmt.Sprintf("m%d", rapid.IntRange(0, 6).Draw(t, "reporter"))),
		At:           o.now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "lag")) * time.Millisecond),
		Running:      rapid.IntRange(0, 3).Draw(t, "running"),
		Queued:       rapid.IntRange(0, 3).Draw(t, "queued"),
		CachedTokens: rapid.IntRange(0, 10000).Draw(t, "cached"),
	})
}

func (o *oracle) endOrEvict(t *rapid.T) {
	owner := api.ProgramID(fmt.Sprintf("p%d", rapid.IntRange(0, 6).Draw(t, "owner")))
	if rapid.Bool().Draw(t, "ended") {
		o.policy.ProgramEnded(o.now, owner)
		return
	}
	o.policy.Evicted(o.now, owner, machine.ID(fmt.Sprintf("m%d", rapid.IntRange(0, 5).Draw(t, "evictor"))))
}

func (o *oracle) advance(t *rapid.T) {
	o.now = o.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "step")) * time.Millisecond)
}

// checkDecisions reads the decisions that are due and checks each of them. While
// calls are held, the policy must also have a next wake in the future.
func (o *oracle) checkDecisions(t *rapid.T) {
	for _, decision := range o.policy.Ready(o.now) {
		switch decision.Action {
		case schedule.ActionPlace:
			o.checkPlace(t, decision)
		case schedule.ActionRefuse:
			o.checkRefuse(t, decision)
		}
	}
	if wake := o.policy.NextWake(); len(o.held) > 0 && (wake.IsZero() || !wake.After(o.now)) {
		t.Fatalf("%d calls held, but the next wake is %v at %v", len(o.held), wake, o.now)
	}
}

func (o *oracle) checkPlace(t *rapid.T, decision schedule.Decision) {
	request, ok := o.held[decision.Call]
	if !ok {
		t.Fatalf("%v placed, but it is not held", decision.Call)
	}
	position := slices.IndexFunc(o.machines, func(m machine.Machine) bool { return m.ID == decision.Backend })
	if position < 0 {
		t.Fatalf("%v placed on %s, which is not listed", decision.Call, decision.Backend)
	}
	chosen := o.machines[position]
	serves := slices.Contains(chosen.Models, request.Model)
	if request.Kind == api.CallTool {
		serves = slices.Contains(chosen.Tools, request.Tool)
	}
	permitted := request.Placement.Contains(chosen.Zone) && chosen.Status == machine.StatusLive
	if !serves || !permitted || slices.Contains(request.Avoid, chosen.ID) {
		t.Fatalf("%+v placed on %+v", request, chosen)
	}
	if decision.Terms.Feasible < 1 || decision.Terms.Reason == "" {
		t.Fatalf("%v is not explained: %+v", decision.Call, decision.Terms)
	}
	delete(o.held, decision.Call)
	o.placed[decision.Call] = chosen.ID
}

func (o *oracle) checkRefuse(t *rapid.T, decision schedule.Decision) {
	request, ok := o.held[decision.Call]
	if !ok {
		t.Fatalf("%v refused, but it is not held", decision.Call)
	}
	if decision.Error == nil {
		t.Fatalf("%v refused without an error", decision.Call)
	}
	if neverSent := len(request.Avoid) == 0; (decision.Error.Ran == api.RanNotRun) != neverSent {
		t.Fatalf("%v refused with %q after attempts at %v", decision.Call, decision.Error.Ran, request.Avoid)
	}
	delete(o.held, decision.Call)
}

// drain advances the time until no call is held, and fails if that takes longer
// than any deadline.
func (o *oracle) drain(t *rapid.T) {
	limit := o.now.Add(2 * time.Minute)
	for len(o.held) > 0 {
		wake := o.policy.NextWake()
		if wake.IsZero() || wake.After(limit) {
			t.Fatalf("%d calls are never placed or refused", len(o.held))
		}
		o.now = wake
		o.checkDecisions(t)
	}
}

// oldestCall returns the call with the lowest sequence number.
func oldestCall[V any](calls map[program.CallRef]V) (program.CallRef, bool) {
	var smallest program.CallRef
	found := false
	for call := range calls {
		if !found || call.Sequence < smallest.Sequence {
			smallest, found = call, true
		}
	}
	return smallest, found
}

// TestPolicyRules passes random inputs to every policy. No call may be placed on
// a back end that is not feasible for it or after it was withdrawn, and every
// other call has to be placed or refused in the end.
func TestPolicyRules(t *testing.T) {
	for _, name := range policyNames {
		t.Run(name, rapid.MakeCheck(func(t *rapid.T) {
			o := &oracle{
				policy: newPolicy(name, testConfig(1)), now: start,
				held: map[program.CallRef]schedule.Request{}, placed: map[program.CallRef]machine.ID{},
			}
			o.setBackends(t)
			t.Repeat(map[string]func(*rapid.T){
				"":         o.checkDecisions,
				"backends": o.setBackends,
				"enqueue":  o.enqueue,
				"withdraw": o.withdraw,
				"finish":   o.finish,
				"observe":  o.observe,
				"forget":   o.endOrEvict,
				"advance":  o.advance,
			})
			o.drain(t)
		}))
	}
}
