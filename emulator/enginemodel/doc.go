// Package enginemodel emulates a model engine as a pure state machine. The
// virtual-time bench and the HTTP stand-in drive the same type, so that both
// show the same behaviour.
//
// # How an engine runs
//
// The engine computes in iterations (continuous batching). Each iteration
// produces one token for every sequence that decodes, and computes a part of
// the prompts that are not in the cache yet (chunked prefill, at most
// Config.ChunkTokens). Its duration is
//
//	StepOverhead + decoding sequences * DecodePerSequence + prefill tokens * PrefillPerToken
//
// so a fuller batch answers more calls a second, and each of them more
// slowly. A waiting sequence joins at the next iteration when a slot is free
// and its prompt and whole output fit the KV memory; the queue is ordered by
// priority (lower first), then by arrival. A running sequence is not
// preempted.
//
// # The prefix cache
//
// When a sequence ends, the KV cache of its prompt and output stays as the
// prefix of its program. The next call of the program computes only what the
// immediate adds. A prefix is named by the program alone and not by the hash of
// its blocks: a program's history only grows, so its cached prefix always is
// the beginning of its next prompt, and one entry a program is cheap. Two
// programs never share an entry, which also keeps the timing of one branch's
// calls from telling about another branch's text. Prefixes that no running
// sequence uses are evicted whole, least recently used first.
//
// # Use
//
// Step lets time pass and applies an event; Ready returns what the engine
// tells by then; NextWake says when to call Step again at the latest. Finished
// streams can be resumed for Config.StreamRetention: a Generate of the same
// name tells the end again. Cache events and load reports are told late, and
// some cache events never (a gap in their Sequence).
//
// The rates of DefaultConfig are our own; config.go says what each follows
// from.
package enginemodel
