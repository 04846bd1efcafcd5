package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"birchwood.example/birchwood/edge"
	"birchwood.example/birchwood/platform"
	"birchwood.example/birchwood/platform/standin"
	"birchwood.example/birchwood/soak/promise"
	"birchwood.example/birchwood/tenant"
)

// zones and their regions; nodes and replicas are dealt to them in turn.
var (
	zones   = []string{"north-a", "north-b", "south-a"}
	regions = map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}
)

// What the system under test is like.
const (
	modelReplicas  = 6
	plainReplicas  = 3
	replicaCount   = modelReplicas + plainReplicas
	partitions     = 24
	eventsOfAnswer = 4
	eventStep      = 10 * time.Millisecond
	nodeMemory     = 256 << 20
	nodeGrace      = 8 * time.Second
)

// bounds are what the nodes are held to: those of the users' deployments, and for what
// these do not name what a machine of one node can bear.
var bounds = promise.Config{
	TokensPerEvent: standin.TokensPerEvent,
	FaultFree:      4 * time.Second,
	Recovery:       8 * time.Second,
	Settle:         time.Second,
	Retention:      60 * time.Second,
	DrainBound:     3 * time.Second,
	RevokeBound:    5 * time.Second,
	ApplyBound:     3 * time.Second, EvacuationBound: 5 * time.Second,
	Limits:      map[string]promise.Limit{limitedTenant: {Rate: limitedRate, Burst: limitedBurst}},
	QuotaWindow: 5 * time.Second, QuotaOverrun: 0.1, QuotaSlack: 20,
	ColdOverrun: 1.5, ColdSlack: 5,
	ZoneRegions: regions,
	MemoryBytes: nodeMemory, Descriptors: 1000,
}

// Options set up a run.
type Options struct {
	Scenario
	// Without lists the nodes' mechanisms that are switched off.
	Without string
	// Known are promises that are known to be broken: they are reported, and do not
	// decide the verdict.
	Known []string
	// Binary is the program of a node.
	Binary string
	// Output takes the report.
	Output io.Writer
	// Logs is the folder that the nodes' logs stay in; "" keeps none.
	Logs string
}

// soak is one run.
type soak struct {
	options   Options
	startedAt time.Time
	folder    string
	host      string
	system    *standin.System
	processes []*process
	starter   starter

	// seeing guards the checker and the report.
	checkerMutex sync.Mutex
	checker      *promise.Checker

	// swapping guards the replacement of replicas.
	replaceMutex sync.Mutex

	mutex sync.Mutex
	// random draws what the load does; it is not what the faults are drawn from.
	random   *rand.Rand
	ids      int
	ready    map[*process]bool
	replicas []*standin.Replica
	proxies  map[string]*proxy
	// lasting counts the store's faults of a kind that go on.
	activeFaults map[Kind]int
	storedTurns  []storedTurn
	exhausted    []exhaustedProgram
	keys         keys
}

// see hands an event to the checker, and reports the promises that it shows broken.
func (s *soak) record(event promise.Event) {
	s.checkerMutex.Lock()
	defer s.checkerMutex.Unlock()
	for _, broken := range s.checker.Add(time.Now(), event) {
		s.report(broken)
	}
}

// linesShown is how many lines of one node's logs a broken promise shows.
const maxLogLines = 4

func (s *soak) report(broken promise.Breach) {
	text := fmt.Sprintf("%6.1fs BROKEN: %s\n        request %q at node %q: %s", broken.At.Sub(s.startedAt).Seconds(), broken.Promise, broken.Request, broken.Node, broken.Detail)
	if broken.Request != "" {
		for _, one := range s.processes {
			for _, line := range one.logLines(broken.Request, maxLogLines) {
				text += "\n        " + line
			}
		}
	}
	s.print(text)
}

// print writes a line of the report; one that cannot be written has no other place.
func (s *soak) print(text string) { _, _ = fmt.Fprintln(s.options.Output, text) }

// open starts the stand-ins, the proxies and the processes.
func (s *soak) open() error {
	system, err := standin.StartSystem(standin.Options{
		Models: modelReplicas, Plain: plainReplicas, Events: eventsOfAnswer, Step: eventStep, Zones: zones, Prepare: s.prepare,
		Tenants: s.keys.tenants(),
	})
	if err != nil {
		return err
	}
	s.system = system
	system.Store.SetDelay(storeDelay)
	s.replicas = append(append(s.replicas, system.Models...), system.Plain...)
	for _, key := range s.keys.valid() {
		s.record(promise.KeyAdded{Key: key})
	}
	for index := range s.options.Nodes {
		node, err := s.newProcess(index)
		if err != nil {
			return err
		}
		s.processes = append(s.processes, node)
	}
	for _, node := range s.processes {
		if err := node.start(); err != nil {
			return err
		}
	}
	return nil
}

// prepare puts a proxy before a replica.
func (s *soak) prepare(replica *standin.Replica) error {
	replicaProxy, err := newProxy(replica.Address())
	if err != nil {
		return err
	}
	replica.Listed, replica.Echo, replica.Ran = replicaProxy.address(), true, s.recordRun
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.proxies[replica.ID] = replicaProxy
	return nil
}

// ran tells of what a replica runs.
func (s *soak) recordRun(replica *standin.Replica, run standin.Run) {
	names := platform.Names()
	seen := promise.Ran{
		ID: run.ID, Replica: replica.ID, Zone: replica.Zone, Tenant: run.Header.Get(names.Tenant),
		Body: run.Body,
	}
	for _, name := range append([]string{names.APIKey}, names.Reserved...) {
		if run.Header.Get(name) != "" {
			seen.Forged = append(seen.Forged, name)
		}
	}
	s.record(seen)
}

// refusedNodes is how many nodes share the store's other address: one in so many.
const refusedNodes = 3

func (s *soak) newProcess(index int) (*process, error) {
	addresses := addressesOf(s.host, index)
	target := s.system.Store.Address()
	if index%refusedNodes == 0 {
		target = s.system.Store.SecondAddress()
	}
	store, err := newProxy(target)
	if err != nil {
		return nil, err
	}
	clients, err := newProxy(addresses[0])
	if err != nil {
		return nil, errors.Join(err, store.listener.Close())
	}
	zone := index % len(zones)
	return &process{
		settings: edge.Settings{
			Node: fmt.Sprintf("edge-%d", index), Zone: zones[zone],
			Clients: addresses[0], Readiness: addresses[1], Peers: addresses[2], Store: store.address(),
			Partitions: partitions, MemoryBytes: nodeMemory, Cores: 1, Grace: nodeGrace, KeyLease: bounds.RevokeBound,
			Quota: tenant.Config{Window: bounds.QuotaWindow, Overrun: bounds.QuotaOverrun, Slack: bounds.QuotaSlack},
		},
		zone: zone, store: store, clients: clients, binary: s.options.Binary, disabled: s.options.Without,
		folder: s.folder, starter: s.starter, onExit: func(exit promise.Exited) { s.record(exit) },
	}, nil
}

// close ends all that the run started, and removes its folder.
func (s *soak) close() error {
	var ending sync.WaitGroup
	for _, one := range s.processes {
		ending.Go(func() {
			one.signal(syscall.SIGKILL)
			if gone := one.exitChannel(); gone != nil {
				<-gone
			}
		})
	}
	ending.Wait()
	close(s.starter)
	for _, one := range s.processes {
		one.store.close()
		one.clients.close()
	}
	s.mutex.Lock()
	for _, one := range s.proxies {
		one.close()
	}
	s.mutex.Unlock()
	var found []error
	for _, one := range s.replicas {
		found = append(found, one.Close())
	}
	if s.system != nil {
		found = append(found, s.system.Close())
	}
	if s.options.Logs == "" {
		found = append(found, os.RemoveAll(s.folder))
	}
	return errors.Join(found...)
}

// Times of the watch over processes.
const (
	watchPeriod = 500 * time.Millisecond
	// samplePeriods is after how many looks memory and descriptors are read.
	sampleEvery = 2
	// startPatience bounds how long the nodes may take to be ready at first.
	startTimeout = 60 * time.Second
)

// watch asks the nodes whether they are ready, and reads what they take.
func (s *soak) monitor(ctx context.Context) {
	client := &http.Client{Timeout: watchPeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	for round := 0; ; round++ {
		var probes sync.WaitGroup
		for _, node := range s.processes {
			probes.Go(func() { s.probe(client, node, round%sampleEvery == 0) })
		}
		probes.Wait()
		if !sleep(ctx, watchPeriod) {
			return
		}
	}
}

func (s *soak) probe(client *http.Client, node *process, sampled bool) {
	response, err := client.Get("http://" + node.settings.Readiness + platform.ReadyPath)
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	s.mutex.Lock()
	s.ready[node] = ready
	s.mutex.Unlock()
	if !sampled {
		return
	}
	if sample, there := node.sample(); there {
		s.record(sample)
	}
}

// awaitReady waits until all nodes are ready.
func (s *soak) awaitReady(ctx context.Context) error {
	for range int(startTimeout / watchPeriod) {
		if len(s.readyNodes()) == len(s.processes) {
			return nil
		}
		if !sleep(ctx, watchPeriod) {
			return ctx.Err()
		}
	}
	var missing []string
	for _, node := range s.processes {
		if !s.isReady(node) {
			missing = append(missing, node.settings.Node)
		}
	}
	return fmt.Errorf("not ready after %s: %s", startTimeout, strings.Join(missing, ", "))
}

func (s *soak) isReady(node *process) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ready[node]
}

// in returns the nodes that get new connections.
func (s *soak) readyNodes() []*process {
	var found []*process
	for _, node := range s.processes {
		if s.isReady(node) {
			found = append(found, node)
		}
	}
	return found
}

// pause waits, and returns false if the run ends meanwhile.
func sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
