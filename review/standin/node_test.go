//go:build review

package standin

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"birchwood.example/birchwood/platform"
	"birchwood.example/birchwood/recordstore"
)

// edgeProgram is the program of a node, as deploy/system.toml runs it, relative to the root of
// the repository.
const edgeProgram = "target/birchwood-edge"

// settingsTemplate is the settings file of a node, with the bounds of a small deployment.
const settingsTemplate = `node = %q
role = "edge"
machineClass = "front"
serves = ["front", "control"]
ip = %q
zone = %q
region = %q
seeds = [%s]
bootstrap = true
countsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"]
[zones]
%s[listen]
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
append_ms = 2.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
retainS = 300
part_mb = 200
ttlMinMs = 1000
`

// startNodes starts nodes and waits until all are ready.
func (d *deployment) startNodes(count int) error {
	var seeds []string
	for number := range count {
		n := &node{name: fmt.Sprintf("front-%s-%d", d.places[number%len(d.places)].zone, number)}
		n.clients, n.ready, n.peers = d.newAddress(), d.newAddress(), d.newAddress()
		d.nodes = append(d.nodes, n)
		seeds = append(seeds, fmt.Sprintf("%q", n.peers))
	}
	for number, n := range d.nodes {
		store, err := d.storeAddress(n)
		if err != nil {
			return err
		}
		at := d.places[number%len(d.places)]
		settings := fmt.Sprintf(settingsTemplate, n.name, d.host, at.zone, at.region, strings.Join(seeds, ", "), d.zoneTable(), n.clients, n.ready, n.peers, store)
		if err := os.WriteFile(d.settingsPath(n), []byte(settings), 0o600); err != nil {
			return err
		}
		if err := d.runNode(n); err != nil {
			return err
		}
	}
	return until(15*time.Second, func() bool {
		for _, n := range d.nodes {
			if !isReady(n) {
				return false
			}
		}
		return true
	})
}

// zoneTable returns the lines of the settings that map zones to regions.
func (d *deployment) zoneTable() (table string) {
	for _, at := range d.places {
		table += fmt.Sprintf("%s = %q\n", at.zone, at.region)
	}
	return table
}

// nodeRestart is how long after its end the platform starts a node again.
const nodeRestart = time.Second

// killNode kills a node, which the platform starts again.
func (d *deployment) killNode(n *node) {
	d.note("node %s: SIGKILL", n.name)
	end(n.command)
	time.AfterFunc(nodeRestart, func() {
		if err := d.runNode(n); err != nil {
			d.note("node %s was not started again: %v", n.name, err)
		}
	})
}

// runNode starts a process of the node.
func (d *deployment) runNode(n *node) error {
	log, err := os.Create(filepath.Join(d.folder, n.name+".log"))
	if err != nil {
		return err
	}
	command := exec.Command(edgeProgram)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + d.settingsPath(n)}
	command.Stdout, command.Stderr = log, log
	if err := d.start(command); err != nil {
		return err
	}
	n.command = command
	d.note("node %s starts: process %d", n.name, command.Process.Pid)
	return nil
}

func isReady(n *node) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// configure writes a configuration with the given routes. The services are an engine named
// model and a plain one named plain.
func (d *deployment) configure(routes ...string) {
	configuration := fmt.Sprintf(`{"version":7,"routes":[%s],"services":[`+
		`{"name":"model","healthPath":"/healthz","maxConns":160,"protocol":"h1","tls":false,`+
		`"engine":{"slots":12,"kvCapacity":127559,"kvTokenBytes":131072,"linkMbps":1100000.0,"stride":9,"models":[{"name":"m"}]}},`+
		`{"name":"plain","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, strings.Join(routes, ","))
	d.write(recordstore.StreamConfiguration, "config", []byte(configuration))
	d.note("configuration: %s", configuration)
}

// route returns a route of the configuration. fields are those that depend on its kind.
func route(path, kind, service, fields string) string {
	return fmt.Sprintf(`{"name":"r%s","host":%q,"pathPrefix":%q,"kind":%q,"service":%q,"sloMs":200,"priority":1,%s}`,
		strings.Trim(path, "/"), host, path, kind, service, fields)
}
