package soak

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"birchwood.example/birchwood/platform/standin"
	"birchwood.example/birchwood/soak/promise"
)

// How strong the faults are.
const (
	slowStore     = 250 * time.Millisecond
	storeAnswer   = 4 * time.Millisecond
	slowReplica   = 60 * time.Millisecond
	answersLost   = 20
	answersFaulty = 12
	// leaving is how long a replica that leaves serves on: longer than nodes may go on
	// sending to it.
	leaving = 5 * time.Second
	// stopPatience is how long a node may take to stop in order.
	stopPatience = nodeGrace + 2*time.Second
)

// disturb brings the faults about, each at its time.
func (s *soak) disturb(ctx context.Context) {
	var running sync.WaitGroup
	for _, fault := range s.options.Faults {
		running.Go(func() {
			at := time.Duration(fault.AtMS) * time.Millisecond
			if pause(ctx, at-time.Since(s.begun)) {
				s.carryOut(ctx, fault)
			}
		})
	}
	running.Wait()
}

// carryOut brings one fault about and ends it.
func (s *soak) carryOut(ctx context.Context, fault Fault) {
	span := time.Duration(fault.ForMS) * time.Millisecond
	nodes, replicas := s.nodesOf(fault), s.replicasOf(fault)
	scopes := scopesOf(fault.Kind, nodes, replicas)
	s.seeing.Lock()
	s.print(fmt.Sprintf("%6.1fs %s %s for %.1fs", time.Since(s.begun).Seconds(), fault.Kind, strings.Join(namesOf(nodes, replicas), " "), span.Seconds()))
	s.seeing.Unlock()
	for _, scope := range scopes {
		s.see(promise.Disturbed{Scope: scope, Begin: true})
	}
	switch fault.Kind {
	case Kill, Stop, KillAll:
		s.restart(ctx, fault.Kind, nodes, span)
	case ReplicaDrain, ReplicaKill:
		s.replace(ctx, fault.Kind, replicas)
	case Reload:
		reload(ctx, nodes, span)
	default:
		s.apply(fault.Kind, nodes, replicas, 1)
		pause(ctx, span)
		s.apply(fault.Kind, nodes, replicas, -1)
	}
	for _, scope := range scopes {
		s.see(promise.Disturbed{Scope: scope})
	}
}

// nodesOf returns the nodes that a fault hits.
func (s *soak) nodesOf(fault Fault) []*process {
	var found []*process
	for index, one := range s.processes {
		hit := false
		for _, target := range fault.Targets {
			switch fault.Kind {
			case Pause, Kill, Stop, Reload, StoreSilent, StoreOneWay, StoreReset, ClientReset:
				hit = hit || target == index
			case ZoneCut:
				hit = hit || target == one.zone
			}
		}
		hit = hit || fault.Kind == KillAll || fault.Kind == StoreMute || fault.Kind == StoreRefuses && index%refusedNodes == 0
		if hit {
			found = append(found, one)
		}
	}
	return found
}

// replicasOf returns the replicas that a fault hits.
func (s *soak) replicasOf(fault Fault) []*standin.Replica {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []*standin.Replica
	for index, one := range s.replicas {
		for _, target := range fault.Targets {
			switch fault.Kind {
			case ReplicaDrain, ReplicaKill, ReplicaFault, ReplicaSlow:
				if target == index {
					found = append(found, one)
				}
			case ZoneCut:
				if one.Zone == zones[target] {
					found = append(found, one)
				}
			}
		}
	}
	return found
}

// scopesOf names what a fault disturbs. A replica that leaves in order, and settings
// that are read again, disturb nobody.
func scopesOf(kind Kind, nodes []*process, replicas []*standin.Replica) []string {
	switch kind {
	case StoreDown, StoreSlow, StoreLost, StoreForget, StoreMute:
		return []string{promise.Everything}
	case ReplicaDrain, Reload:
		return nil
	}
	return namesOf(nodes, replicas)
}

func namesOf(nodes []*process, replicas []*standin.Replica) []string {
	var names []string
	for _, one := range nodes {
		names = append(names, one.settings.Node)
	}
	for _, one := range replicas {
		names = append(names, one.ID)
	}
	return names
}

// reloadGap is the time between two signals of a series.
const reloadGap = 50 * time.Millisecond

// reload has nodes read their settings again until a span is over, also while they stop for
// another fault.
func reload(ctx context.Context, nodes []*process, span time.Duration) {
	until := time.Now().Add(span)
	for time.Now().Before(until) && pause(ctx, reloadGap) {
		for _, one := range nodes {
			one.reload()
		}
	}
}

// restart ends nodes and starts them again.
func (s *soak) restart(ctx context.Context, kind Kind, nodes []*process, span time.Duration) {
	var restarting sync.WaitGroup
	for _, one := range nodes {
		restarting.Go(func() {
			if kind == Stop {
				one.signal(syscall.SIGTERM)
				select {
				case <-one.awaitGone():
				case <-time.After(stopPatience):
				case <-ctx.Done():
				}
			}
			one.signal(syscall.SIGKILL)
			<-one.awaitGone()
			if !pause(ctx, span) {
				return
			}
			if err := one.start(); err != nil {
				s.see(promise.Exited{Node: one.settings.Node, Detail: err.Error()})
			}
		})
	}
	restarting.Wait()
}

// replace has replicas leave, in order or at once, and others come.
func (s *soak) replace(ctx context.Context, kind Kind, replicas []*standin.Replica) {
	if kind == ReplicaDrain {
		for _, one := range replicas {
			s.system.List(one, "draining")
			s.see(promise.Drained{Replica: one.ID})
		}
		pause(ctx, leaving)
	}
	for _, one := range replicas {
		if err := s.swap(one); err != nil {
			s.seeing.Lock()
			s.print("replica not replaced: " + err.Error())
			s.seeing.Unlock()
		}
	}
}

// swap ends a replica and starts another in its place, unless another fault did.
func (s *soak) swap(gone *standin.Replica) error {
	s.swapping.Lock()
	defer s.swapping.Unlock()
	s.mutex.Lock()
	place, between := slices.Index(s.replicas, gone), s.proxies[gone.ID]
	s.mutex.Unlock()
	if place < 0 {
		return nil
	}
	s.system.Unlist(gone)
	between.close()
	added, err := s.system.AddReplica(gone.Events > 0)
	if err != nil {
		return errors.Join(err, gone.Close())
	}
	s.mutex.Lock()
	s.replicas[place] = added
	s.mutex.Unlock()
	return gone.Close()
}

// apply begins (1) or ends (-1) a fault that lasts.
func (s *soak) apply(kind Kind, nodes []*process, replicas []*standin.Replica, by int) {
	begins := by > 0
	for _, one := range nodes {
		switch {
		case kind == Pause && begins:
			one.signal(syscall.SIGSTOP)
		case kind == Pause:
			one.signal(syscall.SIGCONT)
		case kind == StoreSilent, kind == ZoneCut:
			one.store.hold(by, onward, back)
		case kind == StoreOneWay:
			one.store.hold(by, back)
		case kind == StoreMute:
			one.store.mute(by)
		case kind == StoreReset:
			one.store.resetAll()
		case kind == ClientReset && begins:
			one.clients.resetAll()
		}
		if kind == ZoneCut {
			one.clients.hold(by, onward, back)
		}
	}
	for _, one := range replicas {
		s.applyToReplica(kind, one, by)
	}
	s.applyToStore(kind, by)
}

func (s *soak) applyToReplica(kind Kind, one *standin.Replica, by int) {
	s.mutex.Lock()
	between := s.proxies[one.ID]
	s.mutex.Unlock()
	switch {
	case kind == ZoneCut:
		between.hold(by, onward, back)
	case kind == ReplicaSlow && by > 0:
		between.setDelay(slowReplica)
	case kind == ReplicaSlow:
		between.setDelay(0)
	case kind == ReplicaFault:
		// What is left of them at the end does not come any more.
		faulty := answersFaulty * max(0, by)
		one.Refuse(faulty)
		one.BreakOff(faulty)
		one.Reset(faulty)
		one.Hang(faulty / answersFaulty)
	}
}

// applyToStore begins the first of the store's faults of a kind, and ends the last.
func (s *soak) applyToStore(kind Kind, by int) {
	s.mutex.Lock()
	s.lasting[kind] += by
	on := s.lasting[kind] > 0
	s.mutex.Unlock()
	store := s.system.Store
	switch kind {
	case StoreDown:
		store.SetDown(on)
	case StoreRefuses:
		store.SetTurnedAway(on)
	case StoreSlow:
		store.SetDelay(map[bool]time.Duration{true: slowStore, false: storeAnswer}[on])
	case StoreLost:
		store.LoseAnswers(map[bool]int{true: answersLost}[on])
	case StoreForget:
		store.Forget()
	}
}
