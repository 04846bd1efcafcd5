//go:build review

package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"birchwood.example/birchwood/platform"
	"birchwood.example/birchwood/platform/standin"
	"birchwood.example/birchwood/recordstore"
)

// host is the deployment's host name.
const host = "review.example"

// names are the header fields between clients, nodes and replicas.
var names = platform.Names()

// place is a zone of the deployment and its region.
type place struct{ zone, region string }

// defaultPlaces are those of a deployment in one region.
var defaultPlaces = []place{{"abdali", "amman"}, {"sweileh", "amman"}, {"marka", "amman"}}

// deployment is a small deployment: the platform with its store, replicas and nodes.
type deployment struct {
	*record
	trouble bool
	folder  string
	store   *standin.Store
	writer  *platform.Store
	// reports takes what replicas report to the platform.
	reports  net.Listener
	nodes    []*node
	replicas []*replica
	// places are those to which nodes are assigned in turn, and replicaPlaces those of replicas.
	places, replicaPlaces []place
	// storeAddress returns the address at which a node reaches the store.
	storeAddress func(*node) (string, error)

	mutex sync.Mutex
	// closed is set once no process may be started any more.
	closed bool
	// entries are the replicas' entries in the store, without their sequence numbers, and
	// beats the times of their last heartbeats.
	entries  map[string]string
	beats    map[string]time.Time
	requests int
	// host is the loopback address of the processes, and addresses the number of ports given.
	host      string
	addresses int
	// bodies are the bodies with which requests ran, by the request's id.
	bodies map[string]string
	// ranAt is where requests ran, by the request's id.
	ranAt map[string]string
}

// node is one process of the system.
type node struct {
	name, clients, ready, peers string
	command                     *exec.Cmd
}

// replica is one replica over all its processes.
type replica struct {
	id, service, version, zone, address string
	flags                               []string
	command                             *exec.Cmd
	// others are connections of other callers.
	others []net.Conn
}

func newDeployment(folder string, trouble bool) (*deployment, error) {
	kept, err := newRecord(folder)
	if err != nil {
		return nil, err
	}
	d := &deployment{record: kept, trouble: trouble, host: randomHost(), entries: make(map[string]string), bodies: make(map[string]string), ranAt: make(map[string]string), beats: make(map[string]time.Time)}
	if d.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if d.store, err = standin.StartStore(); err != nil {
		return nil, err
	}
	d.writer = platform.NewStore(d.store.Address())
	d.places, d.replicaPlaces = defaultPlaces, defaultPlaces
	d.storeAddress = func(*node) (string, error) { return d.store.Address(), nil }
	if d.reports, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	handler := http.NewServeMux()
	handler.HandleFunc("/entry", d.receiveEntry)
	handler.HandleFunc("/run", d.receiveRun)
	go func() { _ = http.Serve(d.reports, handler) }()
	go d.expireEntries()
	d.note("trouble: %t", trouble)
	return d, nil
}

// randomHost returns a random loopback address.
func randomHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// close ends all processes that the deployment started.
func (d *deployment) close() {
	d.mutex.Lock()
	d.closed = true
	d.mutex.Unlock()
	for _, started := range d.nodes {
		end(started.command)
	}
	for _, started := range d.replicas {
		end(started.command)
	}
	_ = d.reports.Close()
	_ = os.RemoveAll(d.folder)
	d.record.close()
}

// start starts a process, unless the deployment is closed.
func (d *deployment) start(command *exec.Cmd) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.closed {
		return errClosed
	}
	return command.Start()
}

// end kills a process, also one that is stopped, and waits for its end.
func end(command *exec.Cmd) {
	if command == nil || command.Process == nil {
		return
	}
	_ = command.Process.Kill()
	_ = command.Wait()
}

// receiveEntry takes a replica's heartbeat. The entry in the store changes when more than its
// sequence number does.
func (d *deployment) receiveEntry(_ http.ResponseWriter, request *http.Request) {
	entry, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.URL.Query().Get("id")
	content, _, _ := strings.Cut(string(entry), `,"seq":`)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.beats[id] = time.Now()
	if d.entries[id] != content {
		d.entries[id] = content
		d.write(recordstore.StreamReplicas, id, entry)
		d.note("store: entry of %s: %s", id, entry)
	}
}

// write writes a record to the store, as the operator and the replicas do.
func (d *deployment) write(stream recordstore.StreamName, key string, value []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	records := []recordstore.Record{{Key: key, Value: value}}
	if err := d.writer.Append(ctx, recordstore.Stream{Name: stream}, recordstore.Writer{}, records); err != nil {
		d.note("store: record %s not written: %v", key, err)
	}
}

// expireEntries removes entries after three heartbeats of silence.
func (d *deployment) expireEntries() {
	for {
		time.Sleep(heartbeat / 10)
		d.mutex.Lock()
		for id, last := range d.beats {
			if time.Since(last) > 3*heartbeat {
				delete(d.beats, id)
				delete(d.entries, id)
				d.write(recordstore.StreamReplicas, id, nil)
				d.note("store: entry of %s removed", id)
			}
		}
		d.mutex.Unlock()
	}
}

func (d *deployment) receiveRun(_ http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	id := request.URL.Query().Get("id")
	d.note("request %s runs at %s: body %q", id, request.URL.Query().Get("at"), body)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.bodies[id], d.ranAt[id] = string(body), request.URL.Query().Get("at")
}

// bodyOf returns the body with which a request ran last.
func (d *deployment) bodyOf(id string) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.bodies[id]
}

// startReplica starts a new replica, whose process listens on a free port.
func (d *deployment) startReplica(service, version string, flags ...string) (*replica, error) {
	number := len(d.replicas)
	r := &replica{id: fmt.Sprintf("i-%02d", number), service: service, version: version, zone: d.replicaPlaces[number%len(d.replicaPlaces)].zone, address: d.newAddress(), flags: flags}
	d.replicas = append(d.replicas, r)
	return r, d.runReplica(r)
}

// runReplica starts a process of the replica under its id and address.
func (d *deployment) runReplica(r *replica) error {
	arguments := append([]string{"replica", "-id", r.id, "-service", r.service, "-version", r.version, "-zone", r.zone,
		"-listen", r.address, "-platform", d.reports.Addr().String()}, r.flags...)
	r.command = exec.Command(os.Args[0], arguments...)
	r.command.Stderr = os.Stderr
	if err := d.start(r.command); err != nil {
		return err
	}
	d.note("replica %s starts: process %d, version %q", r.id, r.command.Process.Pid, r.version)
	return until(5*time.Second, func() bool { return accepts(r.address) })
}

// crash kills the replica's process.
func (d *deployment) crash(r *replica) {
	d.note("replica %s: SIGKILL of process %d", r.id, r.command.Process.Pid)
	end(r.command)
}

// signal sends a signal to a node.
func (d *deployment) signal(n *node, sent syscall.Signal) {
	d.note("node %s: %s", n.name, sent)
	_ = n.command.Process.Signal(sent)
}

// firstPort is the port of the first address that newAddress returns. It and those that follow
// lie below the ports that the kernel gives to outgoing connections.
const firstPort = 12000

// newAddress returns an address of the deployment's own loopback host, whose ports nobody else
// uses, also while a process is down.
func (d *deployment) newAddress() string {
	d.addresses++
	return fmt.Sprintf("%s:%d", d.host, firstPort+d.addresses)
}

func accepts(address string) bool {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err == nil {
		_ = connection.Close()
	}
	return err == nil
}

// Errors of scenarios.
var (
	errTooLate = errors.New("what was waited for did not come")
	errClosed  = errors.New("the deployment is closed")
)

// until waits until a condition holds.
func until(timeout time.Duration, holds func() bool) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return errTooLate
}

// settingsPath returns the path of a node's settings file.
func (d *deployment) settingsPath(n *node) string { return filepath.Join(d.folder, n.name+".toml") }
