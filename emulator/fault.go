package emulator

import (
	"errors"
	"fmt"
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/emulator/enginemodel"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/workload"
	"birchwood.example/birchwood/zone"
)

// FaultKind is the kind of a fault that a bench injects.
type FaultKind string

// The kinds of fault.
const (
	// FaultCrash stops a back end without notice, which interrupts its streams.
	FaultCrash FaultKind = "crash"
	// FaultLeave makes a back end leave: the machine list shows it as leaving,
	// and it accepts no new work.
	FaultLeave FaultKind = "leave"
	// FaultNetworkPartition drops all messages between the zones From and To.
	FaultNetworkPartition FaultKind = "cut"
	// FaultSlowLinks adds Delay to every message between zones.
	FaultSlowLinks FaultKind = "slow_links"
	// FaultDelayedReports adds Delay to the load reports and cache events of the
	// engine Target, or of every engine without Target.
	FaultDelayedReports FaultKind = "lagging"
	// FaultHungTool makes a tool service accept requests without running or
	// answering them.
	FaultHungTool FaultKind = "hung_tool"
	// FaultLostReleases drops the messages that release prefixes of ended
	// programs.
	FaultLostReleases FaultKind = "lost_releases"
	// FaultFlood adds arrivals on Branch at Rate programs per second.
	FaultFlood FaultKind = "flood"
	// FaultLostAnswers makes a tool service run requests and drops its answers.
	FaultLostAnswers FaultKind = "lost_answers"
)

// Fault is a fault that a bench injects at the time At. It ends after For, if that
// is set: a crashed engine then restarts with an empty cache. FaultLeave lasts
// until the end of the run. FaultFlood requires For.
type Fault struct {
	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for"`
	Kind   FaultKind     `yaml:"kind"`
	Target machine.ID    `yaml:"target"`
	From   zone.Name     `yaml:"from"`
	To     zone.Name     `yaml:"to"`
	Delay  time.Duration `yaml:"delay"`
	// Branch and Rate are for FaultFlood.
	Branch contract.Path `yaml:"branch"`
	Rate   float64       `yaml:"rate"`
}

// validate returns all findings on the fault as one error.
func (f Fault) validate(deployment workload.Deployment) error {
	var findings []error
	if f.At < 0 || f.For < 0 || f.Delay < 0 {
		findings = append(findings, errors.New("at, for, delay: must not be negative"))
	}
	engines, tools := hasMachine(deployment.Replicas, f.Target), hasMachine(deployment.Tools, f.Target)
	switch f.Kind {
	case FaultCrash, FaultLeave:
		if !engines && !tools {
			findings = append(findings, fmt.Errorf("target: no back end %q", f.Target))
		}
	case FaultHungTool, FaultLostAnswers:
		if !tools {
			findings = append(findings, fmt.Errorf("target: no tool service %q", f.Target))
		}
	case FaultDelayedReports:
		if f.Target != "" && !engines {
			findings = append(findings, fmt.Errorf("target: no engine %q", f.Target))
		}
	case FaultNetworkPartition:
		if f.From == "" || f.To == "" {
			findings = append(findings, errors.New("from, to: missing"))
		}
	case FaultFlood:
		if _, found := deployment.Branch(f.Branch); !found || f.Rate <= 0 || f.For <= 0 {
			findings = append(findings, errors.New("branch, rate, for: want a known branch, a positive rate and a positive duration"))
		}
	case FaultSlowLinks, FaultLostReleases:
	default:
		findings = append(findings, fmt.Errorf("kind: unknown %q", f.Kind))
	}
	return errors.Join(findings...)
}

// hasMachine reports whether the list contains a machine with the ID.
func hasMachine(machines []machine.Machine, id machine.ID) bool {
	for _, each := range machines {
		if each.ID == id {
			return true
		}
	}
	return false
}

// scheduleFaults schedules the start and the end of every fault.
func (s *simulation) scheduleFaults() {
	for i, fault := range s.config.Faults {
		if fault.Kind == FaultFlood {
			s.scheduleFlood(fault, uint64(i))
			continue
		}
		s.clock.at(epoch.Add(fault.At), func() { s.applyFault(fault, true) })
		if fault.For > 0 {
			s.clock.at(epoch.Add(fault.At+fault.For), func() { s.applyFault(fault, false) })
		}
	}
}

// applyFault starts or ends a fault.
func (s *simulation) applyFault(fault Fault, begins bool) {
	delta := 1
	if !begins {
		delta = -1
	}
	switch fault.Kind {
	case FaultNetworkPartition:
		s.links.blocked[direction{fault.From, fault.To}] += delta
		s.links.blocked[direction{fault.To, fault.From}] += delta
	case FaultSlowLinks:
		s.links.extraDelay += time.Duration(delta) * fault.Delay
	case FaultDelayedReports:
		for _, host := range s.engines {
			if fault.Target == "" || fault.Target == host.machine.ID {
				host.reportDelay += time.Duration(delta) * fault.Delay
			}
		}
	case FaultLostReleases:
		s.dropsReleases = begins
	case FaultHungTool:
		s.toolByID[fault.Target].hung = begins
	case FaultLostAnswers:
		s.toolByID[fault.Target].dropsAnswers = begins
	case FaultCrash, FaultLeave:
		if begins {
			s.stopBackend(fault)
		} else {
			s.restartBackend(fault)
		}
	}
}

// scheduleFlood schedules the arrivals of a flood on one branch, in addition to
// the configured programs.
func (s *simulation) scheduleFlood(fault Fault, index uint64) {
	share := s.arrivalShare(fault.Branch)
	if share == 0 {
		return
	}
	generator := s.config.Deployment.Generate(workload.Options{
		Seed:              s.config.Seed + floodSeedOffset + index,
		ProgramsPerSecond: fault.Rate / share,
		BurstProbability:  -1,
	})
	for {
		program := generator.Next()
		if program.Start >= fault.For {
			return
		}
		if program.Branch != fault.Branch {
			continue
		}
		s.extra++
		program.Start += fault.At
		s.clock.at(epoch.Add(program.Start), func() { s.startProgram(program, nil) })
	}
}

// floodSeedOffset is added to the seed so that a flood draws other programs than
// the run.
const floodSeedOffset = 1 << 32

// arrivalShare returns the share of the arrivals that belong to a branch.
func (s *simulation) arrivalShare(branch contract.Path) float64 {
	share, total := 0.0, 0.0
	for _, profile := range s.config.Deployment.Profiles {
		total += profile.Share
		for _, each := range profile.Branches {
			if each == branch {
				share += profile.Share / float64(len(profile.Branches))
			}
		}
	}
	return share / total
}

// restartBackend restarts a crashed back end with empty state. It does nothing for
// a back end that left.
func (s *simulation) restartBackend(fault Fault) {
	if fault.Kind != FaultCrash {
		return
	}
	if host := s.engineByID[fault.Target]; host != nil {
		host.unlisted = host.start() != nil
		host.machine.Models = host.model.Models()
	}
	if host := s.toolByID[fault.Target]; host != nil {
		host.down = false
		host.leavingSince = time.Time{}
		host.machine.Status = machine.StatusLive
	}
	s.announceMachines()
}

// stopBackend makes a back end crash or leave.
func (s *simulation) stopBackend(fault Fault) {
	if host := s.engineByID[fault.Target]; host != nil {
		if fault.Kind == FaultCrash {
			host.crash()
			host.unlisted = true
		} else {
			host.machine.Status = machine.StatusLeaving
			host.leavingSince = s.clock.now
			s.clock.after(leavingBound, func() { _ = host.step(enginemodel.Event{Leave: true}) })
		}
		s.announceMachines()
		return
	}
	host := s.toolByID[fault.Target]
	host.down = fault.Kind == FaultCrash
	host.machine.Status = machine.StatusLeaving
	host.leavingSince = s.clock.now
	s.announceMachines()
}

// backendZone returns the zone of the back end that a call was sent to, empty for
// an unknown one.
func (s *simulation) backendZone(sent *call) zone.Name {
	if host := s.engineByID[sent.backend]; host != nil {
		return host.machine.Zone
	}
	if host := s.toolByID[sent.backend]; host != nil {
		return host.machine.Zone
	}
	return ""
}
