package schedule_test

import (
	"fmt"
	"time"

	"github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/schedule"
	"birchwood.example/birchwood/zone"
)

// policyDriver passes inputs to a policy and reads its decisions.
type policyDriver struct {
	policy schedule.Policy
	now    time.Time
	calls  uint64
}

// newPolicyDriver returns a driver of the policy, which has the given number of
// engines with the model "small" in zone a.
func newPolicyDriver(policy schedule.Policy, engines int) *policyDriver {
	d := &policyDriver{policy: policy, now: start}
	policy.SetBackends(d.now, engineList(engines))
	return d
}

func engineList(count int) []machine.Machine {
	machines := make([]machine.Machine, count)
	for i := range machines {
		machines[i] = machine.Machine{
			ID: machine.ID(fmt.Sprintf("e%03d", i)), Kind: machine.KindEngine, Zone: "a",
			Status: machine.StatusLive, Models: []string{"small"}, Slots: 2, CacheTokens: 20000,
		}
	}
	return machines
}

// enqueue enqueues a model call of a program, after adjust has changed it.
func (d *policyDriver) enqueue(programID, tenant string, adjust ...func(*schedule.Request)) program.CallRef {
	d.calls++
	request := schedule.Request{
		Call: program.CallRef{Program: api.ProgramID(programID), Sequence: d.calls},
		Kind: api.CallModel, Model: "small", Tenant: tenant, Placement: zone.NewPlacement("a"),
		PromptTokens: 500, OutputCap: 100, Arrived: d.now, Enqueued: d.now, Deadline: d.now.Add(time.Minute),
	}
	for _, each := range adjust {
		each(&request)
	}
	d.policy.Enqueue(d.now, request)
	return request.Call
}

// ready returns the decisions of one call of Ready, by action.
func (d *policyDriver) ready() map[schedule.Action][]schedule.Decision {
	byAction := map[schedule.Action][]schedule.Decision{}
	for _, decision := range d.policy.Ready(d.now) {
		byAction[decision.Action] = append(byAction[decision.Action], decision)
	}
	return byAction
}

// placeExactlyOne expects exactly one placement and no refusal, and returns the
// placement.
func (d *policyDriver) placeExactlyOne() schedule.Decision {
	decisions := d.ready()
	gomega.ExpectWithOffset(1, decisions[schedule.ActionPlace]).To(gomega.HaveLen(1))
	gomega.ExpectWithOffset(1, decisions[schedule.ActionRefuse]).To(gomega.BeEmpty())
	return decisions[schedule.ActionPlace][0]
}

// finish ends a placed call one second later, with resident tokens of its
// prefix in the engine's cache.
func (d *policyDriver) finish(placed schedule.Decision, resident int) {
	d.now = d.now.Add(time.Second)
	usage := api.Usage{PromptTokens: 500, OutputTokens: 50}
	d.policy.Finished(d.now, placed.Call, placed.Backend, usage, resident)
}

func withAttained(tokens int64) func(*schedule.Request) {
	return func(request *schedule.Request) { request.AttainedTokens = tokens }
}

func withPrompt(tokens int) func(*schedule.Request) {
	return func(request *schedule.Request) { request.PromptTokens = tokens }
}
