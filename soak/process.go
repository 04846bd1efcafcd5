package soak

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"birchwood.example/birchwood/edge"
	"birchwood.example/birchwood/platform"
	"birchwood.example/birchwood/platform/standin"
	"birchwood.example/birchwood/soak/promise"
)

// firstPort is the port of the first node's first address.
const firstPort = 12000

// anyHost draws an address of the loopback network for the nodes of one run: their ports
// on it are nobody else's, also while a node is not there.
func randomHost() string {
	return netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))}).String()
}

// addressesOf returns the addresses of a node for clients, readiness and peers.
func addressesOf(host string, index int) (addresses [3]string) {
	for offset := range addresses {
		addresses[offset] = net.JoinHostPort(host, strconv.Itoa(firstPort+index*len(addresses)+offset))
	}
	return addresses
}

// starter starts processes on one thread: the system ends a process whose parent's
// thread is gone, so that nothing is left behind however this process ends.
type starter chan func()

func newStarter() starter {
	calls := make(starter)
	go func() {
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
}

func (s starter) start(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	s <- func() { done <- command.Start() }
	return <-done
}

// process is one node as a process, through all of its lives.
type process struct {
	settings edge.Settings
	zone     int
	store    *proxy
	clients  *proxy
	binary   string
	disabled string
	folder   string
	starter  starter
	// ended is told of an end that nobody asked for.
	onExit func(promise.Exited)

	mutex       sync.Mutex
	incarnation int
	// command is nil while the process is not there, and asked says that its end was
	// asked for.
	command      *exec.Cmd
	exitExpected bool
	exited       chan struct{}
}

// start starts the next life of the process.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		return nil
	}
	path := filepath.Join(p.folder, p.settings.Node+".toml")
	if err := standin.WriteSettings(path, p.settings); err != nil {
		return err
	}
	p.incarnation++
	output, err := os.Create(p.logPath(p.incarnation))
	if err != nil {
		return err
	}
	var arguments []string
	if p.disabled != "" {
		arguments = append(arguments, "--without", p.disabled)
	}
	command := exec.Command(p.binary, arguments...)
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	command.Stdout, command.Stderr = output, output
	if err := p.starter.start(command); err != nil {
		return errors.Join(fmt.Errorf("start %s: %w", p.settings.Node, err), output.Close())
	}
	p.command, p.exitExpected, p.exited = command, false, make(chan struct{})
	go p.awaitExit(command, output, p.exited)
	return nil
}

// await takes in the end of a life.
func (p *process) awaitExit(command *exec.Cmd, output *os.File, gone chan struct{}) {
	err := command.Wait()
	_ = output.Close()
	p.mutex.Lock()
	exitExpected, incarnation := p.exitExpected, p.incarnation
	p.command = nil
	p.mutex.Unlock()
	close(gone)
	if !exitExpected {
		p.onExit(promise.Exited{Node: p.settings.Node, Detail: fmt.Sprintf("life %d ended: %v: %s", incarnation, err, p.lastLine(incarnation))})
	}
}

// lastLine returns the last line of a life's log.
func (p *process) lastLine(incarnation int) string {
	text, err := os.ReadFile(p.logPath(incarnation))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

func (p *process) logPath(incarnation int) string {
	return filepath.Join(p.folder, fmt.Sprintf("%s.%d.log", p.settings.Node, incarnation))
}

// signal sends a signal to the process, if it is there. Signals that end it are noted
// as asked for.
func (p *process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		p.exitExpected = true
	}
	// A process that just ended is noted by await.
	_ = p.command.Process.Signal(signal)
}

// reload has the process read its settings again, once it has written that it started: the
// system ends a program that has not come to its first instructions yet.
func (p *process) reload() {
	p.mutex.Lock()
	path := p.logPath(p.incarnation)
	p.mutex.Unlock()
	if output, err := os.Stat(path); err == nil && output.Size() > 0 {
		p.signal(syscall.SIGHUP)
	}
}

// awaitGone returns what is closed when the process is not there.
func (p *process) exitChannel() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.exited
}

// current returns the number of the process's life, and its id or 0.
func (p *process) current() (incarnation, pid int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		pid = p.command.Process.Pid
	}
	return p.incarnation, pid
}

// sample reads what the process takes, or returns false where it is not there.
func (p *process) sample() (promise.Sampled, bool) {
	incarnation, pid := p.current()
	if pid == 0 {
		return promise.Sampled{}, false
	}
	folder := filepath.Join("/proc", strconv.Itoa(pid))
	status, err := os.ReadFile(filepath.Join(folder, "statm"))
	if err != nil {
		return promise.Sampled{}, false
	}
	descriptors, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		return promise.Sampled{}, false
	}
	fields := strings.Fields(string(status))
	if len(fields) < 2 {
		return promise.Sampled{}, false
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return promise.Sampled{
		Node: p.settings.Node, Incarnation: incarnation, MemoryBytes: pages * int64(os.Getpagesize()), Descriptors: len(descriptors),
	}, err == nil
}

// linesOf returns the lines about a request in the logs of all lives.
func (p *process) logLines(id string, most int) []string {
	var found []string
	last, _ := p.current()
	for incarnation := 1; incarnation <= last; incarnation++ {
		text, err := os.ReadFile(p.logPath(incarnation))
		if err != nil {
			continue
		}
		for line := range bytes.Lines(text) {
			if len(found) < most && bytes.Contains(line, []byte(`"`+id+`"`)) {
				found = append(found, strings.TrimSpace(string(line)))
			}
		}
	}
	return found
}
