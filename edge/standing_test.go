package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/tenant"
)

// TestOrderBySlack checks that a turn's urgency depends on its program's slack within the
// band of its priority, or on the priority alone if the mechanism is switched off.
func TestOrderBySlack(t *testing.T) {
	g := NewWithT(t)
	full := replica.Choice{Entry: replica.Entry{Slots: 4}, Load: 4}
	shares := []routing.Share{{Service: "engine", Weight: 1}}
	table := routing.NewTable(1, []routing.Route{
		{Name: "first", Host: "a", PathPrefix: "/", Shares: shares}, {Name: "second", Host: "b", PathPrefix: "/", Shares: shares, Priority: 1},
	}, []routing.Service{{Name: "engine"}}, routing.Limits{})
	started := func(left time.Duration) *requestState {
		return &requestState{
			route: table.Match("b", "/"), service: "engine", previous: "t", finishBy: time.Now().Add(left), expectedRemaining: time.Second, choice: full,
		}
	}
	node := &Node{scheduling: newScheduling()}
	idle := started(0)
	idle.choice.Load = 3
	g.Expect(node.urgency(idle, table)).To(Equal(1), "a place is free")
	g.Expect(node.urgency(started(time.Second+50*time.Millisecond), table)).To(Equal(1))
	g.Expect(node.urgency(started(0), table)).To(BeNumerically(">", 1))
	g.Expect(node.urgency(&requestState{route: table.Match("a", "/"), service: "engine"}, table)).To(BeZero())
	node.settings = without(OrderBySlack)
	g.Expect(node.urgency(started(0), table)).To(Equal(1))
}

// TestBandsCountTenants checks that the priorities of tenants have bands as well.
func TestBandsCountTenants(t *testing.T) {
	g := NewWithT(t)
	table := routing.NewTable(1, nil, []routing.Service{{Name: "engine"}}, routing.Limits{})
	directory, err := tenant.NewDirectory([]tenant.Tenant{{Name: "a", Priority: 3, Keys: []string{"x", "y"}}, {Name: "b", Priority: 7, Keys: []string{"z"}}})
	g.Expect(err).NotTo(HaveOccurred())
	table.Tenants = directory
	node := &Node{scheduling: newScheduling()}
	late := time.Now().Add(-time.Second)
	full := replica.Choice{Entry: replica.Entry{Slots: 4}, Load: 4}
	urgent := &requestState{route: &routing.Route{Priority: 9}, tenant: &tenant.Tenant{Priority: 3}, service: "engine", finishBy: late, choice: full}
	other := &requestState{route: &routing.Route{}, tenant: &tenant.Tenant{Priority: 7}, service: "engine", finishBy: late, choice: full}
	g.Expect(node.urgency(urgent, table)).To(Equal(6))
	g.Expect(node.urgency(other, table)).To(Equal(9))
}
