//go:build review

package standin2

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"birchwood.example/birchwood/platform/standin"
)

// stride is the number of tokens in each event of a stream.
const stride = standin.TokensPerEvent

// engine is a stand-in of a model replica. A turn makes as many tokens as its X-Token-Counts allows,
// in events of stride tokens.
type engine struct {
	id, version string
	born        int64
	step        time.Duration
	// idStep is by how much the ids of its events rise: 1, or stride where an id is the number of
	// tokens so far.
	idStep int
	// runaway, if it returns true for a request, has the replica send more events after the
	// whole answer, without end, until its caller closes.
	runaway func(id string) bool
	// onRun is called with each request that begins to run.
	onRun func(e *engine, id, resumedAfter string)

	listener net.Listener
	server   *http.Server
}

// start serves at an address.
func (e *engine) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.listener, e.server = listener, &http.Server{Handler: http.HandlerFunc(e.handle)}
	go func() { _ = e.server.Serve(listener) }()
	return nil
}

func (e *engine) address() string { return e.listener.Addr().String() }

func (e *engine) handle(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(names.RequestID)
	writer.Header().Set(names.RequestID, id)
	if expected := request.Header.Get(names.ExpectReplica); expected != "" && expected != e.id {
		writer.Header().Set("X-Instance-Id", e.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/healthz" {
		writer.Header().Set("X-Instance-Id", e.id)
		return
	}
	if _, err := io.ReadAll(request.Body); err != nil {
		return
	}
	resumedAfter := request.Header.Get(names.LastEvent)
	if e.onRun != nil {
		e.onRun(e, id, resumedAfter)
	}
	first := 1
	if last, err := strconv.Atoi(resumedAfter); err == nil {
		first = last/e.idStep + 1
	}
	_, most, _ := strings.Cut(request.Header.Get(names.TokenCounts), ",")
	tokens, _ := strconv.Atoi(most)
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set(names.Seal, "seal-of-"+e.id)
	last := tokens / stride
	if e.runaway != nil && e.runaway(id) {
		last = int(^uint(0) >> 1)
	}
	e.stream(writer, request, first, last)
}

// stream sends events until the last one, or until the caller closes.
func (e *engine) stream(writer http.ResponseWriter, request *http.Request, first, last int) {
	controller := http.NewResponseController(writer)
	for event := first; event <= last; event++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(e.step):
		}
		_, err := fmt.Fprintf(writer, "id: %d\ndata: token-%d@%s\n\n", event*e.idStep, event, e.version)
		if err != nil || controller.Flush() != nil {
			return
		}
	}
}

// addEngine starts a model replica, which writes its entry with each heartbeat.
func (b *bed) addEngine(e *engine, address string) error {
	if err := e.start(address); err != nil {
		return err
	}
	listed := &standin.Replica{
		ID: e.id, Service: modelService, Zone: "zone-a", Version: e.version, Born: uint64(e.born), AdvertisedAddress: e.address(),
	}
	go b.keepEngineListed(listed)
	return nil
}

func (b *bed) keepEngineListed(listed *standin.Replica) {
	for b.writeEngine(listed) {
		time.Sleep(heartbeat)
	}
}

func (b *bed) writeEngine(listed *standin.Replica) (again bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.closed {
		return false
	}
	if !b.gate.isShut() {
		b.system.PutEntry(listed, "ready")
	}
	return true
}
