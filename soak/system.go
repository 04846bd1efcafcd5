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
	models         = 6
	plains         = 3
	replicaCount   = models + plains
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
	Contact:        4 * time.Second,
	Recovery:       8 * time.Second,
	Settle:         time.Second,
	Retention:      60 * time.Second,
	DrainBound:     3 * time.Second,
	RevokeBound:    5 * time.Second,
	ApplyBound:     3 * time.Second, EvacuationBound: 5 * time.Second,
	Limits:      map[string]promise.Limit{limitedTenant: {Rate: limitedRate, Burst: limitedBurst}},
	QuotaWindow: 5 * time.Second, QuotaOverrun: 0.1, QuotaSlack: 20,
	ColdOverrun: 1.5, ColdSlack: 5,
	Regions:     regions,
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
	begun     time.Time
	folder    string
	host      string
	system    *standin.System
	processes []*process
	starter   starter

	// seeing guards the checker and the report.
	seeing  sync.Mutex
	checker *promise.Checker

	// swapping guards the replacement of replicas.
	swapping sync.Mutex

	mutex sync.Mutex
	// random draws what the load does; it is not what the faults are drawn from.
	random   *rand.Rand
	ids      int
	ready    map[*process]bool
	replicas []*standin.Replica
	proxies  map[string]*proxy
	// lasting counts the store's faults of a kind that go on.
	lasting map[Kind]int
	kept    []keptTurn
	stopped []stoppedProgram
	keys    keys
}

// see hands an event to the checker, and reports the promises that it shows broken.
func (s *soak) see(event promise.Event) {
	s.seeing.Lock()
	defer s.seeing.Unlock()
	for _, broken := range s.checker.Add(time.Now(), event) {
		s.report(broken)
	}
}

// linesShown is how many lines of one node's logs a broken promise shows.
const linesShown = 4

func (s *soak) report(broken promise.Breach) {
	text := fmt.Sprintf("%6.1fs BROKEN: %s\n        request %q at node %q: %s", broken.At.Sub(s.begun).Seconds(), broken.Promise, broken.Request, broken.Node, broken.Detail)
	if broken.Request != "" {
		for _, one := range s.processes {
			for _, line := range one.linesOf(broken.Request, linesShown) {
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
		Models: models, Plain: plains, Events: eventsOfAnswer, Step: eventStep, Zones: zones, Prepare: s.prepare,
		Tenants: s.keys.tenants(),
	})
	if err != nil {
		return err
	}
	s.system = system
	system.Store.SetDelay(storeAnswer)
	s.replicas = append(append(s.replicas, system.Models...), system.Plain...)
	for _, key := range s.keys.valid() {
		s.see(promise.KeyAdded{Key: key})
	}
	for index := range s.options.Nodes {
		one, err := s.newProcess(index)
		if err != nil {
			return err
		}
		s.processes = append(s.processes, one)
	}
	for _, one := range s.processes {
		if err := one.start(); err != nil {
			return err
		}
	}
	return nil
}

// prepare puts a proxy before a replica.
func (s *soak) prepare(replica *standin.Replica) error {
	between, err := newProxy(replica.Address())
	if err != nil {
		return err
	}
	replica.Listed, replica.Echo, replica.Ran = between.address(), true, s.ran
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.proxies[replica.ID] = between
	return nil
}

// ran tells of what a replica runs.
func (s *soak) ran(replica *standin.Replica, run standin.Run) {
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
	s.see(seen)
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
		zone: zone, store: store, clients: clients, binary: s.options.Binary, without: s.options.Without,
		folder: s.folder, starter: s.starter, ended: func(exit promise.Exited) { s.see(exit) },
	}, nil
}

// close ends all that the run started, and removes its folder.
func (s *soak) close() error {
	var ending sync.WaitGroup
	for _, one := range s.processes {
		ending.Go(func() {
			one.signal(syscall.SIGKILL)
			if gone := one.awaitGone(); gone != nil {
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
	samplePeriods = 2
	// startPatience bounds how long the nodes may take to be ready at first.
	startPatience = 60 * time.Second
)

// watch asks the nodes whether they are ready, and reads what they take.
func (s *soak) watch(ctx context.Context) {
	asker := &http.Client{Timeout: watchPeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	for look := 0; ; look++ {
		var asking sync.WaitGroup
		for _, one := range s.processes {
			asking.Go(func() { s.lookAt(asker, one, look%samplePeriods == 0) })
		}
		asking.Wait()
		if !pause(ctx, watchPeriod) {
			return
		}
	}
}

func (s *soak) lookAt(asker *http.Client, one *process, sampled bool) {
	response, err := asker.Get("http://" + one.settings.Readiness + platform.ReadyPath)
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	s.mutex.Lock()
	s.ready[one] = ready
	s.mutex.Unlock()
	if !sampled {
		return
	}
	if sample, there := one.sample(); there {
		s.see(sample)
	}
}

// awaitReady waits until all nodes are ready.
func (s *soak) awaitReady(ctx context.Context) error {
	for range int(startPatience / watchPeriod) {
		if len(s.in()) == len(s.processes) {
			return nil
		}
		if !pause(ctx, watchPeriod) {
			return ctx.Err()
		}
	}
	var missing []string
	for _, one := range s.processes {
		if !s.isReady(one) {
			missing = append(missing, one.settings.Node)
		}
	}
	return fmt.Errorf("not ready after %s: %s", startPatience, strings.Join(missing, ", "))
}

func (s *soak) isReady(one *process) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ready[one]
}

// in returns the nodes that get new connections.
func (s *soak) in() []*process {
	var found []*process
	for _, one := range s.processes {
		if s.isReady(one) {
			found = append(found, one)
		}
	}
	return found
}

// pause waits, and returns false if the run ends meanwhile.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
