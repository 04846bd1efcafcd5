package api

import (
	"regexp"
	"strings"
)

// Limits on the callers' input.
const (
	// MaximumKeyLength bounds idempotency keys, in bytes.
	MaximumKeyLength = 128
	// MaximumNameLength bounds the names of models, tools and branches, in
	// bytes.
	MaximumNameLength = 256
	// MaximumOutputTokens bounds SubmitCall.MaxOutputTokens.
	MaximumOutputTokens = 1 << 20
	// MaximumMilliseconds bounds time-outs and deadlines. It is 30 days.
	MaximumMilliseconds = 30 * 24 * 60 * 60 * 1000
)

// validKey matches keys that can be used as one segment of a URL path.
var validKey = regexp.MustCompile(`^[A-Za-z0-9._:~@=+,-]+$`)

// CheckKey adds what is wrong with the idempotency key at the location in the
// input to the findings.
func CheckKey(key, location string, findings *Findings) {
	switch {
	case key == "":
		findings.Add(location, "a key is required")
	case len(key) > MaximumKeyLength:
		findings.Add(location, "longer than %d bytes", MaximumKeyLength)
	case !validKey.MatchString(key):
		findings.Add(location, "want letters, digits and . _ : ~ @ = + , - only")
	}
}

// Validate adds what is wrong with the request to the findings.
func (c *CreateProgram) Validate(findings *Findings) {
	if c.Branch == "" {
		findings.Add("$.branch", "a branch is required")
	}
	c.ValidateAgent(findings)
}

// ValidateAgent adds what is wrong with the request for a sub-agent to the
// findings. The branch may be omitted; it then is the parent's.
func (c *CreateProgram) ValidateAgent(findings *Findings) {
	checkBranch(c.Branch, findings)
	CheckKey(c.Key, "$.key", findings)
	if c.BudgetTokens < 0 {
		findings.Add("$.budget_tokens", "want 0 or more")
	}
	checkMilliseconds(c.DeadlineMilliseconds, "$.deadline_ms", findings)
}

func checkBranch(branch string, findings *Findings) {
	switch {
	case len(branch) > MaximumNameLength:
		findings.Add("$.branch", "longer than %d bytes", MaximumNameLength)
	case strings.HasPrefix(branch, "/"), strings.HasSuffix(branch, "/"), strings.Contains(branch, "//"):
		findings.Add("$.branch", "want names joined by single slashes")
	}
}

// Validate adds what is wrong with the request to the findings.
func (s *SubmitCall) Validate(findings *Findings) {
	CheckKey(s.Key, "$.key", findings)
	switch s.Kind {
	case CallModel:
		s.validateModel(findings)
	case CallTool:
		s.validateTool(findings)
	case "":
		findings.Add("$.kind", `a kind is required: "model" or "tool"`)
	default:
		findings.Add("$.kind", `want "model" or "tool"`)
	}
	checkMilliseconds(s.TimeoutMilliseconds, "$.timeout_ms", findings)
}

func (s *SubmitCall) validateModel(findings *Findings) {
	checkName(s.Model, "$.model", findings)
	if s.Tool != "" {
		findings.Add("$.tool", "not allowed in a model call")
	}
	if s.MaxOutputTokens < 0 || s.MaxOutputTokens > MaximumOutputTokens {
		findings.Add("$.max_output_tokens", "want 0 to %d", MaximumOutputTokens)
	}
}

func (s *SubmitCall) validateTool(findings *Findings) {
	checkName(s.Tool, "$.tool", findings)
	if s.Model != "" {
		findings.Add("$.model", "not allowed in a tool call")
	}
	if s.MaxOutputTokens != 0 {
		findings.Add("$.max_output_tokens", "not allowed in a tool call")
	}
}

func checkName(name, location string, findings *Findings) {
	switch {
	case name == "":
		findings.Add(location, "a name is required")
	case len(name) > MaximumNameLength:
		findings.Add(location, "longer than %d bytes", MaximumNameLength)
	}
}

func checkMilliseconds(milliseconds int64, location string, findings *Findings) {
	if milliseconds < 0 || milliseconds > MaximumMilliseconds {
		findings.Add(location, "want 0 to %d", int64(MaximumMilliseconds))
	}
}
