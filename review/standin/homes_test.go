//go:build review

package standin

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case of kept turns that have homes.
const (
	homePrograms = 32
	homeRest     = `"timeoutMs":3000,"maxAttempts":1,"retain":true,"retainS":60.0,"sticky":true,"resumable":false,"gapSloMs":300,"allowedRegions":["perth"]`
	homeEvents   = "4"
	// darkFor is how long the killed node stays away, and afterKill how long reads of the store
	// are watched after it was killed.
	darkFor   = 3 * time.Second
	afterKill = 5 * time.Second
	// beforeKill is how long reads are watched without a kill.
	beforeKill = 2 * time.Second
)

// homePlaces are the zones of a deployment in two regions, with a node each.
var homePlaces = []place{{"perth-a", "perth"}, {"perth-b", "perth"}, {"bunbury-a", "bunbury"}}

// homes: turns of a route that may be served and stored in one region alone are kept. One of the
// two nodes there is killed. No body of these turns may be sent to the node in the other region.
func homes(d *deployment) (held bool, err error) {
	d.places = homePlaces
	for range 4 {
		// All replicas are in the first region.
		d.replicaPlaces = homePlaces[:2]
		if _, err := d.startReplica("model", oldVersion, "-events", homeEvents, "-step", "20ms"); err != nil {
			return false, err
		}
	}
	d.configure(route(keptPath, "streaming", "model", homeRest))
	watch := &storeWatch{d: d, bodies: make(map[string]string)}
	d.storeAddress = watch.listen
	if err := d.startNodes(len(homePlaces)); err != nil {
		return false, err
	}
	kept := d.sendHomeTurns(watch)
	d.note("%d of %d turns were served, and are kept", kept, homePrograms)
	time.Sleep(beforeKill)
	if d.trouble {
		d.signal(d.nodes[0], syscall.SIGKILL)
		time.Sleep(darkFor)
		if err := d.runNode(d.nodes[0]); err != nil {
			return false, err
		}
		time.Sleep(afterKill - darkFor)
	}
	return watch.count(d.nodes[2].name) == 0, nil
}

// sendHomeTurns sends the first turns of programs to the nodes of the first region, and returns how
// many were served. Each turn's input is a text of its own.
func (d *deployment) sendHomeTurns(watch *storeWatch) (served int) {
	answers := make([]*answer, homePrograms)
	var sent sync.WaitGroup
	for index := range answers {
		sent.Go(func() {
			id := d.newID()
			body := fmt.Sprintf("record of the patient of program %d, request %s", index, id)
			watch.add(id, body)
			answers[index] = d.send(d.nodes[index%2], id, keptPath+"turn", turnFields("p"+id), body)
		})
	}
	sent.Wait()
	for _, received := range answers {
		if received.status == http.StatusOK && received.complete {
			served++
		}
	}
	return served
}

// storeWatch forwards the nodes' calls to the store, and notes which bodies the store's answers
// carry to which node.
type storeWatch struct {
	d *deployment

	mutex  sync.Mutex
	bodies map[string]string
	seen   map[string]map[string]bool
}

func (w *storeWatch) add(id, body string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.bodies[id] = body
}

// listen returns the address at which a node reaches the store.
func (w *storeWatch) listen(n *node) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { w.forward(n, writer, request) }))
	}()
	return listener.Addr().String(), nil
}

func (w *storeWatch) forward(n *node, writer http.ResponseWriter, request *http.Request) {
	request.URL.Scheme, request.URL.Host, request.RequestURI = "http", w.d.store.Address(), ""
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { _ = response.Body.Close() }()
	answered, err := io.ReadAll(response.Body)
	if err != nil {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.look(n, answered)
	writer.WriteHeader(response.StatusCode)
	_, _ = writer.Write(answered)
}

// look notes the bodies in an answer of the store, which has records raw or in base64.
func (w *storeWatch) look(n *node, answered []byte) {
	text := string(answered)
	var newest struct {
		Items []struct {
			Value string `json:"value"`
		} `json:"items"`
	}
	if json.Unmarshal(answered, &newest) == nil {
		for _, item := range newest.Items {
			value, _ := base64.StdEncoding.DecodeString(item.Value)
			text += string(value)
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for id, body := range w.bodies {
		if !strings.Contains(text, body) {
			continue
		}
		if w.seen == nil {
			w.seen = make(map[string]map[string]bool)
		}
		if w.seen[n.name] == nil {
			w.seen[n.name] = make(map[string]bool)
		}
		if !w.seen[n.name][id] {
			w.seen[n.name][id] = true
			w.d.note("store: the body of request %s was sent to %s: %q", id, n.name, body)
		}
	}
}

// count returns how many bodies were sent to a node.
func (w *storeWatch) count(name string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.d.note("HOME: %d bodies of requests that have their home in perth were sent to %s", len(w.seen[name]), name)
	return len(w.seen[name])
}
