package platformmodel

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The kinds of tool service, and the tools that each answers.
const (
	KindDepotEvents = "depot-events"
	KindCollections = "collections"
)

var toolsOfKind = map[string][]string{
	KindDepotEvents: {"record_seal_break", "acknowledge_alarm", "read_logger"},
	KindCollections: {"issue_plan_receipt", "send_letter", "read_account"},
}

// ToolsOf returns the names of the tools that a kind of service answers, or
// nil for an unknown kind.
func ToolsOf(kind string) []string { return slices.Clone(toolsOfKind[kind]) }

// ToolRun is what a tool service knows of one key.
type ToolRun struct {
	Key    string `json:"key"`
	Tool   string `json:"tool"`
	Input  string `json:"input"`
	Output string `json:"output"`
	// Count is how often the key was run. More than one is a double run.
	Count int       `json:"count"`
	First time.Time `json:"first"`
	Last  time.Time `json:"last"`
}

// ToolService runs requests and remembers each key. It does not suppress a
// repeated key: that a request runs once is the caller's promise, and Count
// shows whether it was kept.
type ToolService struct {
	kind string
	runs map[string]*ToolRun
}

// NewToolService returns a service of the kind without runs.
func NewToolService(kind string) *ToolService {
	return &ToolService{kind: kind, runs: make(map[string]*ToolRun)}
}

// Run takes effect at once and returns the output.
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

// Lookup returns what the service knows of the key.
func (s *ToolService) Lookup(key string) (ToolRun, bool) {
	run := s.runs[key]
	if run == nil {
		return ToolRun{}, false
	}
	return *run, true
}

// Runs returns every run, sorted by key.
func (s *ToolService) Runs() []ToolRun {
	all := make([]ToolRun, 0, len(s.runs))
	for _, run := range s.runs {
		all = append(all, *run)
	}
	slices.SortFunc(all, func(a, b ToolRun) int { return strings.Compare(a.Key, b.Key) })
	return all
}

// toolOutput is a function of the request alone, so that a checker can tell
// an answer that reached another call.
func toolOutput(key, tool, input string) string {
	return fmt.Sprintf(`{"tool":%q,"reference":"%016x","input":"%016x"}`,
		tool, xxhash.Sum64String(tool+"\x00"+key), xxhash.Sum64String(input))
}
