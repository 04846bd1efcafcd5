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

// FaultKind tells what a fault of a bench does.
type FaultKind string

// The kinds of fault.
const (
	// FaultCrash stops a back end without notice; its streams break.
	FaultCrash FaultKind = "crash"
	// FaultLeave lets a back end leave: the machine list shows it, and it
	// takes no new work.
	FaultLeave FaultKind = "leave"
	// FaultNetworkPartition loses the messages between the zones From and To.
	FaultNetworkPartition FaultKind = "cut"
	// FaultSlowLinks adds Delay to every message between zones.
	FaultSlowLinks FaultKind = "slow_links"
	// FaultDelayedReports makes an engine's reports and cache events later by Delay;
	// without Target, those of every engine.
	FaultDelayedReports FaultKind = "lagging"
	// FaultHungTool makes a tool service take requests without an answer.
	FaultHungTool FaultKind = "hung_tool"
	// FaultLostReleases loses the messages that release prefixes.
	FaultLostReleases FaultKind = "lost_releases"
	// FaultFlood adds arrivals on Branch, Rate programs a second.
	FaultFlood FaultKind = "flood"
	// FaultLostAnswers lets a tool service act and lose its answers.
	FaultLostAnswers FaultKind = "lost_answers"
)

// Fault is one thing that goes wrong in a bench. It ends after For, if that is
// set; a crashed engine is then back, empty. A leave lasts to the end, and a
// flood must have an end.
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

// validate says what is wrong with a fault.
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
			findings = append(findings, errors.New("branch, rate, for: want a known branch, a rate and an end"))
		}
	case FaultSlowLinks, FaultLostReleases:
	default:
		findings = append(findings, fmt.Errorf("kind: unknown %q", f.Kind))
	}
	return errors.Join(findings...)
}

// hasMachine reports whether a machine is among others.
func hasMachine(machines []machine.Machine, id machine.ID) bool {
	for _, each := range machines {
		if each.ID == id {
			return true
		}
	}
	return false
}

// scheduleFaults plans the beginning and the end of every fault.
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

// applyFault begins or ends a fault.
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

// scheduleFlood adds the arrivals of one branch, on top of the configured
// programs.
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

// floodSeedOffset keeps a flood's programs apart from those of the run.
const floodSeedOffset = 1 << 32

// arrivalShare is the share of the arrivals that start on a branch.
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

// restartBackend brings a crashed back end back, empty.
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

// stopBackend crashes a back end or lets it leave.
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

// backendZone is the zone of the back end that a call was sent to.
func (s *simulation) backendZone(sent *call) zone.Name {
	if host := s.engineByID[sent.backend]; host != nil {
		return host.machine.Zone
	}
	if host := s.toolByID[sent.backend]; host != nil {
		return host.machine.Zone
	}
	return ""
}
