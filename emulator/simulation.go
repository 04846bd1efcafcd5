package emulator

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/emulator/enginemodel"
	"birchwood.example/birchwood/emulator/platformmodel"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/schedule"
	"birchwood.example/birchwood/workload"
	"birchwood.example/birchwood/zone"
)

const (
	// machineLag is how late nodes hear that a machine changed.
	machineLag = 2 * time.Second
	// weightTransferTime is what the weight store needs for one model: 16 GB at
	// 2 GB/s.
	weightTransferTime = 8 * time.Second
)

// simulation is the run of one policy.
type simulation struct {
	config  BenchConfig
	policy  string
	random  *rand.Rand
	clock   *clock
	nodes   []*node
	engines []*engineHost
	tools   []*toolHost
	// engineByID and toolByID find the back ends.
	engineByID map[machine.ID]*engineHost
	toolByID   map[machine.ID]*toolHost
	weights    *platformmodel.WeightStore
	links      *links
	measure    *measure
	check      *checker

	// owners finds the node of each program that has not ended.
	owners map[api.ProgramID]*node
	// programs are those that were started, for the ids.
	programs uint64
	// arrived and ended count programs without sub-agents; extra are those
	// that floods add to the configured number.
	arrived, ended, extra int
	// dropsReleases drops the messages that release prefixes.
	dropsReleases bool
	// fence grows with each order to an engine.
	fence uint64
	// dirty are the nodes whose policy had an input at this instant.
	dirty []*node
}

// newSimulation sets up the deployment at the epoch.
func newSimulation(config BenchConfig, policy string, rate float64) (*simulation, error) {
	run := &simulation{
		config:     config,
		policy:     policy,
		random:     rand.New(rand.NewPCG(config.Seed, stableHash(policy))),
		clock:      newClock(),
		engineByID: make(map[machine.ID]*engineHost),
		toolByID:   make(map[machine.ID]*toolHost),
		weights:    platformmodel.NewWeightStore(weightTransferTime),
		links:      newLinks(config.Deployment),
		measure:    newMeasure(),
		check:      newChecker(),
		owners:     make(map[api.ProgramID]*node),
	}
	if err := run.addBackends(); err != nil {
		return nil, err
	}
	if err := run.addNodes(); err != nil {
		return nil, err
	}
	run.clock.after(imbalanceInterval, run.sampleImbalance)
	run.scheduleFaults()
	run.scheduleArrivals(rate)
	return run, nil
}

// stableHash is a stable hash of a name, for seeds and for placing programs.
func stableHash(name string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(name))
	return digest.Sum64()
}

// addBackends starts the engines and tool services.
func (s *simulation) addBackends() error {
	for i, replica := range s.config.Deployment.Replicas {
		host := &engineHost{run: s, seed: uint64(i) + 1, machine: replica, calls: make(map[string]*call)}
		if err := host.start(); err != nil {
			return err
		}
		s.engines = append(s.engines, host)
		s.engineByID[replica.ID] = host
		s.clock.after(sweepInterval, host.sweep)
	}
	for _, service := range s.config.Deployment.Tools {
		host := &toolHost{run: s, machine: service}
		s.tools = append(s.tools, host)
		s.toolByID[service.ID] = host
	}
	return nil
}

// addNodes starts the nodes, each with a policy of its own.
func (s *simulation) addNodes() error {
	for _, place := range s.config.Deployment.Zones {
		for range s.config.NodesPerZone {
			if err := s.addNode(place.Name); err != nil {
				return err
			}
		}
	}
	for _, each := range s.nodes {
		each.policy.SetBackends(s.clock.now, s.machines())
	}
	return nil
}

// addNode starts one node.
func (s *simulation) addNode(in zone.Name) error {
	index := len(s.nodes)
	added := &node{run: s, index: index, zone: in, calls: make(map[callKey]*call)}
	config := schedule.DefaultConfig()
	config.Self = in
	config.LinkDelay = func(to zone.Name) time.Duration { return s.config.Deployment.Delay(in, to) }
	config.Random = rand.New(rand.NewPCG(s.config.Seed, 1000+uint64(index)))
	config.ManagesEngine = func(id machine.ID) bool { return s.engineManager(id) == added }
	if s.config.TuneScheduler != nil {
		s.config.TuneScheduler(&config)
	}
	added.heldLimit = config.MaximumHold + heldReviewInterval
	var err error
	switch {
	case s.config.NewPolicy != nil:
		added.policy, err = s.config.NewPolicy(s.policy, config)
	case s.policy == PolicyBirchwood:
		added.policy, err = schedule.New(config)
	default:
		added.policy, err = schedule.NewBaseline(s.policy, config)
	}
	if err != nil {
		return fmt.Errorf("policy %s: %w", s.policy, err)
	}
	s.nodes = append(s.nodes, added)
	s.clock.after(heldReviewInterval, added.refuseOverdue)
	return nil
}

// engineManager is the node that gives orders to an engine.
func (s *simulation) engineManager(id machine.ID) *node {
	return s.nodes[stableHash(string(id))%uint64(len(s.nodes))]
}

// machines returns the back ends as the machine list shows them.
func (s *simulation) machines() []machine.Machine {
	listed := make([]machine.Machine, 0, len(s.engines)+len(s.tools))
	for _, host := range s.engines {
		if !host.unlisted {
			listed = append(listed, host.machine)
		}
	}
	for _, host := range s.tools {
		listed = append(listed, host.machine)
	}
	return listed
}

// announceMachines tells every node the machines as they are now, late.
func (s *simulation) announceMachines() {
	listed := s.machines()
	s.clock.after(machineLag, func() {
		for _, each := range s.nodes {
			each.policy.SetBackends(s.clock.now, listed)
			each.markDirty()
		}
	})
}

// scheduleArrivals lets the first program arrive; each arrival schedules the
// next, at its intended start (open loop).
func (s *simulation) scheduleArrivals(rate float64) {
	generator := s.config.Deployment.Generate(workload.Options{Seed: s.config.Seed, ProgramsPerSecond: rate})
	var arrive func(next *workload.Program)
	arrive = func(next *workload.Program) {
		s.clock.at(epoch.Add(next.Start), func() {
			s.arrived++
			s.measure.arrive(next.Start)
			if s.arrived < s.config.Programs {
				arrive(generator.Next())
			}
			s.startProgram(next, nil)
		})
	}
	arrive(generator.Next())
}

// settleTime is how long a run goes on after the last program has ended:
// after two sweeps nothing may be held for programs that are gone.
const settleTime = 2*sweepInterval + time.Second

// run performs events until every program has ended.
func (s *simulation) run() {
	for s.ended < s.config.Programs+s.extra && s.clock.step() {
		if s.clock.instantOver() {
			s.flush()
		}
	}
	s.flush()
	finish := s.clock.now
	s.measure.finish(finish)
	s.countEngines()
	deadline := finish.Add(settleTime)
	for len(s.clock.events) > 0 && !s.clock.events[0].at.After(deadline) && s.clock.step() {
		if s.clock.instantOver() {
			s.flush()
		}
	}
	s.check.checkFinalState(s)
}

// flush lets the policies that had an input at this instant decide.
func (s *simulation) flush() {
	for len(s.dirty) > 0 {
		touched := s.dirty
		s.dirty = nil
		for _, each := range touched {
			each.decide()
		}
	}
}

// imbalanceInterval is how often the engines' calls are compared.
const imbalanceInterval = time.Second

// sampleImbalance compares the replicas of each model, and comes again.
func (s *simulation) sampleImbalance() {
	s.clock.after(imbalanceInterval, s.sampleImbalance)
	outstanding := make(map[string][]int)
	for _, host := range s.engines {
		if host.down || host.machine.Status == machine.StatusLeaving {
			continue
		}
		for _, model := range host.machine.Models {
			outstanding[model] = append(outstanding[model], host.model.Outstanding())
		}
	}
	s.measure.sampleImbalance(outstanding)
}

// countEngines adds the engines' counters to the measurements.
func (s *simulation) countEngines() {
	for _, host := range s.engines {
		if host.down {
			continue
		}
		_ = host.model.Step(s.clock.now, enginemodel.Event{})
		host.deliver()
		s.measure.countEngine(host.model)
	}
	total := s.clock.now.Sub(epoch) * time.Duration(len(s.engines))
	s.measure.result.Utilisation = float64(s.measure.busy) / float64(max(total, 1))
}

// result returns the measurements.
func (s *simulation) result() PolicyResult {
	return s.measure.summarise(s.policy, s.check, s.config.KeepLatencies)
}
