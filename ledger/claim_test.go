package ledger_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
)

var _ = Describe("Turns of a previous owner that no node claims", func() {
	It("count at their maximum at once, and a later settlement still corrects that", func() {
		stored := storedLog{}
		l := stored.serving(start)
		first := l.Admit(start, smallTurn("a"))
		stored.store(l)
		l = stored.open(start)
		Expect(l.HasInherited()).To(BeTrue())
		Expect(l.LapseUnclaimed(start, nil)).To(Equal(1))
		Expect(l.HasInherited()).To(BeFalse())
		Expect(l.LapseUnclaimed(start, nil)).To(BeZero())
		admission := l.Admit(start, smallTurn("c"))
		Expect(admission.PresumedTokens + admission.OpenTokens).To(Equal(smallMaxTokens))
		l.Settle(start, settlementOf("c", admission, 0))
		l.Settle(start.Add(20*time.Second), settlementOf("a", first, 30))
		Expect(l.Admit(start.Add(20*time.Second), smallTurn("d")).SettledTokens).To(Equal(30))
	})

	It("count with what they used if their node says that they have ended", func() {
		stored := storedLog{}
		l := stored.serving(start)
		first := l.Admit(start, smallTurn("a"))
		stored.store(l)
		l.Settle(start, settlementOf("a", first, 30))
		l = stored.open(start)
		ended := []ledger.Claim{{Turn: "a", Program: "p", Grant: first.Grant, Ended: true, Tokens: 30}, {Turn: "x", Program: "unknown", Ended: true}}
		l.SettleEnded(start, ended)
		Expect(l.LapseUnclaimed(start, ended)).To(BeZero())
		Expect(l.Admit(start, smallTurn("b")).SettledTokens).To(Equal(30))
	})

	It("are not those of this owner", func() {
		stored := storedLog{}
		l := stored.serving(start)
		l.Admit(start, smallTurn("a"))
		Expect(l.HasInherited()).To(BeFalse())
		Expect(l.LapseUnclaimed(start, nil)).To(BeZero())
		Expect(l.Admit(start, smallTurn("b")).OpenTokens).To(Equal(smallMaxTokens))
	})

	It("are not those that a node claims by their ID or by their grant", func() {
		stored := storedLog{}
		l := stored.serving(start)
		first := l.Admit(start, smallTurn("a"))
		stored.store(l)
		storeTurn(stored, l, settlementOf("a", first, 100))
		slot := l.Admit(start, smallTurn("b"))
		l = stored.open(start)
		Expect(l.LapseUnclaimed(start, []ledger.Claim{{Turn: "b", Program: "p", Grant: slot.Grant}})).To(BeZero())
		Expect(l.HasInherited()).To(BeTrue())
		Expect(l.LapseUnclaimed(start, []ledger.Claim{{Turn: "b", Program: "another", Grant: slot.Grant}})).To(Equal(1))
	})
})
