package replica_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/replica"
)

var _ = Describe("A session whose part of the prompt grows", func() {
	prompt := func(session int) []replica.Part {
		return []replica.Part{{ID: "shared", Tokens: 1000}, {ID: "line", Tokens: session}}
	}

	It("stays where its last turn was served, also when it comes through another node", func() {
		set := newSet(3)
		for index := range 3 {
			set.Began(start, replica.ID([]string{"r0", "r1", "r2"}[index]), &replica.Request{Prompt: prompt(0)[:1]})
		}
		// r1 served the previous turn through another node: 1000 and 900 prompt tokens, and 100
		// generated ones.
		for draw := range 10 {
			choice, err := set.Select(start, &replica.Request{
				Service: "s", Prompt: prompt(1200), Preferred: "r1", PreferredCached: 2000, Draw: float64(draw) / 10,
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(choice.Entry.ID).To(Equal(replica.ID("r1")))
			Expect(choice.UncachedTokens).To(Equal(200))
		}
	})

	It("is cached up to its former length, and what follows it is not", func() {
		set := newSet(1)
		set.Began(start, "r0", &replica.Request{Prompt: prompt(500)})
		choice, err := set.Select(start, &replica.Request{Service: "s", Prompt: append(prompt(800), replica.Part{ID: "helper", Tokens: 50})})
		Expect(err).NotTo(HaveOccurred())
		Expect(choice.UncachedTokens).To(Equal(350))
		choice, err = set.Select(start, &replica.Request{Service: "s", Prompt: append(prompt(400), replica.Part{ID: "helper", Tokens: 50})})
		Expect(err).NotTo(HaveOccurred())
		Expect(choice.UncachedTokens).To(Equal(50))
	})
})
