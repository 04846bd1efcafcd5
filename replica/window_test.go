package replica_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/replica"
)

// TestNodesOfAZoneShareReplicas has the nodes of a zone send what they have to the same
// few replicas of a large service while there is little of it: each would else have its
// own prompts read and its own connections opened.
func TestNodesOfAZoneShareReplicas(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	used := make(map[replica.ID]bool)
	for node := range 20 {
		set := replica.NewSet(replica.DefaultConfig("a"))
		for index := range 2_000 {
			// Each node hears of the replicas in another order.
			set.Put(now, scaleEntry((index+node*97)%2_000))
		}
		set.SetNodes(100)
		for index := range 20 {
			request := scaleRequest(index)
			request.Draw = float64((node*7+index*3)%100) / 100
			choice, err := set.Select(now, request)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(choice.Entry.Zone).To(Equal("a"))
			used[choice.Entry.ID] = true
		}
	}
	g.Expect(len(used)).To(BeNumerically("<=", 32))
}

// TestWindowGrowsWithLoad has a node under a load that fills every replica of a window
// use more of them, and all before it takes the service for full.
func TestWindowGrowsWithLoad(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	set := replica.NewSet(replica.DefaultConfig("a"))
	const count, slots = 300, 6
	for index := range count {
		set.Put(now, scaleEntry(index))
	}
	loads := make(map[replica.ID]int)
	for index := range count * slots {
		request := scaleRequest(index)
		choice, err := set.Select(now, request)
		g.Expect(err).NotTo(HaveOccurred())
		set.Began(now, choice.Entry.ID, request)
		loads[choice.Entry.ID]++
		if index < count {
			g.Expect(set.Pressure(now, request)).To(BeNumerically("<", 1), fmt.Sprint(index))
		}
	}
	g.Expect(loads).To(HaveLen(count))
	g.Expect(set.Pressure(now, scaleRequest(0))).To(BeNumerically(">=", 1))
}

// TestRestartedReplica has a replica that starts again under its id begin without what was
// known of the former process, and word of that one change nothing.
func TestRestartedReplica(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	set := replica.NewSet(replica.DefaultConfig("a"))
	former := scaleEntry(0)
	former.Incarnation, former.Cold = 1_000, replica.ColdWord{Sequence: 40}
	g.Expect(set.Put(now, former)).To(BeTrue())
	set.SetCacheTokens("model", 100_000)
	request := scaleRequest(0)
	set.Began(now, former.ID, request)
	again := former
	again.Incarnation, again.Cold = 2_000, replica.ColdWord{Left: 3 * time.Second, Sequence: 1}
	g.Expect(set.Put(now, again)).To(BeTrue())
	choice, err := set.Select(now, request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(choice.Missing).To(Equal(replica.Tokens(request.Prompt)))
	g.Expect(choice.Load).To(BeZero())
	g.Expect(set.Own()).To(BeEmpty())
	g.Expect(set.ColdCount(now)).To(Equal(1))
	former.Status = replica.StatusDraining
	g.Expect(set.Put(now, former)).To(BeFalse())
	held, _ := set.Lookup(former.ID)
	g.Expect(held.Status).To(Equal(replica.StatusReady))
}

// TestChangedService has a replica that serves another service than before leave the
// former one.
func TestChangedService(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	set := replica.NewSet(replica.DefaultConfig("a"))
	entry := scaleEntry(0)
	set.Put(now, entry)
	entry.Service = "other"
	set.Put(now, entry)
	_, err := set.Select(now, scaleRequest(0))
	g.Expect(err).To(MatchError(replica.ErrNoReplica))
	g.Expect(set.Count()).To(Equal(1))
}
