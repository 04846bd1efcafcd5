package ledger_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
)

var _ = Describe("Origins of streams", func() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	origin := func(version string) ledger.StreamOrigin {
		return ledger.StreamOrigin{Service: "model", Version: version}
	}

	// appendAll returns the records that are written until none are due, and applies them to a log.
	appendAll := func(l *ledger.Ledger, log map[string]ledger.Record) (written int) {
		for batch := l.Ready(); batch != nil; batch = l.Ready() {
			for _, record := range batch {
				log[record.Key] = record
				written++
			}
			l.BatchCommitted()
		}
		return written
	}
	restored := func(log map[string]ledger.Record) *ledger.Ledger {
		l := ledger.New(ledger.DefaultConfig())
		for _, record := range log {
			Expect(l.Restore(now, record)).To(Succeed())
		}
		l.FinishRestore()
		return l
	}

	It("are known at once, and to a new owner once recorded", func() {
		l, log := ledger.New(ledger.DefaultConfig()), make(map[string]ledger.Record)
		l.BeginStream(now, ledger.Stream{Attempt: "a", Origin: origin("v1")})
		got, known := l.StreamOrigin("a")
		Expect(known).To(BeTrue())
		Expect(got).To(Equal(origin("v1")))
		_, known = restored(log).StreamOrigin("a")
		Expect(known).To(BeFalse())
		Expect(appendAll(l, log)).To(Equal(1))
		got, known = restored(log).StreamOrigin("a")
		Expect(known).To(BeTrue())
		Expect(got).To(Equal(origin("v1")))
	})

	It("share a record with all that began before the same batch", func() {
		l, log := ledger.New(ledger.DefaultConfig()), make(map[string]ledger.Record)
		Expect(l.Pending()).To(BeFalse())
		for index := range 20 {
			l.BeginStream(now, ledger.Stream{Attempt: fmt.Sprint(index), Origin: origin("v1")})
		}
		Expect(l.Pending()).To(BeTrue())
		Expect(appendAll(l, log)).To(Equal(1))
		Expect(l.Pending()).To(BeFalse())
	})

	It("are not known if one attempt was reported with two", func() {
		l, log := ledger.New(ledger.DefaultConfig()), make(map[string]ledger.Record)
		for _, version := range []string{"v1", "v2"} {
			l.BeginStream(now, ledger.Stream{Attempt: "a", Origin: origin(version)})
		}
		_, known := l.StreamOrigin("a")
		Expect(known).To(BeFalse())
		appendAll(l, log)
		next := restored(log)
		next.BeginStream(now, ledger.Stream{Attempt: "a", Origin: origin("v2")})
		_, known = next.StreamOrigin("a")
		Expect(known).To(BeFalse())
	})

	It("stay bounded in memory, in time and in the log", func() {
		l, log := ledger.New(ledger.DefaultConfig()), make(map[string]ledger.Record)
		at := now
		for index := range 60000 {
			at = at.Add(time.Millisecond)
			l.BeginStream(at, ledger.Stream{Attempt: fmt.Sprintf("attempt-%d", index), Origin: origin("v1")})
			if index%40 == 0 {
				appendAll(l, log)
			}
		}
		_, _, origins := l.Counts()
		Expect(origins).To(BeNumerically("<=", 1<<15))
		Expect(len(log)).To(BeNumerically("<=", 512))
		_, known := l.StreamOrigin("attempt-59999")
		Expect(known).To(BeTrue())
		_, known = l.StreamOrigin("attempt-0")
		Expect(known).To(BeFalse())
		_, known = restored(log).StreamOrigin("attempt-40000")
		Expect(known).To(BeTrue())
		l.Tick(at.Add(2 * ledger.StreamLifetime))
		_, _, origins = l.Counts()
		Expect(origins).To(BeZero())
	})

	It("of many streams fit into records, and later owners do not overwrite the newest ones first", func() {
		l, log := ledger.New(ledger.DefaultConfig()), make(map[string]ledger.Record)
		for index := range 2000 {
			l.BeginStream(now, ledger.Stream{Attempt: fmt.Sprintf("%d-%s", index, strings.Repeat("x", 120)), Origin: origin(fmt.Sprintf("v%d", index%3))})
		}
		appendAll(l, log)
		Expect(len(log)).To(BeNumerically(">=", 4))
		for _, record := range log {
			Expect(len(record.Value)).To(BeNumerically("<=", ledger.DefaultConfig().RecordBytes))
		}
		next := restored(log)
		next.BeginStream(now, ledger.Stream{Attempt: "later", Origin: origin("v9")})
		appendAll(next, log)
		last := restored(log)
		for _, attempt := range []string{"later", "1999-" + strings.Repeat("x", 120), "0-" + strings.Repeat("x", 120)} {
			_, known := last.StreamOrigin(attempt)
			Expect(known).To(BeTrue(), attempt)
		}
	})

	It("are in the log when the owner releases the partition", func() {
		l, log := ledger.New(ledger.DefaultConfig()), make(map[string]ledger.Record)
		l.BeginStream(now, ledger.Stream{Attempt: "a", Origin: origin("v1")})
		l.Close(now)
		Expect(l.Pending()).To(BeTrue())
		appendAll(l, log)
		_, known := restored(log).StreamOrigin("a")
		Expect(known).To(BeTrue())
	})

	It("of a damaged record are not known, and the others are", func() {
		l, log := ledger.New(ledger.DefaultConfig()), make(map[string]ledger.Record)
		l.BeginStream(now, ledger.Stream{Attempt: "a", Origin: origin("v1")})
		appendAll(l, log)
		next := ledger.New(ledger.DefaultConfig())
		Expect(next.Restore(now, ledger.Record{Key: "origin/7", Value: []byte("{")})).NotTo(Succeed())
		for _, record := range log {
			Expect(next.Restore(now, record)).To(Succeed())
		}
		_, known := next.StreamOrigin("a")
		Expect(known).To(BeTrue())
	})
})
