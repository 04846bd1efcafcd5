package replica_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/evacuation"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/zone"
)

// leaveWithin is the time allowed for leaving a zone.
const leaveWithin = 5 * time.Second

// newZones returns the set of a node in zone "here", with one replica in each of three zones.
// The last zone is in another region.
func newZones(without replica.SelectionFactors) *replica.Set {
	config := replica.DefaultConfig("here")
	config.Regions = zone.Topology{"here": "home", "near": "home", "far": "away"}
	config.LeaveWithin = leaveWithin
	config.Disabled = without
	set := replica.NewSet(config)
	set.SetCacheTokens("s", 100000)
	for _, place := range []string{"here", "near", "far"} {
		set.Put(start, replica.Entry{ID: replica.ID(place), Service: "s", Zone: place, Status: replica.StatusReady, Slots: 4})
	}
	return set
}

// chosen returns the replicas selected for a request over all draws.
func chosen(set *replica.Set, now time.Time, request replica.Request) map[replica.ID]bool {
	found := map[replica.ID]bool{}
	for draw := range 20 {
		request.Draw = float64(draw) / 20
		choice, err := set.Select(now, &request)
		Expect(err).NotTo(HaveOccurred())
		found[choice.Entry.ID] = true
	}
	return found
}

// programLeavingLate returns a program whose departure time is more than 1.5 s after since.
func programLeavingLate(since time.Time) string {
	for number := 0; ; number++ {
		name := fmt.Sprint("program-", number)
		if evacuation.DepartureTime(since, leaveWithin, name).Sub(since) > 1500*time.Millisecond {
			return name
		}
	}
}

var _ = Describe("An evacuated zone", func() {
	It("gets no new requests, whatever the load elsewhere", func() {
		set := newZones(replica.SelectionFactors{})
		set.SetEvacuated(map[zone.Name]time.Time{"here": start})
		for range 100 {
			set.Began(start, "near", &replica.Request{})
			set.Began(start, "far", &replica.Request{})
		}
		Expect(chosen(set, start, replica.Request{Service: "s"})).NotTo(HaveKey(replica.ID("here")))
	})

	It("keeps sessions until their departure time, and each only where its prompt is cached", func() {
		set := newZones(replica.SelectionFactors{})
		set.Put(start, replica.Entry{ID: "beside", Service: "s", Zone: "here", Status: replica.StatusReady, Slots: 4})
		since := start
		request := replica.Request{
			Service: "s", Program: programLeavingLate(since), Preferred: "here", Prompt: []replica.Part{{ID: "a", Tokens: 9000}, {ID: "b", Tokens: 10}},
		}
		set.SetEvacuated(map[zone.Name]time.Time{"here": since})
		Expect(chosen(set, since, request)).To(Equal(map[replica.ID]bool{"here": true}))
		request.Excluded = []replica.ID{"here"}
		Expect(chosen(set, since, request)).NotTo(HaveKey(replica.ID("beside")))
		request.Excluded = nil
		until := evacuation.DepartureTime(since, leaveWithin, request.Program)
		Expect(chosen(set, until, request)).NotTo(HaveKey(replica.ID("here")))
		choice, err := set.Select(until, &request)
		Expect(err).NotTo(HaveOccurred())
		Expect(choice.LeftEvacuatedZone).To(BeTrue())
	})

	It("is left at once by all where no time is given", func() {
		set := replica.NewSet(replica.DefaultConfig("here"))
		for _, place := range []string{"here", "near"} {
			set.Put(start, replica.Entry{ID: replica.ID(place), Service: "s", Zone: place, Status: replica.StatusReady, Slots: 4})
		}
		set.SetEvacuated(map[zone.Name]time.Time{"here": start})
		request := replica.Request{Service: "s", Program: programLeavingLate(start), Preferred: "here"}
		Expect(chosen(set, start, request)).To(Equal(map[replica.ID]bool{"near": true}))
	})

	It("gets no run that only one of its replicas may go on with", func() {
		set := newZones(replica.SelectionFactors{})
		since := start.Add(-leaveWithin)
		set.SetEvacuated(map[zone.Name]time.Time{"near": since})
		_, err := set.Select(start, &replica.Request{Service: "s", Program: "p", Only: "near"})
		Expect(err).To(MatchError(replica.ErrEvacuated))
	})

	It("is distinguished from a service without replicas if it holds all of them", func() {
		set := newZones(replica.SelectionFactors{})
		zones := map[zone.Name]time.Time{"here": start, "near": start, "far": start}
		set.SetEvacuated(zones)
		_, err := set.Select(start, &replica.Request{Service: "s"})
		Expect(err).To(MatchError(replica.ErrEvacuated))
		_, err = set.Select(start, &replica.Request{Service: "none"})
		Expect(err).To(MatchError(replica.ErrNoReplica))
		delete(zones, "near")
		_, err = set.Select(start, &replica.Request{Service: "s"})
		Expect(err).To(MatchError(replica.ErrEvacuated), "the set holds a copy")
		set.SetEvacuated(zones)
		Expect(chosen(set, start, replica.Request{Service: "s"})).To(Equal(map[replica.ID]bool{"near": true}))
	})

	It("does not count for admission", func() {
		set := newZones(replica.SelectionFactors{})
		for range 6 {
			set.Began(start, "near", &replica.Request{})
			set.Began(start, "far", &replica.Request{})
		}
		Expect(set.MinUtilisation(start, &replica.Request{Service: "s"})).To(BeZero())
		set.SetEvacuated(map[zone.Name]time.Time{"here": start, "nowhere": start})
		Expect(set.MinUtilisation(start, &replica.Request{Service: "s"})).To(Equal(1.5))
	})
})

var _ = Describe("Homes of a request", func() {
	constraintTo := func(regions ...zone.Region) zone.Constraint {
		return zone.Constraint{}.Restrict(zone.Topology{"here": "home", "near": "home", "far": "away"}, regions)
	}

	It("bound the choice, whatever the load there", func() {
		set := newZones(replica.SelectionFactors{})
		for range 100 {
			set.Began(start, "far", &replica.Request{})
		}
		request := replica.Request{Service: "s", Preferred: "here", Constraint: constraintTo("away")}
		Expect(chosen(set, start, request)).To(Equal(map[replica.ID]bool{"far": true}))
		request.Only = "here"
		_, err := set.Select(start, &request)
		Expect(err).To(MatchError(replica.ErrOutsideRegions))
		Expect(set.MinUtilisation(start, &replica.Request{Service: "s", Constraint: constraintTo("away")})).To(Equal(25.0))
	})

	It("without a ready replica have an error of their own", func() {
		set := newZones(replica.SelectionFactors{})
		set.Remove("far")
		_, err := set.Select(start, &replica.Request{Service: "s", Constraint: constraintTo("away")})
		Expect(err).To(MatchError(replica.ErrOutsideRegions))
	})
})

var _ = Describe("Another region", func() {
	load := func(set *replica.Set, requests int) {
		for range requests {
			set.Began(start, "here", &replica.Request{})
			set.Began(start, "near", &replica.Request{})
		}
	}

	It("serves only once the wait at home costs more than the way there", func() {
		set := newZones(replica.SelectionFactors{})
		load(set, 4)
		Expect(chosen(set, start, replica.Request{Service: "s"})).NotTo(HaveKey(replica.ID("far")), "the places at home are just taken")
		load(set, 4)
		Expect(chosen(set, start, replica.Request{Service: "s"})).To(Equal(map[replica.ID]bool{"far": true}))
	})

	It("counts as another zone if regions are not taken into account", func() {
		set := newZones(replica.SelectionFactors{Regions: true})
		load(set, 4)
		Expect(chosen(set, start, replica.Request{Service: "s"})).To(Equal(map[replica.ID]bool{"far": true}))
	})

	It("keeps a session whose prompt costs more to prefill again", func() {
		set := newZones(replica.SelectionFactors{})
		prompt := []replica.Part{{ID: "history", Tokens: 9000}, {ID: "new", Tokens: 10}}
		Expect(chosen(set, start, replica.Request{Service: "s", Preferred: "far", Prompt: prompt})).To(Equal(map[replica.ID]bool{"far": true}))
		short := []replica.Part{{ID: "history", Tokens: 900}, {ID: "new", Tokens: 10}}
		Expect(chosen(set, start, replica.Request{Service: "s", Preferred: "far", Prompt: short})).NotTo(HaveKey(replica.ID("far")))
	})
})
