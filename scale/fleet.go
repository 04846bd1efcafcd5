package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/emulator/standin"
	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/infra"
	"birchwood.example/birchwood/infra/infrahttp"
	"birchwood.example/birchwood/machine"
)

const (
	// machineLag and machineExpiry are those of the machine list: a node that
	// failed stays in it for up to their sum.
	machineLag    = time.Second
	machineExpiry = 15 * time.Second
	// announcePeriod is how often the back ends renew their entries.
	announcePeriod = 5 * time.Second
	// startSpacing keeps the nodes from starting in one instant.
	startSpacing = 5 * time.Millisecond
)

// fleet is everything that runs.
type fleet struct {
	config              Config
	world               world
	partitionsPerBranch int
	network             *network
	backends            *backends
	replicas            []machine.Machine
	standins            *standin.Set
	platformAddress     string
	operator            *infrahttp.Platform
	machines            *machineLists
	members             []*member
	spread              *spread
	violations          *violations
	// loggedBytes is what the log stand-in holds.
	loggedBytes atomic.Int64
	// baseline is the memory of the process before the first node.
	baseline int64
	// revision is that of the last settings change.
	revision   contract.Revision
	stop       chan struct{}
	background sync.WaitGroup
}

func newFleet(config Config) (*fleet, error) {
	place := newWorld(config)
	f := &fleet{
		config:              config,
		world:               place,
		partitionsPerBranch: place.partitionsPerBranch(config.Nodes),
		network:             newNetwork(place),
		replicas:            place.machines(config.Replicas),
		violations:          newViolations(),
		spread:              newSpread(),
		stop:                make(chan struct{}),
	}
	f.backends = newBackends(f.replicas)
	f.machines = &machineLists{fleet: f}
	set, err := standin.Start(standin.Config{Seed: config.Seed, MachineLag: machineLag, MachineExpiry: machineExpiry})
	if err != nil {
		return nil, err
	}
	f.standins = set
	f.platformAddress = set.Addresses().Platform
	f.operator = infrahttp.New(httpclient.Options{Address: f.platformAddress, Timeout: storeTimeout})
	return f, nil
}

// start appends the settings, announces the back ends and starts the nodes.
func (f *fleet) start(ctx context.Context) error {
	first := f.world.settings()
	if verdict := contract.NewTree().Apply(1, first); !verdict.Accepted {
		return fmt.Errorf("the first settings are not accepted: %v", verdict.Findings)
	}
	var err error
	if f.revision, err = f.change(ctx, first); err != nil {
		return err
	}
	f.announce(ctx)
	f.background.Go(f.keepAnnouncing)
	for index := range f.config.Nodes {
		place := f.world.zones[index%len(f.world.zones)].Name
		// Real nodes are spread over the zones like the others.
		joined, err := newMember(f, index, place, index < f.config.RealNodes)
		if err != nil {
			return err
		}
		f.members = append(f.members, joined)
		f.network.add(joined)
		// The list knows the node already, as it does when a fleet restarts.
		// Every node would else take in hundreds of lists that grow by a few.
		if err := f.operator.Announce(ctx, joined.entry); err != nil {
			return err
		}
	}
	if err := sleep(ctx, machineLag); err != nil {
		return err
	}
	for _, joined := range f.members {
		if err := joined.start(); err != nil {
			return err
		}
		if err := sleep(ctx, startSpacing); err != nil {
			return err
		}
	}
	return nil
}

// settle waits until every node may serve callers.
func (f *fleet) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.config.SettleTimeout)
	defer cancel()
	for _, joined := range f.members {
		running, ok := joined.running()
		if !ok {
			continue
		}
		if err := running.AwaitReady(ctx); err != nil {
			return fmt.Errorf("%s is not ready: %v", joined.entry.ID, running.NotReady(context.Background()))
		}
	}
	return nil
}

func (f *fleet) close() {
	close(f.stop)
	var group sync.WaitGroup
	for _, joined := range f.members {
		group.Go(joined.close)
	}
	group.Wait()
	f.background.Wait()
	f.operator.Close()
	f.standins.Close()
}

// change appends a change of the settings and returns its revision.
func (f *fleet) change(ctx context.Context, change contract.Change) (contract.Revision, error) {
	encoded, err := json.Marshal(change)
	if err != nil {
		return 0, err
	}
	offset, err := f.operator.Append(ctx, contract.StreamName, [][]byte{encoded})
	if err != nil {
		return 0, err
	}
	return contract.Revision(offset + 1), nil
}

// announce renews the back ends' entries in the machine list.
func (f *fleet) announce(ctx context.Context) {
	for _, entry := range f.replicas {
		// A missed renewal is made good by the next one.
		_ = f.operator.Announce(ctx, entry)
	}
}

func (f *fleet) keepAnnouncing() {
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.announce(context.Background())
		case <-f.stop:
			return
		}
	}
}

// live returns the nodes that run.
func (f *fleet) live() []*member {
	var live []*member
	for _, joined := range f.members {
		if _, ok := joined.running(); ok {
			live = append(live, joined)
		}
	}
	return live
}

// anyLive returns a random node that runs.
func (f *fleet) anyLive(random *rand.Rand) *member {
	live := f.live()
	return live[random.IntN(len(live))]
}

// member returns a node by its name.
func (f *fleet) member(id machine.ID) (*member, bool) {
	f.network.mutex.RLock()
	defer f.network.mutex.RUnlock()
	found, ok := f.network.members[id]
	return found, ok
}

// countedLog counts what the log stand-in holds.
type countedLog struct {
	infra.Log
	fleet *fleet
}

// Append counts the entries that were appended.
func (l countedLog) Append(ctx context.Context, stream string, entries [][]byte) (uint64, error) {
	first, err := l.Log.Append(ctx, stream, entries)
	if err == nil {
		for _, entry := range entries {
			l.fleet.loggedBytes.Add(int64(len(entry)))
		}
	}
	return first, err
}

// machineLists measure the machine list that each node reads.
type machineLists struct {
	fleet   *fleet
	entries atomic.Int64
	reads   atomic.Int64
}

// of returns the machine list of a node.
func (l *machineLists) of(reader *member) infra.MachineList {
	return machineList{Platform: reader.platform, lists: l}
}

// bytes is the size of the list as JSON.
func (l *machineLists) bytes(ctx context.Context) int {
	listed, err := l.fleet.operator.Machines(ctx)
	if err != nil {
		return 0
	}
	encoded, err := json.Marshal(listed)
	if err != nil {
		return 0
	}
	return len(encoded)
}

type machineList struct {
	*infrahttp.Platform
	lists *machineLists
}

// Machines counts the reads that brought the whole list.
func (l machineList) Machines(ctx context.Context) ([]machine.Machine, error) {
	whole := l.FullLists()
	listed, err := l.Platform.Machines(ctx)
	l.lists.reads.Add(int64(l.FullLists() - whole))
	l.lists.entries.Store(int64(len(listed)))
	return listed, err
}

// Withdraw does nothing: a node that crashes does not take its entry off.
func (l machineList) Withdraw(context.Context, machine.ID) error { return nil }
