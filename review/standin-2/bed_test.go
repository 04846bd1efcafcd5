//go:build review

package standin2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"birchwood.example/birchwood/platform"
	"birchwood.example/birchwood/platform/standin"
)

// The bounds of the small deployments (qasr-collect), as in the settings of the nodes.
const (
	contact   = 3000 * time.Millisecond
	drainTime = 2000 * time.Millisecond
	heartbeat = 1200 * time.Millisecond
	// startSpread is the time within which all machines start.
	startSpread = 300 * time.Millisecond
)

// nodeProgram is the program of the deploy file, from the root of the repository.
const nodeProgram = "target/birchwood-edge"

// names are the header fields of the platform.
var names = platform.Names()

// bed is the platform of one case: a store behind a gate, the configuration, nodes as processes, and replicas.
type bed struct {
	trouble   bool
	startedAt time.Time
	folder    string
	system    *standin.System
	gate      *gate
	nodes     []*node
	starts    chan func()

	mutex    sync.Mutex
	record   *os.File
	replicas []*replica
	lastID   int
	closed   bool
}

// node is one node process and its addresses.
type node struct {
	name                  string
	clients, ready, peers string
	// first is set for the nodes with which the system starts for the first time.
	first   bool
	command *exec.Cmd
	exited  chan struct{}
}

func newBed(record string, trouble bool) (*bed, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	system, err := standin.StartSystem(standin.Options{})
	if err != nil {
		return nil, err
	}
	system.Store.SetDelay(4 * time.Millisecond)
	inFront, err := newGate(system.Store.Address())
	if err != nil {
		return nil, err
	}
	b := &bed{trouble: trouble, startedAt: time.Now(), folder: folder, system: system, gate: inFront, record: file, starts: make(chan func())}
	go b.startProcesses()
	return b, nil
}

// startProcesses starts processes on one thread: the kernel ends them with the thread that
// started them, however this program ends.
func (b *bed) startProcesses() {
	runtime.LockOSThread()
	for start := range b.starts {
		start()
	}
}

// note writes a line of the record.
func (b *bed) note(format string, arguments ...any) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	line := fmt.Sprintf("%8.3fs ", time.Since(b.startedAt).Seconds()) + fmt.Sprintf(format, arguments...)
	_, _ = fmt.Fprintln(b.record, line)
}

// nextID returns a new request ID.
func (b *bed) nextID() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.lastID++
	return fmt.Sprintf("%016x", b.lastID)
}

// startNodes starts nodes, and waits until all of them are ready.
func (b *bed) startNodes(count int) error {
	var started []*node
	first := len(b.nodes) == 0
	for range count {
		ports, err := freeAddresses(3)
		if err != nil {
			return err
		}
		n := &node{name: fmt.Sprintf("front-%d", len(b.nodes)), clients: ports[0], ready: ports[1], peers: ports[2], first: first}
		b.nodes = append(b.nodes, n)
		started = append(started, n)
	}
	for _, n := range started {
		if err := b.startNode(n); err != nil {
			return err
		}
		time.Sleep(startSpread / time.Duration(count))
	}
	return b.awaitReady(15*time.Second, started...)
}

// startNode starts the process of a node.
func (b *bed) startNode(n *node) error {
	path := filepath.Join(b.folder, n.name+".toml")
	if err := os.WriteFile(path, []byte(b.settings(n)), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(b.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(nodeProgram)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), platform.SettingsVariable + "=" + path}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	b.starts <- func() { started <- command.Start() }
	if err := <-started; err != nil {
		return err
	}
	n.command, n.exited = command, make(chan struct{})
	go func(exited chan struct{}) {
		_ = command.Wait()
		_ = output.Close()
		close(exited)
	}(n.exited)
	return nil
}

// settings returns the settings file of a node, with the figures of a small deployment.
func (b *bed) settings(n *node) string {
	return fmt.Sprintf(`node = %q
role = "edge"
machineClass = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
seeds = [%q]
bootstrap = %t
countsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]
[zones]
zone-a = "region-a"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpuShare = 0.8
cores = 1
memoryMb = 254
maxFds = 8200
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4.3
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
recoverS = 12
passMs = 120
retryAfterS = 0
finishS = 10
settleMs = 1000
[platform]
addr = %q
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 8
append_ms = 4.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
retainS = 300
part_mb = 200
ttlMinMs = 1000
`, n.name, b.nodes[0].peers, n.first, n.clients, n.ready, n.peers, b.gate.address())
}

// awaitReady waits until nodes answer the platform's question for their readiness with 200.
func (b *bed) awaitReady(timeout time.Duration, nodes ...*node) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	until := time.Now().Add(timeout)
	for _, n := range nodes {
		for !isReady(&client, n) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(client *http.Client, n *node) bool {
	response, err := client.Get("http://" + n.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes and stand-ins.
func (b *bed) close() {
	for _, n := range b.nodes {
		if n.command != nil {
			_ = n.command.Process.Kill()
			<-n.exited
		}
	}
	b.mutex.Lock()
	b.closed = true
	replicas := b.replicas
	b.mutex.Unlock()
	for _, r := range replicas {
		_ = r.Close()
	}
	b.gate.close()
	_ = b.system.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.folder)
	} else {
		fmt.Fprintln(os.Stderr, b.folder)
	}
	_ = b.record.Close()
}

// freeAddresses returns loopback addresses whose ports are free.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
