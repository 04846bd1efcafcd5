package soak

import (
	"io"
	"net"
	"path/filepath"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

// aScenario returns a scenario whose faults are drawn from the seed.
func aScenario(seed uint64) Scenario {
	return Scenario{Seed: seed, Seconds: 120, Nodes: 12, Replicas: replicaCount}
}

// TestScheduleFollowsFromTheSeed checks that the same seed gives the same schedule, and
// another seed another one.
func TestScheduleFollowsFromTheSeed(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Schedule(aScenario(1))).To(Equal(Schedule(aScenario(1))))
	g.Expect(Schedule(aScenario(1))).NotTo(Equal(Schedule(aScenario(2))))
}

// TestScheduleKeepsToTheRun checks that every fault has existing targets and ends well before
// the end of the run, that fault-free periods of at least the nodes' recovery bound occur,
// and that all kinds of faults are drawn.
func TestScheduleKeepsToTheRun(t *testing.T) {
	g := NewWithT(t)
	kinds := make(map[Kind]bool)
	for seed := range uint64(200) {
		scenario := aScenario(seed)
		end := int64(0)
		faultFreePeriods := 0
		for _, fault := range Schedule(scenario) {
			kinds[fault.Kind] = true
			if fault.Kind == ReplicaDrain {
				// Draining disturbs nothing, and occurs in fault-free periods too.
				g.Expect(fault.AtMS).To(BeNumerically("<", int64(scenario.Seconds)*1000-drainTime.Milliseconds()))
				continue
			}
			if fault.AtMS-end >= bounds.Recovery.Milliseconds() {
				faultFreePeriods++
			}
			end = max(end, fault.AtMS+fault.ForMS)
			g.Expect(end).To(BeNumerically("<=", int64(scenario.Seconds)*1000-burstPauseMS))
			for _, target := range fault.Targets {
				g.Expect(target).To(BeNumerically("<", 12))
			}
		}
		g.Expect(faultFreePeriods).To(BeNumerically(">=", 2))
	}
	g.Expect(kinds).To(HaveLen(len(weights)))
}

// TestSeriesOverlapTheFaultsOfASchedule checks that series follow from the seed, keep to the
// faults that they accompany, and that steps on one node overlap.
func TestSeriesOverlapTheFaultsOfASchedule(t *testing.T) {
	g := NewWithT(t)
	kinds := make(map[Kind]bool)
	overlaps := 0
	for seed := range uint64(50) {
		scenario := aScenario(seed)
		faults := Schedule(scenario)
		steps := Series(scenario, faults)
		g.Expect(Series(scenario, faults)).To(Equal(steps))
		for index, step := range steps {
			kinds[step.Kind] = true
			g.Expect(step.Targets).NotTo(BeEmpty())
			g.Expect(slices.ContainsFunc(faults, func(fault Fault) bool {
				return step.AtMS >= fault.AtMS && step.AtMS+step.ForMS <= fault.AtMS+fault.ForMS
			})).To(BeTrue())
			if index > 0 && steps[index-1].AtMS+steps[index-1].ForMS > step.AtMS {
				overlaps++
			}
		}
	}
	g.Expect(kinds).To(HaveLen(len(seriesKinds)))
	g.Expect(overlaps).To(BeNumerically(">", 50))
}

// TestRegressionsAreWhole checks that the scenarios of earlier failures are valid and name
// their cause.
func TestRegressionsAreWhole(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("testdata/*.json")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, file := range files {
		read, err := ReadScenario(file)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(read.Cause).NotTo(BeEmpty(), file)
	}
	_, err = ReadScenario("testdata/none.json")
	g.Expect(err).To(HaveOccurred())
	g.Expect((&Scenario{}).validate("x")).To(MatchError(And(ContainSubstring("seconds"), ContainSubstring("nodes"))))
}

// TestProxyHoldsAndResets checks that a proxy holds one direction without the other, mutes
// connections permanently, and resets them.
func TestProxyHoldsAndResets(t *testing.T) {
	g := NewWithT(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = target.Close() }()
	between, err := newProxy(target.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer between.close()
	client, err := net.Dial("tcp", between.address())
	g.Expect(err).NotTo(HaveOccurred())
	server, err := target.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	pass := func(from, to net.Conn, text string) {
		_, err := io.WriteString(from, text)
		g.Expect(err).NotTo(HaveOccurred())
		read := make([]byte, len(text))
		_, err = io.ReadFull(to, read)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(read)).To(Equal(text))
	}
	pass(client, server, "onward")
	pass(server, client, "back")
	// Held answers pass once released; the other direction is not affected.
	between.hold(1, toClient)
	_, err = io.WriteString(server, "held")
	g.Expect(err).NotTo(HaveOccurred())
	pass(client, server, "onward still")
	between.hold(-1, toClient)
	read := make([]byte, len("held"))
	_, err = io.ReadFull(client, read)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(read)).To(Equal("held"))
	// A muted connection stays muted; a new one passes data.
	between.mute(1)
	_, err = io.WriteString(server, "lost")
	g.Expect(err).NotTo(HaveOccurred())
	between.mute(-1)
	again, err := net.Dial("tcp", between.address())
	g.Expect(err).NotTo(HaveOccurred())
	serverAgain, err := target.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	pass(again, serverAgain, "onward")
	pass(serverAgain, again, "back")
	between.resetAll()
	_, err = client.Read(read)
	g.Expect(err).To(HaveOccurred())
}
