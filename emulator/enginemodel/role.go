package enginemodel

// Role trades prefill throughput against the smoothness of running answers.
type Role string

// The roles of an engine.
const (
	RoleBalanced Role = "balanced"
	// RolePrefill lets an iteration take four times the prefill.
	RolePrefill Role = "prefill"
	// RoleDecode lets an iteration take an eighth of the prefill.
	RoleDecode Role = "decode"
)

// roleChunkEighths is the share of ChunkTokens that each role prefills, in eighths.
var roleChunkEighths = map[Role]int{RoleBalanced: 8, RolePrefill: 32, RoleDecode: 1}

// chunkDenominator is the denominator of roleChunks.
const chunkDenominator = 8
