package enginemodel

// Role sets the balance between prefill throughput and the token rate of decoding
// sequences.
type Role string

// The roles of an engine.
const (
	RoleBalanced Role = "balanced"
	// RolePrefill allows four times ChunkTokens of prefill per iteration.
	RolePrefill Role = "prefill"
	// RoleDecode allows an eighth of ChunkTokens of prefill per iteration.
	RoleDecode Role = "decode"
)

// roleChunkEighths is the maximum prefill of one iteration in each role, in eighths
// of ChunkTokens.
var roleChunkEighths = map[Role]int{RoleBalanced: 8, RolePrefill: 32, RoleDecode: 1}

// chunkDenominator is the denominator of the shares in roleChunkEighths.
const chunkDenominator = 8
