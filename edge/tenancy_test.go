package edge

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ingress"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/tenant"
)

// tenantsOfTests are two tenants whose clients choose the same ids.
var tenantsOfTests = []*tenant.Tenant{{Name: "acme"}, {Name: "small"}}

// TestAuthenticateScopesIds checks that the ids of each tenant have a scope of their own,
// and so have those of requests without a key. Without tenants in the configuration, ids
// stay as they are.
func TestAuthenticateScopesIds(t *testing.T) {
	g := NewWithT(t)
	without := keyNode(g, Settings{}, false)
	defer without.Kill()
	plain := &requestState{id: "x", program: "p", previous: "y", route: &routing.Route{}}
	g.Expect(without.authenticate(plain, without.routes.Current())).To(BeTrue())
	g.Expect([]string{plain.turnID(), plain.programID(), plain.previousID(), plain.unscopedPreviousID()}).To(Equal([]string{"x", "p", "y", ""}))

	with := keyNode(g, Settings{}, true)
	defer with.Kill()
	public := &requestState{id: "x", program: "p", previous: "y", route: &routing.Route{Public: true}}
	g.Expect(with.authenticate(public, with.routes.Current())).To(BeTrue())
	g.Expect(public.turnID()).NotTo(Equal("x"))
	g.Expect(public.previousID()).NotTo(Equal("y"))
	g.Expect(public.unscopedPreviousID()).To(Equal("y"))
	first := &requestState{id: "x", previous: "y", scope: tenant.ScopeOf(tenantsOfTests[0])}
	second := &requestState{id: "x", previous: "y", scope: tenant.ScopeOf(tenantsOfTests[1])}
	g.Expect(first.turnID()).NotTo(Equal(second.turnID()))
	g.Expect(first.previousID()).NotTo(Equal(second.previousID()))
	g.Expect((&requestState{scope: tenant.ScopeOf(tenantsOfTests[0])}).previousID()).To(BeEmpty())
}

// tenantNode is the state that a node and the owner of a partition keep between requests.
type tenantNode struct {
	node         *Node
	tenantLedger *ledger.Ledger
	now          time.Time
}

func newTenantNode() *tenantNode {
	return &tenantNode{
		node: &Node{chains: newChains(true)}, tenantLedger: ledger.New(ledger.DefaultConfig()), now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
	}
}

// answer is what a tenant can observe from one request.
type answer struct {
	admission ledger.Admission
	chain     string
	cached    string
	held      bool
}

// act serves a request of a tenant, or reports its end, depending on draw.
func (w *tenantNode) act(owner *tenant.Tenant, draw, ids byte) answer {
	r := &requestState{
		exchange: &ingress.Exchange{Body: []byte(owner.Name + strconv.Itoa(int(ids)) + ";")}, id: strconv.Itoa(int(ids % 4)),
		program: strconv.Itoa(int(ids / 4 % 2)), previous: strconv.Itoa(int(ids / 8 % 4)), scope: tenant.ScopeOf(owner),
		session: "s", maxTokens: 100, budget: 350, tokens: 10 * int(ids/32), deadline: w.now.Add(time.Second),
		route: &routing.Route{Retain: true, RetainFor: time.Minute},
	}
	run := &turnRun{node: w.node, request: r, output: []byte("out;")}
	switch draw % 4 {
	case 0:
		turn := w.node.turnOf(r)
		turn.Timeout = time.Second
		admission := w.tenantLedger.Admit(w.now, turn)
		admission.Position = 0
		return answer{admission: admission}
	case 1:
		w.tenantLedger.Settle(w.now, *w.node.settlementOf(r))
		return answer{}
	case 2:
		w.tenantLedger.StoreTurn(w.now, run.storedTurn())
		w.node.chains.put(w.now, r.turnID(), run.chain())
		return answer{}
	default:
		cached, _ := w.node.chains.get(w.now, r.previousID())
		chain, held := w.tenantLedger.Chain(r.previousID())
		return answer{chain: string(chain), held: held, cached: string(cached)}
	}
}

// FuzzTenants checks that a tenant's answers do not depend on what another tenant does with
// the same ids. It serves requests of two tenants together, and the same requests of each
// tenant alone.
func FuzzTenants(f *testing.F) {
	f.Add([]byte{0, 2, 8, 1, 3, 8, 0, 3, 8})
	f.Add([]byte{0, 0, 0, 1, 0, 0, 1, 1, 224, 0, 0, 1, 1, 0, 1})
	f.Add([]byte{0, 2, 0, 1, 2, 1, 0, 3, 8, 1, 3, 0, 1, 0, 64, 0, 1, 64})
	f.Fuzz(func(t *testing.T, steps []byte) {
		together := newTenantNode()
		alone := []*tenantNode{newTenantNode(), newTenantNode()}
		for ; len(steps) >= 3; steps = steps[3:] {
			index := int(steps[0] % 2)
			want := alone[index].act(tenantsOfTests[index], steps[1], steps[2])
			if got := together.act(tenantsOfTests[index], steps[1], steps[2]); got != want {
				t.Fatalf("%s got %+v beside the other tenant, and %+v alone", tenantsOfTests[index].Name, got, want)
			}
		}
	})
}
