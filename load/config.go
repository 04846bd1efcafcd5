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
	// Targets are the gateways, "ip:port". Programs are spread over them.
	Targets    []string
	Deployment workload.Deployment
	Programs   int
	Seed       uint64
	// Rate is the programs that start in a second. Zero means defaultRate.
	Rate float64
	// Speed divides the pauses of people and the waits before they hang up.
	// Zero means 1.
	Speed float64
	// Tokens are the callers' bearer tokens by branch. A program uses the one
	// of its nearest branch; the empty path stands for every branch.
	Tokens map[contract.Path]string
	// Branch and Model replace those of every program, for nodes with other
	// settings than the deployment's.
	Branch contract.Path
	Model  string
	// CallTimeout bounds how long a call is asked for, retries included.
	CallTimeout time.Duration
	// StopAfter is when programs make no further step, counted from the
	// beginning of the run; they are then read back and ended, and their
	// latency does not count. Zero means never. It bounds runaway programs.
	StopAfter time.Duration
	// Operators are the operators' addresses of nodes, whose control traffic
	// is read from /metrics before and after the run.
	Operators []string
	// ToolServices and Engines are the addresses of stand-ins. After the run
	// the first tell what they ran, and the second what they still hold.
	ToolServices []string
	Engines      []string
	// Probes are programs that only stand by; how long their owners leave them
	// unanswered is measured.
	Probes int
	// AnyAnswer accepts answers that do not carry the stand-ins' hashes.
	AnyAnswer bool
	// Recorder gets the history; nil records nothing.
	Recorder *history.Recorder
	// Progress is told after each program; nil tells nobody.
	Progress func(done int)
}

// The defaults of Config.
const (
	defaultRate        = 2.0
	defaultCallTimeout = 3 * time.Minute
)

// withDefaults fills the zero fields.
func (c Config) withDefaults() Config {
	c.Rate = cmp.Or(c.Rate, defaultRate)
	c.Speed = cmp.Or(c.Speed, 1)
	c.CallTimeout = cmp.Or(c.CallTimeout, defaultCallTimeout)
	return c
}

// validate reports everything that is wrong.
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

// token returns the token of the nearest branch that has one.
func (c *Config) token(branch contract.Path) string {
	for path := string(branch); ; {
		if token, found := c.Tokens[contract.Path(path)]; found || path == "" {
			return token
		}
		path = path[:max(0, strings.LastIndexByte(path, '/'))]
	}
}
