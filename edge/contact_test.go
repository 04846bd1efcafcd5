package edge

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/recordstore"
)

// TestContact follows a store that is reached, lost, and reached again.
func TestContact(t *testing.T) {
	g := NewWithT(t)
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	known := contact{last: start}
	now := start
	for range 10 {
		now = now.Add(time.Second)
		known.note(now)
	}
	g.Expect(known.reached(now.Add(time.Second))).To(BeTrue())
	g.Expect(known.doubtUntil()).To(BeZero())
	lost := now.Add(2 * time.Second)
	g.Expect(known.reached(lost)).To(BeFalse())
	back := now.Add(6 * time.Second)
	known.note(back)
	known.note(back.Add(time.Second))
	g.Expect(known.reached(back.Add(time.Second))).To(BeTrue())
	g.Expect(known.at()).To(Equal(back.Add(time.Second)))
	g.Expect(known.doubtUntil()).To(Equal(back.Add(doubtFor)))
}

// TestContactFails until the store answers again, whatever it answers.
func TestContactFails(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	node.noteStore(errors.New("no answer"))
	g.Expect(node.contactNow().Failing).To(BeTrue())
	node.noteStore(&recordstore.FencedError{Reason: "a higher epoch holds"})
	g.Expect(node.contactNow().Failing).To(BeFalse())
	node.noteStore(context.Canceled)
	g.Expect(node.contactNow().Failing).To(BeFalse(), "it was given up here")
	off := keyNode(g, without(NoticeCuts), false)
	defer off.Kill()
	off.noteStore(errors.New("no answer"))
	g.Expect(off.contactNow().Failing).To(BeFalse())
}
