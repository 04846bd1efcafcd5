package edge

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/recordstore"
)

// TestContact checks that the store counts as reached, lost and reached again according to
// its answers, and removals are deferred after the outage.
func TestContact(t *testing.T) {
	g := NewWithT(t)
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	contact := storeContact{last: start}
	now := start
	for range 10 {
		now = now.Add(time.Second)
		contact.recordAnswer(now)
	}
	g.Expect(contact.reached(now.Add(time.Second))).To(BeTrue())
	g.Expect(contact.deferRemovalsUntil()).To(BeZero())
	lost := now.Add(2 * time.Second)
	g.Expect(contact.reached(lost)).To(BeFalse())
	back := now.Add(6 * time.Second)
	contact.recordAnswer(back)
	contact.recordAnswer(back.Add(time.Second))
	g.Expect(contact.reached(back.Add(time.Second))).To(BeTrue())
	g.Expect(contact.lastAnswer()).To(Equal(back.Add(time.Second)))
	g.Expect(contact.deferRemovalsUntil()).To(Equal(back.Add(removalDeferral)))
}

// TestContactFails checks that the contact counts as failing until the store answers again,
// with whatever result.
func TestContactFails(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	node.recordStoreCall(errors.New("no answer"))
	g.Expect(node.contactNow().Failing).To(BeTrue())
	node.recordStoreCall(&recordstore.FencedError{Reason: "a higher epoch holds"})
	g.Expect(node.contactNow().Failing).To(BeFalse())
	node.recordStoreCall(context.Canceled)
	g.Expect(node.contactNow().Failing).To(BeFalse(), "it was given up here")
	off := keyNode(g, without(DetectIsolationEarly), false)
	defer off.Kill()
	off.recordStoreCall(errors.New("no answer"))
	g.Expect(off.contactNow().Failing).To(BeFalse())
}
