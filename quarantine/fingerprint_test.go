package quarantine_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/quarantine"
)

var _ = Describe("A fingerprint", func() {
	base := quarantine.Identity{Tenant: "t", Program: "a", Route: "r", Method: "POST", Target: "/x?y", Previous: "p", Body: []byte("body")}

	It("is the same for all tries of a request", func() {
		again := base
		again.Body = []byte("body")
		Expect(again.Fingerprint()).To(Equal(base.Fingerprint()))
	})

	It("differs with each field, and between fields that run together", func() {
		seen := map[quarantine.Fingerprint]bool{base.Fingerprint(): true}
		for _, change := range []func(*quarantine.Identity){
			func(i *quarantine.Identity) { i.Tenant = "u" },
			func(i *quarantine.Identity) { i.Program = "b" },
			func(i *quarantine.Identity) { i.Route = "s" },
			func(i *quarantine.Identity) { i.Method = "GET" },
			func(i *quarantine.Identity) { i.Target = "/x" },
			func(i *quarantine.Identity) { i.Previous = "" },
			func(i *quarantine.Identity) { i.Body = nil },
			func(i *quarantine.Identity) { i.Tenant, i.Program = "ta", "" },
			func(i *quarantine.Identity) { i.Previous, i.Body = "", []byte("pbody") },
		} {
			other := base
			change(&other)
			Expect(seen).NotTo(HaveKey(other.Fingerprint()))
			seen[other.Fingerprint()] = true
		}
	})

	It("is written as text and read back", func() {
		text, err := base.Fingerprint().MarshalText()
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(HaveLen(16))
		var read quarantine.Fingerprint
		Expect(read.UnmarshalText(text)).To(Succeed())
		Expect(read).To(Equal(base.Fingerprint()))
		Expect(read.UnmarshalText([]byte("no digits"))).To(MatchError(ContainSubstring("16 hexadecimal digits")))
	})
})
