// Package header defines the HTTP header fields that the project reads or writes.
// The names of the fields between a deployment's clients and replicas are set by
// the deployment's platform; all other code refers to them by the fields of Names.
package header

// Names are the header fields of one deployment. A field that the deployment
// does not have is empty.
type Names struct {
	// RequestID identifies one client attempt; replicas echo it.
	RequestID string
	// Deadline is how long the sender waits, in milliseconds.
	Deadline string
	// ExpectReplica names the only replica that may run the request.
	ExpectReplica string
	// NotExecuted marks an answer to a request that the replica did not run.
	NotExecuted string
	// ColdLeft is how long the answering replica stays cold, in milliseconds.
	ColdLeft string
	// Seal is the replica's signature of its answer.
	Seal string
	// Urgency ranks a request at an engine; 0 is the most urgent.
	Urgency string
	// LastEvent is the ID of the last event that the client has received.
	LastEvent string
	// Resumes is the RequestID of the client attempt that brought the first event of the
	// stream that the request resumes.
	Resumes string
	// PromptPrefix lists the parts of a prompt.
	PromptPrefix string
	// TokenCounts holds the number of prompt tokens and the maximum number of
	// output tokens.
	TokenCounts string
	// LengthHint is the client's estimate of the number of output tokens.
	LengthHint string
	// Program and Session identify the agent program and its session, a
	// sequence of turns that continue each other.
	Program string
	Session string
	// Finish is how long the program has left to finish, in milliseconds.
	Finish string
	// TokenBudget is the total number of tokens that the program's turns may
	// generate.
	TokenBudget string
	// PreviousTurn identifies the turn that this one continues.
	PreviousTurn string
	// Affinity identifies the object that a request concerns.
	Affinity string
	// APIKey is the key that identifies a client's tenant, and Tenant gives the
	// replica the tenant's name. Neither is forwarded from clients.
	APIKey string
	Tenant string
	// Reserved lists the other fields that control a replica and that only the
	// system sets. Clients' values of these fields are not forwarded to replicas.
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
