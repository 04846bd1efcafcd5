package cluster

import (
	"time"

	"pgregory.net/rapid"

	"birchwood.example/birchwood/history"
)

// warmUp is the time for a new cluster to discover its machines and claim its
// partitions.
const warmUp = 8 * time.Second

// Property is the stateful test: after any sequence of actions and faults, once
// the cluster has settled, its history violates no guarantee. All random choices
// of the scenario are drawn from t, so that rapid can shrink a failure.
func Property(t *rapid.T) {
	seed := rapid.Uint64Range(0, 1<<32).Draw(t, "seed")
	c, err := New(DefaultConfig(seed))
	if err != nil {
		t.Fatalf("%v", err)
	}
	c.Advance(warmUp)
	t.Repeat(actions(c))
	if err := c.Settle(); err != nil {
		t.Fatalf("%v", err)
	}
	report := history.CheckEvents(c.excusedEvents())
	if len(report.Findings) > 0 {
		t.Fatalf("%s", report)
	}
}

// actions returns the actions of the stateful test by name.
func actions(c *Cluster) map[string]func(*rapid.T) {
	all := map[string]func(*rapid.T){
		"start program": func(t *rapid.T) { c.StartProgram(drawProgram(t, true)) },
		"start another": func(t *rapid.T) { c.StartProgram(drawProgram(t, true)) },
		"advance":       func(t *rapid.T) { c.Advance(drawTime(t)) },
		"advance more":  func(t *rapid.T) { c.Advance(drawTime(t)) },
		"change zones":  func(t *rapid.T) { drawRace(t, c) },
	}
	addNodeFaults(all, c)
	addPlatformFaults(all, c)
	addBackendFaults(all, c)
	return all
}

// addNodeFaults adds the faults of nodes and of the links between zones.
func addNodeFaults(all map[string]func(*rapid.T), c *Cluster) {
	index := func(t *rapid.T) int { return rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node") }
	all["crash"] = func(t *rapid.T) { c.Crash(index(t)) }
	all["restart"] = func(t *rapid.T) {
		if err := c.Restart(index(t)); err != nil {
			t.Fatalf("%v", err)
		}
	}
	all["pause"] = func(t *rapid.T) { c.Pause(index(t)) }
	all["wake"] = func(t *rapid.T) { c.Resume(index(t)) }
	all["stop"] = func(t *rapid.T) { c.Stop(index(t)) }
	all["cut"] = func(t *rapid.T) {
		zones := rapid.IntRange(0, len(c.config.Zones)-1)
		from, to := zones.Draw(t, "from"), zones.Draw(t, "to")
		c.BlockLink(from, to)
		if rapid.Bool().Draw(t, "both ways") {
			c.BlockLink(to, from)
		}
	}
	all["mend"] = func(*rapid.T) { c.UnblockLinks() }
}

// addPlatformFaults adds the faults of the platform.
func addPlatformFaults(all map[string]func(*rapid.T), c *Cluster) {
	all["store down"] = func(*rapid.T) { c.StoreDown() }
	all["store slow"] = func(*rapid.T) { c.StoreSlow() }
	all["store loses answers"] = func(*rapid.T) { c.StoreLosesAnswers() }
	all["store up"] = func(*rapid.T) { c.StoreUp() }
	all["flap"] = func(t *rapid.T) { c.Flap(rapid.Bool().Draw(t, "on")) }
}

// addBackendFaults adds the faults of engines and tool services.
func addBackendFaults(all map[string]func(*rapid.T), c *Cluster) {
	engine := func(t *rapid.T) int { return rapid.IntRange(0, len(c.engines)-1).Draw(t, "engine") }
	all["crash engine"] = func(t *rapid.T) { c.CrashEngine(engine(t)) }
	all["restart engine"] = func(t *rapid.T) { c.RestartEngine(engine(t)) }
	all["hang tool"] = func(t *rapid.T) {
		c.HangTool(rapid.IntRange(0, len(c.tools)-1).Draw(t, "tool"), rapid.Bool().Draw(t, "on"))
	}
	all["engine leaves"] = func(*rapid.T) { c.LeaveEngine(0) }
}

// drawTime draws the time until the next action; short times are more likely.
func drawTime(t *rapid.T) time.Duration {
	spans := []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, time.Second, 5 * time.Second, 20 * time.Second, 60 * time.Second}
	span := rapid.SampledFrom(spans).Draw(t, "span")
	return time.Duration(rapid.IntRange(1, 1000).Draw(t, "part")) * span / 1000
}

// drawProgram draws a program and, if mayHaveAgent is set, possibly the plan of
// a sub-agent.
func drawProgram(t *rapid.T, mayHaveAgent bool) ProgramPlan {
	plan := ProgramPlan{
		Branch:    rapid.SampledFrom(Branches()).Draw(t, "branch"),
		Pipelined: rapid.Bool().Draw(t, "pipelined"),
		Twice:     rapid.IntRange(0, 3).Draw(t, "twice") == 0,
		Pause:     time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond,
	}
	if rapid.IntRange(0, 3).Draw(t, "small budget") == 0 {
		plan.BudgetTokens = rapid.Int64Range(20, 200).Draw(t, "budget")
	}
	for range rapid.IntRange(1, 5).Draw(t, "calls") {
		call := CallPlan{Tool: rapid.Bool().Draw(t, "tool")}
		call.Repeatable = call.Tool && rapid.Bool().Draw(t, "repeatable")
		plan.Calls = append(plan.Calls, call)
	}
	if mayHaveAgent && rapid.IntRange(0, 3).Draw(t, "agent") == 0 {
		agent := drawProgram(t, false)
		agent.Branch = plan.Branch
		agent.BudgetTokens = rapid.Int64Range(20, 400).Draw(t, "carved")
		plan.Agent = &agent
	}
	return plan
}

// drawRace starts one or two concurrent changes of branches' zones.
func drawRace(t *rapid.T, c *Cluster) {
	for range rapid.IntRange(1, 2).Draw(t, "operators") {
		zones := c.config.Zones[:rapid.IntRange(1, len(c.config.Zones)).Draw(t, "zones")]
		path := rapid.SampledFrom(Branches()).Draw(t, "path")
		c.ChangeZones(path, zones, rapid.IntRange(0, len(c.nodes)-1).Draw(t, "through"))
	}
}
