package ledger

// StreamOrigin is where a stream began. What two software versions write does not fit
// together, so a stream may go on only at replicas of the version that began it.
type StreamOrigin struct {
	Service string `json:"service"`
	// Version is that of the replicas' software.
	Version string `json:"version"`
}
