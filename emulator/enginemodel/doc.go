// Package enginemodel emulates an inference engine as a pure state machine. The
// virtual-time bench and the HTTP stand-in drive the same type, so that both
// behave identically.
//
// # How an engine runs
//
// The engine computes in iterations (continuous batching). Each iteration
// produces one token for every sequence that decodes, and prefills at most
// Config.ChunkTokens prompt tokens that are not cached yet (chunked prefill). Its
// duration is
//
//	StepOverhead + decoding sequences * DecodePerSequence + prefill tokens * PrefillPerToken
//
// so a fuller batch has a higher throughput, but each call takes longer. A
// waiting sequence joins the batch at the next iteration if a slot is free and
// its prompt and maximum output fit the KV memory. The queue is ordered by
// priority (lower first), then by arrival. Running sequences are not preempted.
//
// # The prefix cache
//
// When a sequence ends, the KV cache of its prompt and output is retained as the
// prefix of its program. The next call of the program prefills only the tokens
// that its prompt adds. A prefix is keyed by the program alone and not by the
// hash of its blocks: a program's history only grows, so its cached prefix is
// always the beginning of its next prompt, and one entry per program is cheap.
// Programs never share an entry, so the timing of one branch's calls reveals
// nothing about the text of another branch. Prefixes that no running sequence
// uses are evicted as a whole, least recently used first.
//
// # Use
//
// Step advances the time and applies an event; Ready returns the outputs that are
// due; NextWake returns the latest time for the next call of Step. A finished
// stream can be resumed for Config.StreamRetention: a Generate event with the
// same stream name emits the end again. Cache events and load reports are
// delayed, and some cache events are lost, which leaves a gap in their Sequence.
//
// config.go explains how the rates of DefaultConfig are derived.
package enginemodel
