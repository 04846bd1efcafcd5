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

// firstPort is the port of the first address of node 0.
const firstPort = 12000

// randomHost returns a random loopback address for the nodes of one run. No other process
// uses their ports on this address, even while a node is down.
func randomHost() string {
	return netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))}).String()
}

// addressesOf returns a node's addresses for clients, readiness probes and peers.
func addressesOf(host string, index int) (addresses [3]string) {
	for offset := range addresses {
		addresses[offset] = net.JoinHostPort(host, strconv.Itoa(firstPort+index*len(addresses)+offset))
	}
	return addresses
}

// starter starts processes from one locked OS thread. The kernel kills a process with
// Pdeathsig when the thread that started it exits, so no process is left behind, however
// this one ends.
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

// process is a node that runs as an operating-system process, over all its incarnations.
type process struct {
	settings  edge.Settings
	zoneIndex int
	store     *proxy
	clients   *proxy
	binary    string
	disabled  string
	folder    string
	starter   starter
	// onExit is called when the process exits unexpectedly.
	onExit func(promise.Exited)

	mutex       sync.Mutex
	incarnation int
	// command is nil while the process is not running. exitExpected is set once a signal that
	// ends the process has been sent. exited is closed when it has exited.
	command      *exec.Cmd
	exitExpected bool
	exited       chan struct{}
}

// start starts the next incarnation, unless the process is running.
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

// awaitExit waits for the end of an incarnation, and reports it if it was not expected.
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

// lastLine returns the last line of an incarnation's log.
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

// signal sends a signal to the process if it is running. After SIGKILL and SIGTERM, its
// exit is expected.
func (p *process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		p.exitExpected = true
	}
	// If the process has just exited, awaitExit handles it.
	_ = p.command.Process.Signal(signal)
}

// reload signals the process to read its settings again, if it has written to its log.
// Before a program has installed its signal handler, SIGHUP would end it.
func (p *process) reload() {
	p.mutex.Lock()
	path := p.logPath(p.incarnation)
	p.mutex.Unlock()
	if output, err := os.Stat(path); err == nil && output.Size() > 0 {
		p.signal(syscall.SIGHUP)
	}
}

// exitChannel returns a channel that is closed when the current incarnation has exited, or
// nil if the process was never started.
func (p *process) exitChannel() <-chan struct{} {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.exited
}

// current returns the process's incarnation, and its pid, or 0 while it is not running.
func (p *process) current() (incarnation, pid int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		pid = p.command.Process.Pid
	}
	return p.incarnation, pid
}

// sample reads the memory and the open descriptors of the process. It returns false if the
// process is not running or they cannot be read.
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

// logLines returns up to most log lines about a request, from all incarnations.
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
