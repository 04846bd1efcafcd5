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
	// machineLag is the delay until nodes see a change of the machine list.
	machineLag = 2 * time.Second
	// weightTransferTime is how long the weight store takes to deliver one model:
	// 16 GB at 2 GB/s.
	weightTransferTime = 8 * time.Second
)

// simulation is the state of one policy's run.
type simulation struct {
	config  BenchConfig
	policy  string
	random  *rand.Rand
	clock   *clock
	nodes   []*node
	engines []*engineHost
	tools   []*toolHost
	// engineByID and toolByID index the back ends.
	engineByID map[machine.ID]*engineHost
	toolByID   map[machine.ID]*toolHost
	weights    *platformmodel.WeightStore
	links      *links
	measure    *measure
	check      *checker

	// owners maps each program that has not ended to the node that owns it.
	owners map[api.ProgramID]*node
	// programs counts the started programs and makes their IDs unique.
	programs uint64
	// arrived and ended count programs, sub-agents excluded; extra is the number
	// of programs that floods add to the configured number.
	arrived, ended, extra int
	// dropsReleases drops the messages that release prefixes.
	dropsReleases bool
	// fence is the fencing token of the last order to an engine.
	fence uint64
	// dirty lists the nodes whose policy received input at the current instant.
	dirty []*node
}

// newSimulation returns a simulation of the deployment, with its clock at epoch.
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

// stableHash returns a hash of a name that is the same in every process. It
// seeds random sources and assigns programs and engines to nodes.
func stableHash(name string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(name))
	return digest.Sum64()
}

// addBackends starts the engines and tool services of the deployment.
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

// addNodes starts the nodes of every zone, each with its own policy instance.
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

// addNode starts one node in the zone.
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

// engineManager returns the node that manages an engine: it sends the load and
// unload orders and sweeps the prefixes.
func (s *simulation) engineManager(id machine.ID) *node {
	return s.nodes[stableHash(string(id))%uint64(len(s.nodes))]
}

// machines returns the back ends that the machine list currently contains.
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

// announceMachines delivers the current machine list to every node after
// machineLag.
func (s *simulation) announceMachines() {
	listed := s.machines()
	s.clock.after(machineLag, func() {
		for _, each := range s.nodes {
			each.policy.SetBackends(s.clock.now, listed)
			each.markDirty()
		}
	})
}

// scheduleArrivals schedules the first arrival. Each arrival schedules the next
// one at its intended start, however long the programs take (open loop).
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

// settleTime is how long a run continues after the last program has ended. After
// two sweeps the engines must hold no prefix of an ended program.
const settleTime = 2*sweepInterval + time.Second

// run processes events until every program has ended, then for settleTime, and
// checks the final state.
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

// flush applies the decisions of all policies that received input at the current
// instant.
func (s *simulation) flush() {
	for len(s.dirty) > 0 {
		touched := s.dirty
		s.dirty = nil
		for _, each := range touched {
			each.decide()
		}
	}
}

// imbalanceInterval is the time between two samples of the load imbalance.
const imbalanceInterval = time.Second

// sampleImbalance records the outstanding calls of the replicas of each model and
// schedules the next sample.
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

// countEngines adds the counters of all running engines to the measurements.
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

// result returns the measurements of the run.
func (s *simulation) result() PolicyResult {
	return s.measure.summarise(s.policy, s.check, s.config.KeepLatencies)
}
