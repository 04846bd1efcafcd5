package load

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/workload"
)

// Config describes one run.
type Config struct {
	// Targets are the addresses of the gateways, "ip:port". Programs are
	// distributed over them.
	Targets    []string
	Deployment workload.Deployment
	Programs   int
	Seed       uint64
	// Rate is the mean number of programs that start per second. Zero means
	// defaultRate.
	Rate float64
	// Speed divides the pauses of users and the delays before they hang up.
	// Zero means 1.
	Speed float64
	// Tokens are the callers' bearer tokens by branch. A program uses the token
	// of the nearest branch that has one; the empty path is the root.
	Tokens map[contract.Path]string
	// Branch and Model, if set, replace those of every program, for nodes whose
	// settings differ from the deployment's.
	Branch contract.Path
	Model  string
	// CallTimeout limits the time for an operation, retries included.
	CallTimeout time.Duration
	// StopAfter is the time from the start of the run after which programs make
	// no further step, to limit runaway programs. Their histories are then read
	// back and they are ended, and their latencies do not count. Zero means no
	// limit.
	StopAfter time.Duration
	// Operators are the addresses of the nodes' operator API. The nodes'
	// control traffic is read from /metrics before and after the run.
	Operators []string
	// ToolServices and Engines are the addresses of stand-ins. After the run,
	// the tool services are queried for the calls that they ran and the engines
	// for their cached prefixes.
	ToolServices []string
	Engines      []string
	// Probes is the number of idle programs that are polled during the run to
	// measure how long their owners do not answer.
	Probes int
	// SkipAnswerCheck accepts answers without the stand-ins' hashes.
	SkipAnswerCheck bool
	// Recorder records the history. Nil records nothing.
	Recorder *history.Recorder
	// Progress, if not nil, is called after each program with the number of
	// programs done so far.
	Progress func(done int)
}

// The defaults of Config.
const (
	defaultRate        = 2.0
	defaultCallTimeout = 3 * time.Minute
)

// withDefaults returns the configuration with defaults for zero fields.
func (c Config) withDefaults() Config {
	c.Rate = cmp.Or(c.Rate, defaultRate)
	c.Speed = cmp.Or(c.Speed, 1)
	c.CallTimeout = cmp.Or(c.CallTimeout, defaultCallTimeout)
	return c
}

// validate returns an error that lists all invalid fields.
func (c Config) validate() error {
	found := findings.Of("load config")
	found.Require(len(c.Targets) > 0, "target", "want at least one address")
	for _, address := range slices.Concat(c.Targets, c.Operators, c.ToolServices, c.Engines) {
		_, _, err := net.SplitHostPort(address)
		found.Require(err == nil, "address", "got %q, want ip:port", address)
	}
	findings.Positive(found, "programs", c.Programs)
	findings.AtLeast(found, "rate", c.Rate, 0)
	findings.AtLeast(found, "speed", c.Speed, 0)
	findings.AtLeast(found, "call timeout", c.CallTimeout, 0)
	findings.AtLeast(found, "probes", c.Probes, 0)
	hasBranch := c.Branch != "" || len(c.Deployment.Branches) > 0
	found.Require(c.Probes == 0 || hasBranch, "probes", "want a branch to start them on")
	return found.Err()
}

// token returns the token of the branch or its nearest ancestor that has one.
// It returns an empty string if there is none.
func (c *Config) token(branch contract.Path) string {
	for path := string(branch); ; {
		if token, found := c.Tokens[contract.Path(path)]; found || path == "" {
			return token
		}
		path = path[:max(0, strings.LastIndexByte(path, '/'))]
	}
}
