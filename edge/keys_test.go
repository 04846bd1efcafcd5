package edge

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/tenant"
)

// keyNode returns a node whose configuration has tenants with keys, or none.
func keyNode(g *WithT, settings Settings, tenants bool) *Node {
	settings.Node, settings.Zone, settings.Partitions = "n", "z", 1
	node, err := New(settings, Adapter{}, quietLogger)
	g.Expect(err).NotTo(HaveOccurred())
	table := routing.NewTable(1, nil, nil, routing.Limits{})
	if tenants {
		table.Tenants, err = tenant.NewDirectory([]tenant.Tenant{{Name: "a", Keys: []string{"k"}}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(node.routes.Update(table)).To(BeTrue())
	return node
}

// TestLeaseOfKeys checks that a lease ends before the operator's bound, and only the newest
// proof counts.
func TestLeaseOfKeys(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{KeyLease: time.Hour}, true)
	defer node.Kill()
	g.Expect(node.leased()).To(BeFalse(), "before any proof")
	now := time.Now()
	node.freshnessProof.record(now.Add(-59 * time.Minute))
	g.Expect(node.leased()).To(BeFalse())
	node.freshnessProof.record(now.Add(-50 * time.Minute))
	g.Expect(node.leased()).To(BeTrue())
	node.freshnessProof.record(now.Add(-55 * time.Minute))
	g.Expect(node.leased()).To(BeTrue(), "an older proof takes nothing away")
}

// TestReadsWithoutWaiting checks that the readers of a zone and nodes without a recent
// proof read the configuration without long polling; all others wait for a change.
func TestReadsWithoutWaiting(t *testing.T) {
	g := NewWithT(t)
	plain := keyNode(g, Settings{}, false)
	defer plain.Kill()
	g.Expect(plain.configurationWait()).To(Equal(configurationWait), "no keys")
	node := keyNode(g, Settings{}, true)
	defer node.Kill()
	g.Expect(node.configurationWait()).To(BeZero(), "no proof yet")
	node.freshnessProof.record(time.Now().Add(time.Hour))
	g.Expect(node.configurationWait()).To(Equal(configurationWait))
	node.roles.Store(&coordinator.Roles{Readers: []machine.Machine{{ID: "n"}}})
	g.Expect(node.configurationWait()).To(BeZero())
	g.Expect(node.configurationPause()).To(Equal(provingPause))
	alone := keyNode(g, Settings{Disabled: []Mechanism{ShareProofs}}, true)
	defer alone.Kill()
	g.Expect(alone.configurationWait()).To(Equal(configurationWait))
}

// TestSwitchesOfTenants checks that mechanisms that are switched off show in the
// coordinator's configuration.
func TestSwitchesOfTenants(t *testing.T) {
	g := NewWithT(t)
	all := coreConfig(Settings{Partitions: 1}, machine.Machine{ID: "n"}, rand.New(rand.NewPCG(1, 2)))
	g.Expect(all.CountLocally).To(BeFalse())
	g.Expect(all.IgnoreRedirects).To(BeFalse())
	g.Expect(all.Tenants).To(Equal(tenant.DefaultConfig()))
	g.Expect(all.Ledger.AfterFailureShare).To(BeNumerically(">", 0))
	without := coreConfig(Settings{Partitions: 1, Disabled: []Mechanism{CountCentrally, RedirectCharges, PreferStartedPrograms, RankRetriesLast, BeginAfterFailure}}, machine.Machine{ID: "n"}, rand.New(rand.NewPCG(1, 2)))
	g.Expect(without.CountLocally).To(BeTrue())
	g.Expect(without.IgnoreRedirects).To(BeTrue())
	g.Expect(without.Tenants.ArrivalOrder).To(BeTrue())
	g.Expect(without.Tenants.RetriesAsNew).To(BeTrue())
	g.Expect(without.Ledger.AfterFailureShare).To(BeZero())
}
