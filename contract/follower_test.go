package contract_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// settingsLog is an in-memory settings stream.
type settingsLog struct{ records [][]byte }

func (l *settingsLog) add(change contract.Change) {
	data, err := json.Marshal(change)
	Expect(err).NotTo(HaveOccurred())
	l.records = append(l.records, data)
}

// answer returns the answer to a read.
func (l *settingsLog) answer(read *contract.FollowerRead) contract.ReadDone {
	end := uint64(len(l.records))
	to := min(end, read.From+uint64(read.Maximum))
	return contract.ReadDone{Request: read.Request, From: read.From, Changes: l.records[read.From:to], End: end}
}

// driver runs one follower and performs its actions.
type driver struct {
	*contract.Follower
	log       *settingsLog
	storeDown bool
	verdicts  []contract.Verdict
	reads     int
	fetches   []machine.ID
}

func newDriver(log *settingsLog, id machine.ID, in zone.Name, all ...zone.Name) *driver {
	config := contract.DefaultFollowerConfig()
	config.Self, config.Zone, config.Zones = id, in, all
	config.ReadMaximum = 2
	config.Random = rand.New(rand.NewPCG(1, xxhash.Sum64String(string(id))))
	follower, err := contract.NewFollower(config)
	Expect(err).NotTo(HaveOccurred())
	return &driver{Follower: follower, log: log}
}

// run ticks the follower and performs its actions until none is left.
func (d *driver) run(now time.Time) {
	d.Tick(now)
	d.perform(now)
}

// perform performs the follower's actions until none is left.
func (d *driver) perform(now time.Time) {
	for {
		ready := d.Ready()
		d.verdicts = append(d.verdicts, ready.Verdicts...)
		if ready.FetchFrom != "" {
			d.fetches = append(d.fetches, ready.FetchFrom)
		}
		if ready.Read == nil {
			return
		}
		d.reads++
		if d.storeDown {
			d.Step(now, contract.ReadDone{Request: ready.Read.Request, From: ready.Read.From, Err: errors.New("down")})
		} else {
			d.Step(now, d.log.answer(ready.Read))
		}
	}
}

// runUntil runs the follower at each of its wake-up times up to end.
func (d *driver) runUntil(end time.Time) {
	for !d.NextWake().After(end) {
		d.run(d.NextWake())
	}
}

var _ = Describe("Follower", func() {
	var log *settingsLog
	var north, south *driver

	BeforeEach(func() {
		log = &settingsLog{}
		log.add(set("root", 0, "", zones("a", "b")))
		for index := range 6 {
			log.add(set(fmt.Sprintf("change-%d", index), contract.Revision(index+1), contract.Path(fmt.Sprintf("branch-%d", index)), contract.Values{}))
		}
		north, south = newDriver(log, "north", "a", "a", "b"), newDriver(log, "south", "b", "a", "b")
		north.run(start)
		south.run(start)
	})

	It("reads the stream in parts to its end and returns each verdict once, in order", func() {
		Expect(north.reads).To(Equal(4))
		Expect(north.verdicts).To(HaveLen(7))
		for index, verdict := range north.verdicts {
			Expect(verdict.Revision).To(Equal(contract.Revision(index + 1)))
		}
		Expect(north.Ready().Changed).To(BeFalse(), "the change was told before")
		Expect(north.Freshness(start)).To(And(HaveField("State", contract.FreshnessFresh), HaveField("MayPlace", true)))
	})

	It("reads at once when a peer reports a newer record, and starts no new work until it has it", func() {
		log.add(set("narrow", 7, "", zones("b")))
		south.runUntil(start.Add(3 * time.Second))
		now := start.Add(time.Second)
		north.ObserveReport(now, south.Report(start.Add(3*time.Second)))
		Expect(north.Freshness(now)).To(And(HaveField("State", contract.FreshnessBehind), HaveField("MayPlace", false), HaveField("Known", uint64(8))))
		north.run(now)
		Expect(north.Tree().Revision()).To(Equal(contract.Revision(8)))
		Expect(north.Freshness(now).MayPlace).To(BeTrue())
	})

	It("does not take a late answer to an abandoned read for a fresh look", func() {
		now := start.Add(2 * time.Second)
		north.Tick(now)
		abandoned := north.Ready().Read
		stale := log.answer(abandoned)
		log.add(set("narrow", 7, "", zones("b")))
		later := now.Add(time.Minute)
		north.Tick(later) // the read times out
		north.Tick(later.Add(time.Second))
		Expect(north.Ready().Read).NotTo(BeNil())
		north.Step(later.Add(time.Second), stale)
		Expect(north.Freshness(later.Add(time.Second)).MayPlace).To(BeFalse())
	})

	It("stays fresh by a peer's report when it alone cannot reach the store", func() {
		north.storeDown = true
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Second) {
			north.runUntil(now)
			south.runUntil(now)
			north.ObserveReport(now, south.Report(now))
		}
		Expect(north.Freshness(start.Add(time.Minute)).State).To(Equal(contract.FreshnessFresh))
	})

	Context("with the store out of reach for longer than the bound", func() {
		var now time.Time

		BeforeEach(func() {
			north.storeDown, south.storeDown = true, true
			now = start.Add(time.Minute)
			north.runUntil(now)
			south.runUntil(now)
		})

		It("goes on when peers in every zone hold the same settings and cannot reach it either", func() {
			north.ObserveReport(now, south.Report(now))
			freshness := north.Freshness(now)
			Expect(freshness.State).To(Equal(contract.FreshnessOutage), freshness.Reason)
			Expect(freshness.MayPlace).To(BeTrue())
			Expect(freshness.Since).To(Equal(start.Add(10 * time.Second)))
		})

		It("starts no new work when it receives no report from any peer", func() {
			Expect(north.Freshness(now)).To(And(HaveField("State", contract.FreshnessUnconfirmed), HaveField("MayPlace", false)))

			alone := newDriver(log, "alone", "a", "a")
			alone.run(start)
			alone.storeDown = true
			alone.runUntil(now)
			Expect(alone.Freshness(now)).To(And(HaveField("MayPlace", false), HaveField("Reason", ContainSubstring("no peer"))))
		})

		It("starts no new work without a report from a whole zone, since that zone may reach the store", func() {
			neighbour := south.Report(now)
			neighbour.Zone = "a"
			north.ObserveReport(now, neighbour)
			Expect(north.Freshness(now)).To(And(HaveField("MayPlace", false), HaveField("Reason", ContainSubstring("zone b"))))
		})

		It("accepts evidence of a remote zone that a peer relayed, while it is within the bound", func() {
			middle := newDriver(log, "middle", "a", "a", "b")
			middle.run(start)
			middle.storeDown = true
			middle.runUntil(now)
			middle.ObserveReport(now, south.Report(now))
			later := now.Add(6 * time.Second)
			north.ObserveReport(later, middle.Report(later))
			Expect(north.Freshness(later).State).To(Equal(contract.FreshnessOutage), north.Freshness(later).Reason)
			north.ObserveReport(later.Add(4*time.Second), middle.Report(later.Add(4*time.Second)))
			Expect(north.Freshness(later.Add(4*time.Second)).MayPlace).To(BeFalse(), "the word of zone b is older than the bound")
		})

		It("starts no new work on the report of a peer that holds older settings, or on an old report", func() {
			newcomer := newDriver(log, "newcomer", "b", "a", "b")
			newcomer.storeDown = true
			single := newDriver(log, "single", "a", "a") // a deployment of one zone
			single.run(start)
			single.storeDown = true
			single.runUntil(now)
			for _, node := range []*driver{north, single} {
				node.ObserveReport(now, newcomer.Report(now))
				Expect(node.Freshness(now).MayPlace).To(BeFalse())
				node.ObserveReport(now, south.Report(now))
				Expect(node.Freshness(now).MayPlace).To(BeTrue())
				Expect(node.Freshness(now.Add(10 * time.Second)).MayPlace).To(BeFalse())
			}
		})

		It("starts no new work when a peer reports a newer record, whatever other peers report", func() {
			report := south.Report(now)
			report.Known++
			north.ObserveReport(now, south.Report(now))
			north.ObserveReport(now, report)
			Expect(north.Freshness(now)).To(And(HaveField("State", contract.FreshnessBehind), HaveField("MayPlace", false)))
		})

		It("starts a node from a peer's snapshot, which then may place as its peers may", func() {
			newcomer := newDriver(log, "newcomer", "a", "a", "b")
			newcomer.storeDown = true
			newcomer.run(now)
			newcomer.ObserveReport(now, south.Report(now))
			Expect(newcomer.Freshness(now).State).To(Equal(contract.FreshnessBehind))
			newcomer.runUntil(now.Add(500 * time.Millisecond))
			Expect(newcomer.fetches).To(ContainElement(machine.ID("south")))

			data, err := south.Export()
			Expect(err).NotTo(HaveOccurred())
			Expect(newcomer.Import(now, data)).To(Succeed())
			Expect(newcomer.Ready().Changed).To(BeTrue())
			newcomer.fetches = nil
			newcomer.runUntil(now.Add(30 * time.Second))
			Expect(newcomer.fetches).To(BeEmpty(), "no peer holds newer settings any more")
			Expect(newcomer.Tree().Revision()).To(Equal(south.Tree().Revision()))
			newcomer.ObserveReport(now, south.Report(now))
			newcomer.ObserveReport(now, north.Report(now))
			Expect(newcomer.Freshness(now).State).To(Equal(contract.FreshnessOutage), newcomer.Freshness(now).Reason)
		})

		It("polls with a growing, bounded pause and reads at once again when the store is back", func() {
			reads := north.reads
			north.runUntil(now.Add(time.Minute))
			Expect(north.reads - reads).To(BeNumerically("~", 20, 6))
			north.storeDown = false
			log.add(set("narrow", 7, "", zones("b")))
			north.runUntil(now.Add(time.Minute + 5*time.Second))
			Expect(north.Tree().Revision()).To(Equal(contract.Revision(8)))
			Expect(north.Freshness(now.Add(time.Minute + 5*time.Second)).State).To(Equal(contract.FreshnessFresh))
		})
	})

	It("never goes back: not for an older snapshot, a shorter stream or a damaged snapshot", func() {
		older, err := south.Export()
		Expect(err).NotTo(HaveOccurred())
		log.add(set("narrow", 7, "", zones("b")))
		north.runUntil(start.Add(3 * time.Second))
		now := start.Add(time.Minute)
		Expect(north.Import(now, older)).To(MatchError(&contract.OlderSnapshotError{Held: 8, Offered: 7}))

		newer, err := north.Export()
		Expect(err).NotTo(HaveOccurred())
		damaged := bytes.Replace(newer, []byte(`"zones":["b"]`), []byte(`"zones":["a"]`), 1)
		Expect(damaged).NotTo(Equal(newer))
		Expect(south.Import(now, damaged)).To(MatchError(ContainSubstring("checksum")))
		Expect(south.Tree().Revision()).To(Equal(contract.Revision(7)))

		log.records = log.records[:3]
		north.Tick(now)
		read := north.Ready().Read
		north.Step(now, contract.ReadDone{Request: read.Request, From: read.From, End: 3})
		Expect(north.Tree().Revision()).To(Equal(contract.Revision(8)))
		Expect(north.Freshness(now).MayPlace).To(BeFalse())
	})

	It("does not read continuously when a peer reports a record that the log service does not return", func() {
		report := south.Report(start)
		report.Known = 9
		north.ObserveReport(start, report)
		reads := north.reads
		north.run(start)
		north.runUntil(start.Add(time.Minute))
		Expect(north.reads - reads).To(BeNumerically("~", 20, 6))
		Expect(north.Freshness(start.Add(time.Minute)).State).To(Equal(contract.FreshnessBehind))
	})

	It("collects everything that is wrong with its configuration", func() {
		_, err := contract.NewFollower(contract.FollowerConfig{FreshnessBound: -1})
		Expect(err).To(MatchError(And(ContainSubstring("PollInterval"), ContainSubstring("ReadMaximum"), ContainSubstring("Random"))))
	})
})
