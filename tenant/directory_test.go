package tenant_test

import (
	"fmt"
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/tenant"
)

var _ = Describe("A directory", func() {
	It("finds the tenant of a key by exact match", func() {
		directory, err := tenant.NewDirectory([]tenant.Tenant{
			{Name: "one", Keys: []string{"key-a", "key-b"}, Priority: 1, Limit: tenant.Limit{Rate: 5, Burst: 2}},
			{Name: "two", Keys: []string{"key-c"}},
			{Name: "none"},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(directory.Count()).To(Equal(3))
		found, known := directory.Lookup("key-b")
		Expect(known).To(BeTrue())
		Expect(*found).To(Equal(tenant.Tenant{Name: "one", Priority: 1, Limit: tenant.Limit{Rate: 5, Burst: 2}}))
		for _, wrong := range []string{"", "key-", "KEY-A", "key-a ", " key-a", "key-a,key-c", "key-d"} {
			_, known := directory.Lookup(wrong)
			Expect(known).To(BeFalse(), "%q", wrong)
		}
	})

	It("holds ten thousand tenants", func() {
		var tenants []tenant.Tenant
		for index := range 10_000 {
			tenants = append(tenants, tenant.Tenant{Name: fmt.Sprint("t-", index), Keys: []string{fmt.Sprint("k-", index)}})
		}
		directory, err := tenant.NewDirectory(tenants)
		Expect(err).NotTo(HaveOccurred())
		found, known := directory.Lookup("k-9999")
		Expect(known).To(BeTrue())
		Expect(found.Name).To(Equal("t-9999"))
	})

	It("is refused if a name would break a header field that replicas get", func() {
		_, err := tenant.NewDirectory([]tenant.Tenant{{Name: "a"}, {Name: "b\r\nX-Hold: 1"}})
		Expect(err).To(MatchError(ContainSubstring("tenants[1].name")))
	})

	It("is refused with every finding and its place, and names no key", func() {
		_, err := tenant.NewDirectory([]tenant.Tenant{
			{Name: "one", Keys: []string{"secret-a", "secret-a"}},
			{Name: "one", Keys: []string{"secret-a"}},
			{Name: "", Keys: []string{""}},
			{Name: "four", Limit: tenant.Limit{Rate: -1, Burst: math.NaN()}},
			{Name: "five", Limit: tenant.Limit{Rate: math.Inf(1)}},
		})
		for _, place := range []string{
			"tenants[1].name", "tenants[1].keys[0]", "tenants[2].name", "tenants[2].keys[0]",
			"tenants[3].rate", "tenants[3].burst", "tenants[4].rate",
		} {
			Expect(err).To(MatchError(ContainSubstring(place)))
		}
		Expect(err.Error()).NotTo(ContainSubstring("secret"))
		Expect(err.Error()).NotTo(ContainSubstring("tenants[0]:"))
	})
})
