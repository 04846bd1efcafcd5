package tenant_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/tenant"
)

var _ = Describe("A scope", func() {
	one := tenant.ScopeOf(&tenant.Tenant{Name: "one"})
	two := tenant.ScopeOf(&tenant.Tenant{Name: "two"})

	It("leaves ids as they are where there are no tenants", func() {
		Expect(tenant.Scope{}.Qualify("id")).To(Equal("id"))
		Expect(tenant.Scope{}.Unscoped("id")).To(BeEmpty())
	})

	It("distinguishes tenants, requests without a key and unscoped records", func() {
		texts := map[string]bool{}
		for _, scope := range []tenant.Scope{{}, tenant.PublicScope(), one, two} {
			texts[scope.Qualify("id")] = true
		}
		Expect(texts).To(HaveLen(4))
		Expect(one.Unscoped("id")).To(Equal("id"))
		Expect(tenant.PublicScope().Unscoped("id")).To(Equal("id"))
	})

	It("leaves the empty id empty", func() {
		Expect(one.Qualify("")).To(BeEmpty())
	})

	It("gives no client a way to spell another scope's id", func() {
		victim := one.Qualify("id")
		long := one.Qualify(strings.Repeat("x", 300))
		for _, spelled := range []string{victim, long, strings.TrimPrefix(long, "\x1f"), strings.TrimLeft(long, "\x1f")} {
			for _, scope := range []tenant.Scope{{}, tenant.PublicScope(), two} {
				Expect(scope.Qualify(spelled)).NotTo(BeElementOf(victim, long), "%q", spelled)
			}
		}
	})

	It("fits a key of the log, whatever a client sends", func() {
		wide := tenant.ScopeOf(&tenant.Tenant{Name: strings.Repeat("n", 300)})
		for length := 1; length < 600; length++ {
			id := strings.Repeat("i", length)
			for _, scope := range []tenant.Scope{{}, tenant.PublicScope(), one, wide} {
				Expect(len(scope.Qualify(id))).To(BeNumerically("<=", 230))
			}
		}
	})
})

// FuzzScope checks that different IDs and scopes never yield the same text.
func FuzzScope(f *testing.F) {
	f.Add("one", "id", "two", "id")
	f.Add("one", "id", "", "one\x1fid")
	f.Add("", "\x1fid", "one", "id")
	f.Add("a", strings.Repeat("x", 400), "a", strings.Repeat("x", 401))
	f.Add("a", strings.Repeat("x", 400), "b", strings.Repeat("x", 400))
	f.Fuzz(func(t *testing.T, firstName, firstID, secondName, secondID string) {
		for _, name := range []string{firstName, secondName} {
			if _, err := tenant.NewDirectory([]tenant.Tenant{{Name: name}}); name != "" && err != nil {
				t.Skip("no tenant is named so")
			}
		}
		type scopedID struct {
			scope tenant.Scope
			id    string
		}
		var all []scopedID
		for _, id := range []string{firstID, secondID} {
			all = append(all, scopedID{tenant.Scope{}, id}, scopedID{tenant.PublicScope(), id},
				scopedID{tenant.ScopeOf(&tenant.Tenant{Name: firstName}), id}, scopedID{tenant.ScopeOf(&tenant.Tenant{Name: secondName}), id})
		}
		for _, first := range all {
			for _, second := range all {
				same := first.id == second.id && (first.id == "" || first.scope == second.scope)
				bothEmpty := first.id == "" && second.id == ""
				if (first.scope.Qualify(first.id) == second.scope.Qualify(second.id)) != (same || bothEmpty) {
					t.Fatalf("%+v and %+v", first, second)
				}
			}
		}
	})
}
