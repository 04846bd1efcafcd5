package linkhttp

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/link"
)

// lane is the queue of control or of bulk messages to one peer. The transport's
// mutex guards it.
type lane struct {
	transport *Transport
	peer      *peer
	breaker   *link.Breaker
	queue     []link.Message
	// sending is true while a goroutine sends the queue's messages.
	sending bool
}

func (t *Transport) newLane(owner *peer) (*lane, error) {
	breaker, err := link.NewBreaker(t.config.Breaker)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &lane{transport: t, peer: owner, breaker: breaker}, nil
}

// enqueue adds a message and starts a sending goroutine if there is none.
func (l *lane) enqueue(message link.Message) error {
	if len(l.queue) >= l.transport.config.QueueMessages {
		return ErrQueueFull
	}
	if !l.sending && !l.breaker.Allow(time.Now()) {
		return ErrBreakerOpen
	}
	l.queue = append(l.queue, message)
	if !l.sending {
		l.sending = true
		l.transport.senders.Add(1)
		go l.run()
	}
	return nil
}

func (l *lane) clear() {
	l.queue = nil
}

// run sends batches until the queue is empty or the breaker opens. enqueue has
// already checked the breaker for the first batch.
func (l *lane) run() {
	defer l.transport.senders.Done()
	for batch := l.firstBatch(); len(batch) > 0; {
		err := l.sendBatch(batch)
		batch = l.nextBatch(len(batch), err)
	}
}

func (l *lane) firstBatch() []link.Message {
	l.transport.mutex.Lock()
	defer l.transport.mutex.Unlock()
	return l.takeBatchLocked()
}

// nextBatch records the result of a batch and returns the next one. It drops the
// queue if the breaker is open.
func (l *lane) nextBatch(sent int, err error) []link.Message {
	l.transport.mutex.Lock()
	defer l.transport.mutex.Unlock()
	if err != nil {
		l.breaker.Failure(time.Now())
		l.transport.counters.failed.Add(int64(sent))
	} else {
		l.breaker.Success()
		l.transport.counters.messagesSent.Add(int64(sent))
	}
	if len(l.queue) > 0 && !l.breaker.Allow(time.Now()) {
		l.transport.counters.dropped.Add(int64(len(l.queue)))
		l.queue = nil
	}
	return l.takeBatchLocked()
}

func (l *lane) takeBatchLocked() []link.Message {
	count := min(len(l.queue), l.transport.config.BatchMessages)
	if count == 0 {
		l.sending = false
		l.queue = nil
		return nil
	}
	batch := l.queue[:count:count]
	l.queue = l.queue[count:]
	return batch
}

// sendBatch sends a batch as one request, or as several if it exceeds
// BatchBytes.
func (l *lane) sendBatch(batch []link.Message) error {
	body := []byte{'['}
	for _, message := range batch {
		encoded, err := json.Marshal(message)
		if err != nil {
			return Error.Wrap(fmt.Errorf("encode a message to %s: %w", message.To, err))
		}
		if len(body) > 1 && len(body)+len(encoded) > l.transport.config.BatchBytes {
			if err := l.request(append(body, ']')); err != nil {
				return err
			}
			body = body[:1]
		}
		if len(body) > 1 {
			body = append(body, ',')
		}
		body = append(body, encoded...)
	}
	return l.request(append(body, ']'))
}

func (l *lane) request(body []byte) error {
	config := &l.transport.config
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + l.peer.address + Path)
	request.Header.SetContentType("application/json")
	request.Header.Set(fasthttp.HeaderAuthorization, bearerPrefix+config.Token)
	request.Header.Set(HeaderZone, string(config.Zone))
	request.SetBodyRaw(body)
	if err := l.peer.client.DoTimeout(request, response, config.RequestTimeout); err != nil {
		return Error.Wrap(fmt.Errorf("post to %s: %w", l.peer.address, err))
	}
	if status := response.StatusCode(); status != fasthttp.StatusNoContent {
		reason := strings.TrimSpace(string(response.Body()))
		return Error.New("post to %s: status %d: %s", l.peer.address, status, reason)
	}
	return nil
}
