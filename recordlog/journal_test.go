package recordlog

import (
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("Journal", func() {
	var writer *Journal
	now := time.Unix(0, 0)

	ginkgo.BeforeEach(func() {
		var err error
		writer, err = New(DefaultConfig("a/1", rand.New(rand.NewPCG(1, 1))))
		Expect(err).NotTo(HaveOccurred())
		writer.Peek(now)
		writer.ReadDone(now, ReadDone{Request: writer.Ready().Reads[0].Request})
		writer.CatchUp(now)
		writer.ReadDone(now, ReadDone{Request: writer.Ready().Reads[0].Request})
		writer.Claim(now, "a")
		writer.Appended(now, Appended{Request: writer.Ready().Appends[0].Request})
		Expect(writer.IsOpen()).To(BeTrue())
	})

	propose := func() {
		ginkgo.GinkgoHelper()
		_, err := writer.Propose(now, benchmarkPayload)
		Expect(err).NotTo(HaveOccurred())
	}

	ginkgo.It("goes on appending when a read answers with entries that were folded meanwhile", func() {
		propose()
		propose()
		appended := writer.Ready().Appends[0]
		writer.CheckSuperseded(now)
		check := writer.Ready().Reads[0]
		writer.Appended(now, Appended{Request: appended.Request, FirstOffset: 1})
		answer := ReadDone{Request: check.Request, FirstOffset: 1, Entries: appended.Entries[:1], End: 2}
		writer.ReadDone(now, answer)
		propose()
		Expect(writer.Ready().Appends).To(HaveLen(1))
	})

	ginkgo.It("keeps one append in flight and gathers what is proposed meanwhile", func() {
		propose()
		first := writer.Ready().Appends[0]
		for range 10 {
			propose()
		}
		Expect(writer.HasReady()).To(BeFalse())
		writer.Appended(now, Appended{Request: first.Request, FirstOffset: 1})
		ready := writer.Ready()
		Expect(ready.Confirmed).To(Equal([]Confirmed{{Token: 1, Offset: 1}}))
		Expect(ready.Appends[0].Entries).To(HaveLen(10))
	})

	ginkgo.It("repeats an append in doubt with the same headers, after a growing wait", func() {
		propose()
		entries := writer.Ready().Appends[0].Entries
		var waits []time.Duration
		for range 8 {
			at := writer.NextWake()
			writer.Tick(at)
			retry := writer.NextWake()
			waits = append(waits, retry.Sub(at))
			writer.Tick(retry)
			Expect(writer.Ready().Appends[0].Entries).To(Equal(entries))
		}
		Expect(waits[0]).To(BeNumerically("<=", 50*time.Millisecond))
		Expect(waits[7]).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", 2*time.Second)))
	})

	ginkgo.It("finds the last entry whatever part of the stream answers for the tail", func() {
		writer.Peek(now)
		entries := []Entry{claimBy("b/1", 1), claimBy("c/1", 2)}
		tail := writer.Ready().Reads[0]
		Expect(tail.Tail).To(BeTrue())
		writer.ReadDone(now, ReadDone{Request: tail.Request, Entries: entries[:1], End: 2})
		last := writer.Ready().Reads[0]
		Expect(last.From).To(Equal(uint64(1)))
		writer.ReadDone(now, ReadDone{Request: last.Request, FirstOffset: 1, Entries: entries[1:], End: 3})
		seen, known := writer.Peeked()
		Expect(known).To(BeTrue())
		Expect(seen).To(Equal(Tail{End: 3, Last: entries[1]}))
	})

	ginkgo.It("does not take the late answer to an earlier journal of the process for its own", func() {
		propose()
		late := writer.Ready().Appends[0].Request
		later, err := New(writer.config)
		Expect(err).NotTo(HaveOccurred())
		later.Peek(now)
		Expect(later.Ready().Reads[0].Request).NotTo(BeNumerically("~", late, 1000))
	})

	ginkgo.It("reports all findings of its config together", func() {
		_, err := New(Config{RetryMinimum: 2, RetryMaximum: 1})
		for _, finding := range []string{"Writer", "Random", "AppendTimeout", "RetryMaximum", "ReadBatch"} {
			Expect(err).To(MatchError(ContainSubstring(finding)))
		}
	})
})
