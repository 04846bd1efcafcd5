package workload

import (
	"slices"
	"time"

	"birchwood.example/birchwood/contract"
)

// The tools that programs call.
const (
	// The tools of the depot event services.
	toolReadLogger       = "read_logger"
	toolAcknowledgeAlarm = "acknowledge_alarm"
	toolRecordSealBreak  = "record_seal_break"
	// The tools of the collections back ends.
	toolReadAccount = "read_account"
	toolPlanReceipt = "issue_plan_receipt"
	toolSendLetter  = "send_letter"
)

// The kinds of program.
const (
	KindTriage       Kind = "excursion-triage"
	KindAudit        Kind = "audit-narrative"
	KindAuditSection Kind = "audit-section"
	KindAlarm        Kind = "alarm-acknowledgement"
	KindSeal         Kind = "seal-break-notice"
	KindLogger       Kind = "logger-readings"
	KindLetter       Kind = "payment-plan-letter"
	KindChat         Kind = "household-chat"
	KindCounter      Kind = "counter"
	KindBilling      Kind = "billing-desk"
)

// lookup returns the use of a tool for short, repeatable queries.
func lookup(tool string, probability float64) ToolUse {
	return ToolUse{
		Tool:        tool,
		Repeatable:  true,
		Probability: probability,
		Seconds:     Lognormal{Median: 0.25, Sigma: 0.8, Maximum: 20},
		Tokens:      Lognormal{Median: 120, Sigma: 0.6, Maximum: 800},
	}
}

// once returns the use of a tool for an action that must not run more than
// once. The program calls it in its last turn.
func once(tool string) ToolUse {
	return ToolUse{
		Tool:         tool,
		Probability:  1,
		LastTurnOnly: true,
		Seconds:      Lognormal{Median: 0.4, Sigma: 0.7, Maximum: 20},
		Tokens:       Lognormal{Median: 30, Sigma: 0.3, Maximum: 100},
	}
}

// auditSection returns the profile of the sub-agent that writes one section of
// an audit report.
func auditSection(large []string) Profile {
	return Profile{
		Kind: KindAuditSection, Branches: []contract.Path{"koudeketting/audit"}, Models: large, Priority: 4,
		Turns:   Lognormal{Median: 3, Sigma: 0.4, Maximum: 8},
		Context: Lognormal{Median: 1500, Sigma: 0.5, Maximum: 6000},
		Input:   Lognormal{Median: 250, Sigma: 0.5, Maximum: 1500},
		Output:  Lognormal{Median: 200, Sigma: 0.5}, OutputCap: 600,
		Tools: []ToolUse{lookup(toolReadLogger, 0.6)},
	}
}

// koudekettingProfiles returns the profiles of Koudeketting. The small model
// serves programs whose users wait for an answer; the large one writes texts.
func koudekettingProfiles(models []string) []Profile {
	small, large := models[:1], models[1:]
	section := auditSection(large)
	return []Profile{
		{
			Kind: KindTriage, Branches: []contract.Path{"koudeketting/triage"}, Models: small,
			Share: 0.25, Priority: 9, Deadline: 60 * time.Second,
			Turns:   Lognormal{Median: 4, Sigma: 0.4, Maximum: 12},
			Context: Lognormal{Median: 1200, Sigma: 0.4, Maximum: 4000},
			Input:   Lognormal{Median: 150, Sigma: 0.5, Maximum: 800},
			Output:  Lognormal{Median: 90, Sigma: 0.5}, OutputCap: 256,
			Tools: []ToolUse{lookup(toolReadLogger, 0.7), once(toolAcknowledgeAlarm)},
		},
		{
			Kind: KindAudit, Branches: []contract.Path{"koudeketting/audit"}, Models: large,
			Share: 0.15, Priority: 4, Deadline: 30 * time.Minute,
			Turns:   Lognormal{Median: 14, Sigma: 0.6, Maximum: 80},
			Context: Lognormal{Median: 4000, Sigma: 0.5, Maximum: 16000},
			Input:   Lognormal{Median: 350, Sigma: 0.6, Maximum: 3000},
			Output:  Lognormal{Median: 280, Sigma: 0.5}, OutputCap: 800,
			Tools:            []ToolUse{lookup(toolReadLogger, 0.5)},
			PauseProbability: 0.25, PauseSeconds: Lognormal{Median: 8, Sigma: 0.9, Maximum: 120},
			SubAgentProbability: 0.06, MaximumSubAgents: 3, SubAgent: &section,
			RunawayProbability: 0.01,
		},
		{
			Kind: KindAlarm, Branches: []contract.Path{"koudeketting/alarms"}, Models: small,
			Share: 0.2, Priority: 8, Deadline: 30 * time.Second,
			Turns:   Lognormal{Median: 1.4, Sigma: 0.4, Maximum: 3},
			Context: Lognormal{Median: 500, Sigma: 0.4, Maximum: 1500},
			Input:   Lognormal{Median: 80, Sigma: 0.4, Maximum: 300},
			Output:  Lognormal{Median: 40, Sigma: 0.4}, OutputCap: 96,
			Tools: []ToolUse{once(toolAcknowledgeAlarm)},
		},
		{
			Kind: KindSeal, Branches: []contract.Path{"koudeketting/seals"}, Models: small,
			Share: 0.1, Priority: 6, Deadline: 5 * time.Minute,
			Turns:   Lognormal{Median: 2, Sigma: 0.3, Maximum: 4},
			Context: Lognormal{Median: 700, Sigma: 0.4, Maximum: 2000},
			Input:   Lognormal{Median: 120, Sigma: 0.4, Maximum: 500},
			Output:  Lognormal{Median: 70, Sigma: 0.4}, OutputCap: 160,
			Tools: []ToolUse{lookup(toolReadLogger, 0.5), once(toolRecordSealBreak)},
		},
		{
			Kind:     KindLogger,
			Branches: []contract.Path{"koudeketting/loggers", "koudeketting/loggers/isando-farms"},
			Models:   small, Share: 0.3, Priority: 2,
			Turns:   Lognormal{Median: 20, Sigma: 0.4, Maximum: 60},
			Context: Lognormal{Median: 300, Sigma: 0.3, Maximum: 800},
			Input:   Lognormal{Median: 40, Sigma: 0.3, Maximum: 120},
			Output:  Lognormal{Median: 12, Sigma: 0.3}, OutputCap: 32,
			Tools: []ToolUse{{
				Tool: toolReadLogger, Repeatable: true, Probability: 0.5,
				Seconds: Lognormal{Median: 0.05, Sigma: 0.5, Maximum: 2},
				Tokens:  Lognormal{Median: 8, Sigma: 0.2, Maximum: 20},
			}},
			PauseProbability: 0.3, PauseSeconds: Lognormal{Median: 1.5, Sigma: 0.6, Maximum: 20},
		},
	}
}

// qasrProfiles returns the profiles of Qasr.
func qasrProfiles(models []string) []Profile {
	small, large := models[:1], models[1:]
	return []Profile{
		{
			Kind: KindLetter, Branches: []contract.Path{"qasr/letters"}, Models: large,
			Share: 0.2, Priority: 3, Deadline: 10 * time.Minute,
			Turns:   Lognormal{Median: 4, Sigma: 0.4, Maximum: 10},
			Context: Lognormal{Median: 1800, Sigma: 0.4, Maximum: 5000},
			Input:   Lognormal{Median: 200, Sigma: 0.5, Maximum: 1000},
			Output:  Lognormal{Median: 320, Sigma: 0.4}, OutputCap: 700,
			Tools: []ToolUse{lookup(toolReadAccount, 0.6), once(toolPlanReceipt), once(toolSendLetter)},
		},
		{
			Kind: KindChat, Branches: []contract.Path{"qasr/chats", "qasr/chats/water-authority"}, Models: small,
			Share: 0.45, Priority: 7, Deadline: 20 * time.Minute,
			Turns:   Lognormal{Median: 8, Sigma: 0.6, Maximum: 40},
			Context: Lognormal{Median: 900, Sigma: 0.4, Maximum: 3000},
			Input:   Lognormal{Median: 45, Sigma: 0.6, Maximum: 300},
			Output:  Lognormal{Median: 70, Sigma: 0.5}, OutputCap: 200,
			Tools:            []ToolUse{lookup(toolReadAccount, 0.25), once(toolPlanReceipt)},
			PauseProbability: 0.9, PauseSeconds: Lognormal{Median: 9, Sigma: 0.9, Maximum: 120},
			HangUpProbability: 0.01, HangUpSeconds: Lognormal{Median: 1.5, Sigma: 0.6, Maximum: 20},
			RunawayProbability: 0.003,
		},
		{
			Kind: KindCounter, Branches: []contract.Path{"qasr/counters"}, Models: small,
			Share: 0.25, Priority: 9, Deadline: 60 * time.Second,
			Turns:   Lognormal{Median: 3, Sigma: 0.4, Maximum: 8},
			Context: Lognormal{Median: 800, Sigma: 0.4, Maximum: 2500},
			Input:   Lognormal{Median: 90, Sigma: 0.5, Maximum: 400},
			Output:  Lognormal{Median: 60, Sigma: 0.4}, OutputCap: 160,
			Tools:            []ToolUse{lookup(toolReadAccount, 0.8), once(toolPlanReceipt)},
			PauseProbability: 0.3, PauseSeconds: Lognormal{Median: 4, Sigma: 0.6, Maximum: 30},
			HangUpProbability: 0.005, HangUpSeconds: Lognormal{Median: 3, Sigma: 0.5, Maximum: 20},
		},
		{
			Kind: KindBilling, Branches: []contract.Path{"qasr/billing"}, Models: large,
			Share: 0.1, Priority: 4, Deadline: 15 * time.Minute,
			Turns:   Lognormal{Median: 6, Sigma: 0.5, Maximum: 24},
			Context: Lognormal{Median: 3000, Sigma: 0.5, Maximum: 12000},
			Input:   Lognormal{Median: 300, Sigma: 0.6, Maximum: 2000},
			Output:  Lognormal{Median: 180, Sigma: 0.5}, OutputCap: 500,
			Tools: []ToolUse{lookup(toolReadAccount, 0.5), once(toolSendLetter)},
		},
	}
}

// designProfiles returns the profiles of both other deployments, with the
// tenants and models of the design size.
func designProfiles(models []string, branches []Branch) []Profile {
	paths := make([]contract.Path, len(branches))
	for i, branch := range branches {
		paths[i] = branch.Path
	}
	both := slices.Concat(koudekettingProfiles(models[:2]), qasrProfiles(models[:2]))
	for i := range both {
		both[i].Branches = paths
		both[i].Models = models
	}
	return both
}
