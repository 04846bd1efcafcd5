package platformmodel

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The kinds of tool service.
const (
	KindDepotEvents = "depot-events"
	KindCollections = "collections"
)

// toolsOfKind lists the tools that each kind of service runs.
var toolsOfKind = map[string][]string{
	KindDepotEvents: {"record_seal_break", "acknowledge_alarm", "read_logger"},
	KindCollections: {"issue_plan_receipt", "send_letter", "read_account"},
}

// ToolsOf returns the names of the tools that a kind of service runs, or nil for an
// unknown kind.
func ToolsOf(kind string) []string { return slices.Clone(toolsOfKind[kind]) }

// ToolRun is a tool service's record of all runs of one key.
type ToolRun struct {
	Key    string `json:"key"`
	Tool   string `json:"tool"`
	Input  string `json:"input"`
	Output string `json:"output"`
	// Count is how often the key was run. More than one is a duplicate run.
	Count int       `json:"count"`
	First time.Time `json:"first"`
	Last  time.Time `json:"last"`
}

// ToolService runs requests and records each key. It does not deduplicate by key:
// running a request at most once is the duty of the caller, and ToolRun.Count shows
// violations.
type ToolService struct {
	kind string
	runs map[string]*ToolRun
}

// NewToolService returns a service of the kind without runs.
func NewToolService(kind string) *ToolService {
	return &ToolService{kind: kind, runs: make(map[string]*ToolRun)}
}

// Run runs a tool, which takes effect immediately, and returns its output. All runs
// of a key return the output of the first.
func (s *ToolService) Run(now time.Time, key, tool, input string) (string, error) {
	if !slices.Contains(toolsOfKind[s.kind], tool) {
		return "", fmt.Errorf("%s: unknown tool %q", s.kind, tool)
	}
	run := s.runs[key]
	if run == nil {
		run = &ToolRun{Key: key, Tool: tool, Input: input, Output: toolOutput(key, tool, input), First: now}
		s.runs[key] = run
	}
	run.Count++
	run.Last = now
	return run.Output, nil
}

// Lookup returns the runs of a key, and false if there are none.
func (s *ToolService) Lookup(key string) (ToolRun, bool) {
	run := s.runs[key]
	if run == nil {
		return ToolRun{}, false
	}
	return *run, true
}

// Runs returns the runs of all keys, sorted by key.
func (s *ToolService) Runs() []ToolRun {
	all := make([]ToolRun, 0, len(s.runs))
	for _, run := range s.runs {
		all = append(all, *run)
	}
	slices.SortFunc(all, func(a, b ToolRun) int { return strings.Compare(a.Key, b.Key) })
	return all
}

// toolOutput returns an output that depends only on the request, so that a checker
// can detect an answer that was delivered to another call.
func toolOutput(key, tool, input string) string {
	return fmt.Sprintf(`{"tool":%q,"reference":"%016x","input":"%016x"}`,
		tool, xxhash.Sum64String(tool+"\x00"+key), xxhash.Sum64String(input))
}
