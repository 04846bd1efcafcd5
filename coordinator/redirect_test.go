package coordinator_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/tenant"
)

// A fleet whose nodes are stopped and started again one after the other.
const (
	restartNodes   = 60
	restartTenants = 40
	// stopInterval is the time between two stops. A node exits drainTime after its stop
	// begins, and is started again after downTime.
	stopInterval = 300 * time.Millisecond
	drainTime    = 3 * time.Second
	downTime     = 500 * time.Millisecond
	// chargeTimeout is the timeout that package edge uses.
	chargeTimeout = 900 * time.Millisecond
)

// rollingRestart stops and restarts the nodes one after the other while the clients send.
func (c *chargeLoad) rollingRestart(ids []machine.ID) {
	world, begun := c.world, c.world.now
	type stopped struct {
		id machine.ID
		at time.Time
	}
	var draining, down []stopped
	due := func(list []stopped, after time.Duration) bool {
		return len(list) > 0 && world.now.Sub(list[0].at) >= after
	}
	for next := 0; next < len(ids) || len(draining)+len(down) > 0; c.run(50 * time.Millisecond) {
		if next < len(ids) && world.now.Sub(begun) >= time.Duration(next)*stopInterval {
			world.nodes[ids[next]].core.Step(world.now, coordinator.Leave{})
			draining = append(draining, stopped{id: ids[next], at: world.now})
			next++
		}
		if due(draining, drainTime) {
			world.kill(draining[0].id)
			down = append(down, stopped{id: draining[0].id, at: world.now})
			draining = draining[1:]
		}
		if due(down, downTime) {
			world.start(down[0].id)
			world.list()
			down = down[1:]
		}
	}
}

var _ = Describe("Charges during a rolling restart", func() {
	// unanswered returns the share of the requests that no counting node answered in time.
	unanswered := func(configure func(*coordinator.Config)) float64 {
		world := countingFleet(restartNodes, configure)
		var accounts []*tenantLoad
		for index := range restartTenants {
			accounts = append(accounts, &tenantLoad{
				name: fmt.Sprintf("tenant-%d", index), limit: tenant.Limit{Rate: 30, Burst: 30}, version: 1, flow: flow{perSecond: 10},
			})
		}
		sent := newChargeLoad(world, accounts...)
		sent.timeout = chargeTimeout
		sent.rollingRestart(world.ids()[:restartNodes/2])
		requested, unknown := 0, 0
		for _, client := range accounts {
			requested += client.requested
			unknown += client.unknown
		}
		AddReportEntry("unknown of asked", fmt.Sprintf("%d of %d", unknown, requested))
		Expect(sent.overLimit()).To(BeEmpty())
		return float64(unknown) / float64(requested)
	}

	It("are answered by the counting node although views of the fleet differ", func() {
		Expect(unanswered(nil)).To(BeNumerically("<", 0.001))
	})

	It("are lost more often if nodes use only their own view", func() {
		Expect(unanswered(func(config *coordinator.Config) { config.IgnoreRedirects = true })).To(BeNumerically(">", 0.005))
	})
})
