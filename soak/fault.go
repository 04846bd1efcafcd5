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

// Strength of the faults.
const (
	slowStoreDelay    = 250 * time.Millisecond
	storeDelay        = 4 * time.Millisecond
	slowReplicaDelay  = 60 * time.Millisecond
	lostAnswerCount   = 20
	faultyAnswerCount = 12
	// drainTime is how long a draining replica keeps serving. It exceeds the time for which
	// nodes may still send requests to it.
	drainTime = 5 * time.Second
	// releaseInterval is the time between the replacements of two replicas in a release.
	releaseInterval = 400 * time.Millisecond
	// stopTimeout bounds an orderly shutdown of a node. A node that takes longer is killed.
	stopTimeout = nodeGrace + 2*time.Second
)

// injectFaults injects each fault at its scheduled time.
func (s *soak) injectFaults(ctx context.Context) {
	var running sync.WaitGroup
	for _, fault := range s.options.Faults {
		running.Go(func() {
			at := time.Duration(fault.AtMS) * time.Millisecond
			if sleep(ctx, at-time.Since(s.startedAt)) {
				s.inject(ctx, fault)
			}
		})
	}
	running.Wait()
}

// inject runs one fault from beginning to end, and records both as disturbances of its scopes.
func (s *soak) inject(ctx context.Context, fault Fault) {
	span := time.Duration(fault.ForMS) * time.Millisecond
	nodes, replicas := s.targetNodes(fault), s.targetReplicas(fault)
	scopes := disturbedScopes(fault.Kind, nodes, replicas)
	s.checkerMutex.Lock()
	s.print(fmt.Sprintf("%6.1fs %s %s for %.1fs", time.Since(s.startedAt).Seconds(), fault.Kind, strings.Join(namesOf(nodes, replicas), " "), span.Seconds()))
	s.checkerMutex.Unlock()
	for _, scope := range scopes {
		s.record(promise.Disturbance{Scope: scope, Begin: true})
	}
	switch fault.Kind {
	case Kill, Stop, KillAll:
		s.restart(ctx, fault.Kind, nodes, span)
	case ReplicaDrain, ReplicaKill:
		s.replaceReplicas(ctx, fault.Kind, replicas)
	case Release:
		s.release(ctx, replicas)
	case Reload:
		reload(ctx, nodes, span)
	case LethalRequest:
		s.tryLethal(ctx, fault)
	default:
		s.setFault(fault.Kind, nodes, replicas, 1)
		sleep(ctx, span)
		s.setFault(fault.Kind, nodes, replicas, -1)
	}
	for _, scope := range scopes {
		s.record(promise.Disturbance{Scope: scope})
	}
}

// targetNodes returns the nodes that a fault affects.
func (s *soak) targetNodes(fault Fault) []*process {
	var matching []*process
	for index, node := range s.processes {
		hit := false
		for _, target := range fault.Targets {
			switch fault.Kind {
			case Pause, Kill, Stop, Reload, StoreSilent, StoreOneWay, StoreReset, ClientReset:
				hit = hit || target == index
			case ZoneCut:
				hit = hit || target == node.zoneIndex
			}
		}
		hit = hit || fault.Kind == KillAll || fault.Kind == StoreMute || fault.Kind == StoreRefuses && index%secondAddressInterval == 0
		if hit {
			matching = append(matching, node)
		}
	}
	return matching
}

// targetReplicas returns the replicas that a fault affects.
func (s *soak) targetReplicas(fault Fault) []*standin.Replica {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var matching []*standin.Replica
	for index, replica := range s.replicas {
		for _, target := range fault.Targets {
			switch fault.Kind {
			case Release, ReplicaDrain, ReplicaKill, ReplicaFault, ReplicaSlow, ReplicaCut:
				if target == index {
					matching = append(matching, replica)
				}
			case ZoneCut:
				if replica.Zone == zones[target] {
					matching = append(matching, replica)
				}
			}
		}
	}
	return matching
}

// disturbedScopes returns the scopes that a fault disturbs. Draining a replica and reloading
// settings must not disturb anything, so they have none.
func disturbedScopes(kind Kind, nodes []*process, replicas []*standin.Replica) []string {
	switch kind {
	case StoreDown, StoreSlow, StoreLost, StoreForget, StoreMute:
		return []string{promise.AllNodes}
	case Release, ReplicaDrain, Reload:
		return nil
	}
	return namesOf(nodes, replicas)
}

func namesOf(nodes []*process, replicas []*standin.Replica) []string {
	var names []string
	for _, target := range nodes {
		names = append(names, target.settings.Node)
	}
	for _, target := range replicas {
		names = append(names, target.ID)
	}
	return names
}

// reloadPeriod is the interval between two reload signals.
const reloadPeriod = 50 * time.Millisecond

// reload signals the nodes to read their settings again, repeatedly until span has elapsed.
// It continues while other faults stop the same nodes.
func reload(ctx context.Context, nodes []*process, span time.Duration) {
	until := time.Now().Add(span)
	for time.Now().Before(until) && sleep(ctx, reloadPeriod) {
		for _, node := range nodes {
			node.reload()
		}
	}
}

// restart stops or kills nodes, and starts them again after span.
func (s *soak) restart(ctx context.Context, kind Kind, nodes []*process, span time.Duration) {
	var restarting sync.WaitGroup
	for _, node := range nodes {
		restarting.Go(func() {
			if kind == Stop {
				node.signal(syscall.SIGTERM)
				select {
				case <-node.exitChannel():
				case <-time.After(stopTimeout):
				case <-ctx.Done():
				}
			}
			node.signal(syscall.SIGKILL)
			<-node.exitChannel()
			if !sleep(ctx, span) {
				return
			}
			if err := node.start(); err != nil {
				s.record(promise.Exited{Node: node.settings.Node, Detail: err.Error()})
			}
		})
	}
	restarting.Wait()
}

// replaceReplicas removes replicas, with or without draining them first, and starts others.
func (s *soak) replaceReplicas(ctx context.Context, kind Kind, replicas []*standin.Replica) {
	if kind == ReplicaDrain {
		for _, replica := range replicas {
			s.system.PutEntry(replica, "draining")
			s.record(promise.Serving{Replica: replica.ID, Ended: true})
			s.record(promise.Drained{Replica: replica.ID})
		}
		sleep(ctx, drainTime)
	}
	for _, replica := range replicas {
		s.replaceOrReport(replica)
	}
}

// release replaces replicas by others of a new version, one after the other. Releases that
// overlap leave replicas of several versions.
func (s *soak) release(ctx context.Context, replicas []*standin.Replica) {
	s.replaceMutex.Lock()
	s.releases++
	s.system.SetVersions(versionName(s.releases))
	s.replaceMutex.Unlock()
	var replacing sync.WaitGroup
	for _, replica := range replicas {
		replacing.Go(func() { s.replaceReplicas(ctx, ReplicaDrain, []*standin.Replica{replica}) })
		if !sleep(ctx, releaseInterval) {
			break
		}
	}
	replacing.Wait()
}

// versionName returns the software version of a release.
func versionName(release int) string { return fmt.Sprintf("v%d", release) }

// recordServing records that a model replica serves.
func (s *soak) recordServing(replica *standin.Replica) {
	if replica.Events > 0 {
		s.record(promise.Serving{Replica: replica.ID, Version: replica.Version})
	}
}

// replaceOrReport is replaceReplica, with its error in the report of the run.
func (s *soak) replaceOrReport(old *standin.Replica) {
	if err := s.replaceReplica(old); err != nil {
		s.checkerMutex.Lock()
		defer s.checkerMutex.Unlock()
		s.print("replica not replaced: " + err.Error())
	}
}

// replaceReplica ends a replica and starts another in its place. It does nothing if another
// fault has already replaced it.
func (s *soak) replaceReplica(old *standin.Replica) error {
	s.replaceMutex.Lock()
	defer s.replaceMutex.Unlock()
	s.mutex.Lock()
	index, oldProxy := slices.Index(s.replicas, old), s.proxies[old.ID]
	s.mutex.Unlock()
	if index < 0 {
		return nil
	}
	s.system.RemoveEntry(old)
	s.record(promise.Serving{Replica: old.ID, Ended: true})
	oldProxy.close()
	added, err := s.system.AddReplica(old.Events > 0)
	if err != nil {
		return errors.Join(err, old.Close())
	}
	s.recordServing(added)
	s.mutex.Lock()
	s.replicas[index] = added
	s.mutex.Unlock()
	return old.Close()
}

// setFault begins (delta 1) or ends (delta -1) a lasting fault.
func (s *soak) setFault(kind Kind, nodes []*process, replicas []*standin.Replica, delta int) {
	begins := delta > 0
	for _, target := range nodes {
		switch {
		case kind == Pause && begins:
			target.signal(syscall.SIGSTOP)
		case kind == Pause:
			target.signal(syscall.SIGCONT)
		case kind == StoreSilent, kind == ZoneCut:
			target.store.hold(delta, toTarget, toClient)
		case kind == StoreOneWay:
			target.store.hold(delta, toClient)
		case kind == StoreMute:
			target.store.mute(delta)
		case kind == StoreReset:
			target.store.resetAll()
		case kind == ClientReset && begins:
			target.clients.resetAll()
		}
		if kind == ZoneCut {
			target.clients.hold(delta, toTarget, toClient)
		}
	}
	for _, target := range replicas {
		s.setReplicaFault(kind, target, delta)
	}
	s.setStoreFault(kind, delta)
}

func (s *soak) setReplicaFault(kind Kind, replica *standin.Replica, delta int) {
	s.mutex.Lock()
	replicaProxy := s.proxies[replica.ID]
	s.mutex.Unlock()
	switch {
	case kind == ZoneCut:
		replicaProxy.hold(delta, toTarget, toClient)
	case kind == ReplicaSlow && delta > 0:
		replicaProxy.setDelay(slowReplicaDelay)
	case kind == ReplicaSlow:
		replicaProxy.setDelay(0)
	case kind == ReplicaCut && delta > 0:
		cuts := &standin.Cuts{}
		cuts.Add(s.drawCuts(replica)...)
		replica.SetCuts(cuts)
	case kind == ReplicaCut:
		replica.SetCuts(nil)
	case kind == ReplicaFault:
		// Faults that are not used up when the fault ends are cancelled.
		faulty := faultyAnswerCount * max(0, delta)
		replica.Refuse(faulty)
		replica.AbortStreams(faulty)
		replica.Reset(faulty)
		replica.Hang(faulty / faultyAnswerCount)
	}
}

// setStoreFault switches a fault of the store on with its first concurrent instance, and off
// with its last one.
func (s *soak) setStoreFault(kind Kind, delta int) {
	s.mutex.Lock()
	s.activeFaults[kind] += delta
	on := s.activeFaults[kind] > 0
	s.mutex.Unlock()
	store := s.system.Store
	switch kind {
	case StoreDown:
		store.SetDown(on)
	case StoreRefuses:
		store.SetSecondDown(on)
	case StoreSlow:
		store.SetDelay(map[bool]time.Duration{true: slowStoreDelay, false: storeDelay}[on])
	case StoreLost:
		store.LoseAnswers(map[bool]int{true: lostAnswerCount}[on])
	case StoreForget:
		store.TrimAll()
	}
}
