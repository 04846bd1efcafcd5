package linkhttp

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// bearerPrefix is the authorization scheme with the space after it.
const bearerPrefix = "Bearer "

// Handler returns the handler of Path. It calls receive for each message on the
// server's goroutines; receive must not block for long.
func (t *Transport) Handler(receive func(link.Message)) fasthttp.RequestHandler {
	return func(request *fasthttp.RequestCtx) {
		messages, refusal := t.accept(request)
		if refusal != nil {
			t.counters.refused.Add(1)
			request.Error(refusal.reason, refusal.status)
		} else {
			request.SetStatusCode(fasthttp.StatusNoContent)
		}
		t.counters.countExchange(request)
		t.counters.messagesReceived.Add(int64(len(messages)))
		for _, message := range messages {
			receive(message)
		}
	}
}

// Authorized reports whether the request carries the peer token.
func (t *Transport) Authorized(request *fasthttp.RequestCtx) bool {
	header := request.Request.Header.Peek(fasthttp.HeaderAuthorization)
	token, ok := bytes.CutPrefix(header, []byte(bearerPrefix))
	if !ok {
		return false
	}
	// Hashing gives both values the same length, so that the comparison time
	// does not reveal the token's length.
	given := sha256.Sum256(token)
	wanted := sha256.Sum256([]byte(t.config.Token))
	return subtle.ConstantTimeCompare(given[:], wanted[:]) == 1
}

// refusal is the status and reason with which a request is refused.
type refusal struct {
	status int
	reason string
}

func (t *Transport) accept(request *fasthttp.RequestCtx) ([]link.Message, *refusal) {
	if !request.IsPost() {
		return nil, &refusal{fasthttp.StatusMethodNotAllowed, "want POST"}
	}
	if !t.Authorized(request) {
		return nil, &refusal{fasthttp.StatusUnauthorized, "want the peer token"}
	}
	sender := zone.Name(request.Request.Header.Peek(HeaderZone))
	if !t.config.permits(sender, t.config.Zone) {
		return nil, &refusal{fasthttp.StatusServiceUnavailable, "the zones are cut off from each other"}
	}
	body := request.Request.Body()
	if len(body) > t.config.MaximumBody {
		reason := fmt.Sprintf("body of %d bytes, want at most %d", len(body), t.config.MaximumBody)
		return nil, &refusal{fasthttp.StatusRequestEntityTooLarge, reason}
	}
	messages, err := decode(body, t.config.Self)
	if err != nil {
		return nil, &refusal{fasthttp.StatusBadRequest, err.Error()}
	}
	return messages, nil
}

// decode decodes a batch. If any message is invalid, it refuses the whole batch.
// It ignores fields and kinds of message that a newer version has added, so that
// the nodes of a deployment can be upgraded one by one.
func decode(body []byte, self machine.ID) ([]link.Message, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	var messages []link.Message
	if err := decoder.Decode(&messages); err != nil {
		return nil, fmt.Errorf("$: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("$: text after the messages")
	}
	known := messages[:0]
	for i, message := range messages {
		if err := validateMessage(message, self); err != nil {
			return nil, fmt.Errorf("$[%d]: %w", i, err)
		}
		if countKinds(message) > 0 {
			known = append(known, message)
		}
	}
	return known, nil
}

func validateMessage(message link.Message, self machine.ID) error {
	if message.From == "" {
		return errors.New("no sender")
	}
	if message.To != self {
		return fmt.Errorf("meant for %q, this is %q", message.To, self)
	}
	if count := countKinds(message); count > 1 {
		return fmt.Errorf("%d kinds of message, want 1", count)
	}
	return nil
}

// countKinds returns how many members of the message's union are set.
func countKinds(message link.Message) int {
	count := 0
	for _, set := range []bool{
		message.Membership != nil,
		message.Partition != nil,
		message.Sweep != nil,
		message.Load != nil,
		message.Drain,
	} {
		if set {
			count++
		}
	}
	return count
}
