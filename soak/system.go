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

// zones and their regions. Nodes and replicas are assigned to zones round-robin.
var (
	zones   = []string{"north-a", "north-b", "south-a"}
	regions = map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}
)

// Parameters of the system under test.
const (
	modelReplicas   = 6
	plainReplicas   = 3
	replicaCount    = modelReplicas + plainReplicas
	partitions      = 24
	eventsPerAnswer = 4
	eventInterval   = 10 * time.Millisecond
	nodeMemory      = 256 << 20
	nodeGrace       = 8 * time.Second
)

// bounds are the limits that the nodes must keep: those of the users' deployments and, where
// these set none, what a machine with one node can sustain.
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

// Options configures a run.
type Options struct {
	Scenario
	// Disabled lists the mechanisms of the nodes to switch off, separated by commas.
	Disabled string
	// KnownBroken lists promises that are known to be broken. Breaches of them are reported but
	// do not affect the verdict.
	KnownBroken []string
	// Binary is the path of the node executable.
	Binary string
	// Output receives the report.
	Output io.Writer
	// Logs is the directory for the nodes' logs. If it is empty, the logs are deleted at the
	// end of the run.
	Logs string
}

// soak is the state of one run.
type soak struct {
	options   Options
	startedAt time.Time
	folder    string
	host      string
	system    *standin.System
	processes []*process
	starter   starter

	// checkerMutex guards checker and the output of the report.
	checkerMutex sync.Mutex
	checker      *promise.Checker

	// replaceMutex serialises the replacement of replicas. releases counts the releases of
	// software that began.
	replaceMutex sync.Mutex
	releases     int
	// replacing counts the replacements of killed replicas that are under way.
	replacing sync.WaitGroup

	mutex sync.Mutex
	// random drives the load, and cutRandom the answers that replicas end early. The faults
	// are drawn from a separate generator.
	random    *rand.Rand
	cutRandom *rand.Rand
	lastID    int
	ready     map[*process]bool
	replicas  []*standin.Replica
	proxies   map[string]*proxy
	// activeFaults counts the active faults of the store by kind.
	activeFaults map[Kind]int
	storedTurns  []storedTurn
	exhausted    []exhaustedProgram
	keys         keys
}

// record passes an event to the checker, and reports the breaches that it reveals.
func (s *soak) record(event promise.Event) {
	s.checkerMutex.Lock()
	defer s.checkerMutex.Unlock()
	for _, breach := range s.checker.Add(time.Now(), event) {
		s.report(breach)
	}
}

// maxLogLines bounds the log lines of one node in the report of a breach.
const maxLogLines = 4

func (s *soak) report(breach promise.Breach) {
	text := fmt.Sprintf("%6.1fs BROKEN: %s\n        request %q at node %q: %s", breach.At.Sub(s.startedAt).Seconds(), breach.Promise, breach.Request, breach.Node, breach.Detail)
	if breach.Request != "" {
		for _, node := range s.processes {
			for _, line := range node.logLines(breach.Request, maxLogLines) {
				text += "\n        " + line
			}
		}
	}
	s.print(text)
}

// print writes a line of the report. Write errors are ignored, as there is no other output.
func (s *soak) print(text string) { _, _ = fmt.Fprintln(s.options.Output, text) }

// open starts the stand-ins, the proxies and the node processes.
func (s *soak) open() error {
	system, err := standin.StartSystem(standin.Options{
		Models: modelReplicas, Plain: plainReplicas, Events: eventsPerAnswer, Step: eventInterval, Zones: zones, Prepare: s.prepare,
		Tenants: s.keys.tenants(), Versions: []string{versionName(s.releases)},
	})
	if err != nil {
		return err
	}
	s.system = system
	system.Store.SetDelay(storeDelay)
	s.replicas = append(append(s.replicas, system.Models...), system.Plain...)
	for _, model := range system.Models {
		s.recordServing(model)
	}
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

// prepare puts a proxy in front of a replica.
func (s *soak) prepare(replica *standin.Replica) error {
	replicaProxy, err := newProxy(replica.Address())
	if err != nil {
		return err
	}
	replica.AdvertisedAddress, replica.Echo, replica.OnRun, replica.OnKill = replicaProxy.address(), true, s.recordRun, s.replicaKilled
	s.mutex.Lock()
	defer s.mutex.Unlock()
	replica.SetFraming(framings[len(s.proxies)%len(framings)])
	replica.OnEnd = func(ended *standin.Replica, run standin.Run) {
		s.record(promise.ReplicaEnded{Replica: ended.ID, ID: run.ID})
	}
	lethal := lethalEndings[len(s.proxies)%len(lethalEndings)]
	lethal.Death = standin.Deaths[len(s.proxies)%len(standin.Deaths)]
	replica.SetLethal(&lethal)
	s.proxies[replica.ID] = replicaProxy
	return nil
}

// recordRun records that a replica runs a request, and which of its header fields are forged.
func (s *soak) recordRun(replica *standin.Replica, run standin.Run) {
	names := platform.Names()
	event := promise.Ran{
		ID: run.ID, Replica: replica.ID, Zone: replica.Zone, Tenant: run.Header.Get(names.Tenant),
		Body: run.Body,
	}
	for _, name := range append([]string{names.APIKey}, names.Reserved...) {
		if run.Header.Get(name) != "" {
			event.Forged = append(event.Forged, name)
		}
	}
	s.record(event)
}

// secondAddressInterval selects the nodes that use the store's second address: those whose
// index is a multiple of it.
const secondAddressInterval = 3

func (s *soak) newProcess(index int) (*process, error) {
	addresses := addressesOf(s.host, index)
	target := s.system.Store.Address()
	if index%secondAddressInterval == 0 {
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
	zoneIndex := index % len(zones)
	return &process{
		settings: edge.Settings{
			Node: fmt.Sprintf("edge-%d", index), Zone: zones[zoneIndex],
			Clients: addresses[0], Readiness: addresses[1], Peers: addresses[2], Store: store.address(),
			Partitions: partitions, MemoryBytes: nodeMemory, Cores: 1, Grace: nodeGrace, KeyLease: bounds.RevokeBound,
			Quota: tenant.Config{Window: bounds.QuotaWindow, Overrun: bounds.QuotaOverrun, Slack: bounds.QuotaSlack},
		},
		zoneIndex: zoneIndex, store: store, clients: clients, binary: s.options.Binary, disabled: s.options.Disabled,
		folder: s.folder, starter: s.starter, onExit: func(exit promise.Exited) { s.record(exit) },
	}, nil
}

// close ends everything that the run started, and removes its directory unless the logs are
// kept.
func (s *soak) close() error {
	var ending sync.WaitGroup
	for _, one := range s.processes {
		ending.Go(func() {
			one.signal(syscall.SIGKILL)
			if exited := one.exitChannel(); exited != nil {
				<-exited
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

// Timing of the process monitor.
const (
	monitorInterval = 500 * time.Millisecond
	// sampleEvery is the number of rounds between two samples of memory and descriptors.
	sampleEvery = 2
	// startTimeout bounds how long the nodes may take to become ready at the start.
	startTimeout = 60 * time.Second
)

// monitor periodically probes the nodes' readiness and samples their resource usage.
func (s *soak) monitor(ctx context.Context) {
	client := &http.Client{Timeout: monitorInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for round := 0; ; round++ {
		var probes sync.WaitGroup
		for _, node := range s.processes {
			probes.Go(func() { s.probe(client, node, round%sampleEvery == 0) })
		}
		probes.Wait()
		if !sleep(ctx, monitorInterval) {
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

// awaitReady waits up to startTimeout for all nodes to be ready.
func (s *soak) awaitReady(ctx context.Context) error {
	for range int(startTimeout / monitorInterval) {
		if len(s.readyNodes()) == len(s.processes) {
			return nil
		}
		if !sleep(ctx, monitorInterval) {
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

// readyNodes returns the nodes that receive new client connections.
func (s *soak) readyNodes() []*process {
	var found []*process
	for _, node := range s.processes {
		if s.isReady(node) {
			found = append(found, node)
		}
	}
	return found
}

// sleep waits for span. It returns false if ctx ends first.
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
