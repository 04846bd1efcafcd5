package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/schedule"
	"birchwood.example/birchwood/zone"
)

// The scheduler places a call on the only engine in a zone that the call's
// placement permits.
func Example() {
	config := schedule.DefaultConfig()
	config.Self = "isando"
	config.LinkDelay = func(zone.Name) time.Duration { return time.Millisecond }
	config.Random = rand.New(rand.NewPCG(1, 2))
	scheduler, err := schedule.New(config)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Date(2026, time.January, 1, 8, 0, 0, 0, time.UTC)
	scheduler.SetBackends(now, []machine.Machine{
		{ID: "engine-1", Kind: machine.KindEngine, Zone: "isando", Status: machine.StatusLive, Models: []string{"veld-8b"}, Slots: 16, CacheTokens: 120_000},
		{ID: "engine-2", Kind: machine.KindEngine, Zone: "midrand-a", Status: machine.StatusLive, Models: []string{"veld-8b"}, Slots: 16, CacheTokens: 120_000},
	})
	scheduler.Enqueue(now, schedule.Request{
		Call:         program.CallRef{Program: "isando.0.0000000000000001", Sequence: 1},
		Kind:         api.CallModel,
		Model:        "veld-8b",
		Tenant:       "koudeketting/loggers",
		Placement:    zone.NewPlacement("isando"),
		PromptTokens: 300,
		OutputCap:    32,
		Arrived:      now,
		Enqueued:     now,
		Deadline:     now.Add(time.Minute),
	})
	for _, decision := range scheduler.Ready(now) {
		fmt.Println(decision.Action, decision.Backend, decision.Terms.Reason)
	}
	// Output: place engine-1 cold
}
