package soak

import (
	"io"
	"net"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// aScenario is one whose faults are drawn.
func aScenario(seed uint64) Scenario {
	return Scenario{Seed: seed, Seconds: 120, Nodes: 12, Replicas: replicaCount}
}

// TestScheduleFollowsFromTheSeed and from nothing else.
func TestScheduleFollowsFromTheSeed(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Schedule(aScenario(1))).To(Equal(Schedule(aScenario(1))))
	g.Expect(Schedule(aScenario(1))).NotTo(Equal(Schedule(aScenario(2))))
}

// TestScheduleKeepsToTheRun: every fault hits what is there, and leaves calm times
// that are longer than the nodes may take to recover.
func TestScheduleKeepsToTheRun(t *testing.T) {
	g := NewWithT(t)
	kinds := make(map[Kind]bool)
	for seed := range uint64(200) {
		scenario := aScenario(seed)
		end := int64(0)
		calms := 0
		for _, fault := range Schedule(scenario) {
			kinds[fault.Kind] = true
			if fault.Kind == ReplicaDrain {
				// It disturbs nobody, and comes in calm times too.
				g.Expect(fault.AtMS).To(BeNumerically("<", int64(scenario.Seconds)*1000-drainTime.Milliseconds()))
				continue
			}
			if fault.AtMS-end >= bounds.Recovery.Milliseconds() {
				calms++
			}
			end = max(end, fault.AtMS+fault.ForMS)
			g.Expect(end).To(BeNumerically("<=", int64(scenario.Seconds)*1000-calmMS))
			for _, target := range fault.Targets {
				g.Expect(target).To(BeNumerically("<", 12))
			}
		}
		g.Expect(calms).To(BeNumerically(">=", 2))
	}
	g.Expect(kinds).To(HaveLen(len(weights)))
}

// TestRegressionsAreWhole reads the runs that once failed.
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

// TestProxyHoldsAndResets what passes it, one way or both.
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
	// Answers are held, and pass once they are released; what goes onward passes on.
	between.hold(1, toClient)
	_, err = io.WriteString(server, "held")
	g.Expect(err).NotTo(HaveOccurred())
	pass(client, server, "onward still")
	between.hold(-1, toClient)
	read := make([]byte, len("held"))
	_, err = io.ReadFull(client, read)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(read)).To(Equal("held"))
	// A connection that was muted stays so; a new one passes.
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
