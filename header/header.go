// Package header holds the names of the header fields that a deployment's
// clients and replicas use. The names belong to the deployment's platform;
// everything else speaks of them by the fields of Names.
package header

// Names are the header fields of one deployment. A field that the deployment
// does not have is empty.
type Names struct {
	// RequestID identifies one client attempt; replicas echo it.
	RequestID string
	// Deadline is how many milliseconds the sender will wait.
	Deadline string
	// ExpectReplica names the only replica that may run the request.
	ExpectReplica string
	// NotExecuted marks an answer to a request that the replica did not run.
	NotExecuted string
	// ColdLeft is how many milliseconds the replica that answers stays cold.
	ColdLeft string
	// Seal is the replica's signature of its answer.
	Seal string
	// Urgency ranks a request at an engine; 0 is the most urgent.
	Urgency string
	// LastEvent is the id of the last event that the client has.
	LastEvent string
	// PromptPrefix lists the parts of a prompt.
	PromptPrefix string
	// TokenCounts holds the tokens of the prompt, and the most that come out.
	TokenCounts string
	// LengthHint is the client's guess at the tokens that come out.
	LengthHint string
	// Program and Session identify the agent program and its line of turns.
	Program string
	Session string
	// Finish is how many milliseconds the program still has.
	Finish string
	// TokenBudget is what the turns of the program may generate in all.
	TokenBudget string
	// PreviousTurn names the turn that this one goes on from.
	PreviousTurn string
	// Affinity names the object that a request concerns.
	Affinity string
	// Key is the key by which a client's tenant is known, and Tenant is where the
	// replica reads that tenant's name. Neither is passed on from clients.
	Key    string
	Tenant string
	// Reserved are the other fields that direct a replica and that only the
	// system sets. What clients send in them reaches no replica.
	Reserved []string
}

// The header fields of HTTP itself that the project reads or writes.
const (
	Connection       = "Connection"
	ContentLength    = "Content-Length"
	ContentType      = "Content-Type"
	Expect           = "Expect"
	Host             = "Host"
	KeepAlive        = "Keep-Alive"
	RetryAfter       = "Retry-After"
	TransferEncoding = "Transfer-Encoding"
)
