package replica_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/replica"
)

// TestNodesOfAZoneShareReplicas checks that at low load the nodes of a zone use the same few
// replicas of a large service. Otherwise each node would have its own prompts prefilled and
// open its own connections.
func TestNodesOfAZoneShareReplicas(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	used := make(map[replica.ID]bool)
	for node := range 20 {
		set := replica.NewSet(replica.DefaultConfig("a"))
		for index := range 2_000 {
			// Each node receives the replicas in a different order.
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

// TestWindowGrowsWithLoad checks that a node uses more replicas once those in the window are
// full, and all of them before it considers the service full.
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
			g.Expect(set.MinUtilisation(now, request)).To(BeNumerically("<", 1), fmt.Sprint(index))
		}
	}
	g.Expect(loads).To(HaveLen(count))
	g.Expect(set.MinUtilisation(now, scaleRequest(0))).To(BeNumerically(">=", 1))
}

// TestRestartedReplica checks that a replica that restarts under the same ID starts without the
// state of the previous process, and that entries of that process are ignored.
func TestRestartedReplica(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	set := replica.NewSet(replica.DefaultConfig("a"))
	former := scaleEntry(0)
	former.Incarnation, former.Cold = 1_000, replica.ColdStatus{Sequence: 40}
	g.Expect(set.Put(now, former)).To(BeTrue())
	set.SetCacheTokens("model", 100_000)
	request := scaleRequest(0)
	set.Began(now, former.ID, request)
	again := former
	again.Incarnation, again.Cold = 2_000, replica.ColdStatus{Remaining: 3 * time.Second, Sequence: 1}
	g.Expect(set.Put(now, again)).To(BeTrue())
	choice, err := set.Select(now, request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(choice.UncachedTokens).To(Equal(replica.Tokens(request.Prompt)))
	g.Expect(choice.Load).To(BeZero())
	g.Expect(set.OwnRequests()).To(BeEmpty())
	g.Expect(set.ColdCount(now)).To(Equal(1))
	former.Status = replica.StatusDraining
	g.Expect(set.Put(now, former)).To(BeFalse())
	held, _ := set.Lookup(former.ID)
	g.Expect(held.Status).To(Equal(replica.StatusReady))
}

// TestChangedService checks that a replica that changes its service is removed from the
// previous one.
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
