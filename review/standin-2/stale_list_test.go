//go:build review

package standin2

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"birchwood.example/birchwood/platform/standin"
)

// The course of the case.
const (
	// Nodes are added one after the other, at random moments.
	firstNodes   = 3
	addedNodes   = 5
	addGapLeast  = 300 * time.Millisecond
	addGapSpread = 600 * time.Millisecond
	settleTime   = 2 * time.Second
	// Some replicas are replaced one after the other.
	replacedReplicas = 4
	keptReplicas     = 3
	// modelReplicas get no requests here. As all replicas, they keep themselves in the store.
	modelReplicas = 11
	replaceGap    = 100 * time.Millisecond
	// outageDelay is the time from the last removal of an entry to the outage of the store, and
	// outageTime how long that lasts.
	outageDelay = 100 * time.Millisecond
	outageTime  = 2500 * time.Millisecond
	// servesOn is how long a replica serves after its entry is gone.
	servesOn = 12 * time.Second
	// watchTime is how long requests are watched once all nodes are in touch.
	watchTime    = 10 * time.Second
	callInterval = 35 * time.Millisecond
	// workTime is how long a replica works on a request.
	workTime = 100 * time.Millisecond
)

// call is a request of a client.
type call struct {
	id, node string
	safe     bool
	sentAt   time.Time
	status   int
}

// staleList is the state of the case.
type staleList struct {
	*bed
	mutex sync.Mutex
	calls map[string]*call
	runs  []arrival
	gone  map[string]time.Time
	// inTouch is the time in which all nodes are in touch.
	inTouch span
}

// arrival is a request that reached a replica.
type arrival struct {
	id, replica string
	at          time.Time
}

func runStaleList(b *bed) (bool, error) {
	s := &staleList{bed: b, calls: make(map[string]*call), gone: make(map[string]time.Time)}
	var old []*replica
	for range replacedReplicas + keptReplicas {
		r, err := s.addPlain()
		if err != nil {
			return false, err
		}
		old = append(old, r)
	}
	for range modelReplicas {
		if _, err := s.addReplica(func(r *standin.Replica) { r.Service, r.Events = modelService, 8 }); err != nil {
			return false, err
		}
	}
	if err := s.startAllNodes(); err != nil {
		return false, err
	}
	stop := s.startClients()
	time.Sleep(settleTime)
	if err := s.release(old[:replacedReplicas]); err != nil {
		stop()
		return false, err
	}
	time.Sleep(outageDelay)
	if s.trouble {
		s.note("store: down")
		s.gate.setShut(true)
	}
	time.Sleep(outageTime)
	s.gate.setShut(false)
	s.note("store: up")
	time.Sleep(contact)
	s.inTouch = span{from: time.Now(), to: time.Now().Add(watchTime)}
	s.note("all nodes are in touch")
	time.Sleep(watchTime)
	stop()
	return s.judge(), nil
}

// startAllNodes starts the first nodes together, and adds the others one after the other.
func (s *staleList) startAllNodes() error {
	if err := s.startNodes(firstNodes); err != nil {
		return err
	}
	for range addedNodes {
		time.Sleep(addGapLeast + time.Duration(rand.Float64()*float64(addGapSpread)))
		if err := s.startNodes(1); err != nil {
			return err
		}
	}
	return nil
}

// release replaces replicas one after the other.
func (s *staleList) release(leaving []*replica) error {
	for _, r := range leaving {
		if _, err := s.addPlain(); err != nil {
			return err
		}
		time.Sleep(replaceGap)
		s.leave(r)
	}
	return nil
}

// span is a time in which all nodes are in touch.
type span struct{ from, to time.Time }

// allInTouch reports whether all nodes were in touch at a time.
func (s *staleList) allInTouch(at time.Time) bool {
	return at.After(s.inTouch.from) && at.Before(s.inTouch.to)
}

func (s *staleList) addPlain() (*replica, error) {
	return s.addReplica(func(r *standin.Replica) {
		r.OnRun = func(at *standin.Replica, run standin.Run) {
			s.mutex.Lock()
			s.runs = append(s.runs, arrival{id: run.ID, replica: at.ID, at: time.Now()})
			s.mutex.Unlock()
			time.Sleep(workTime)
		}
	})
}

// leave has a replica leave that never says draining: its entry goes, and it serves on.
func (s *staleList) leave(r *replica) {
	at := s.unlist(r)
	s.mutex.Lock()
	s.gone[r.ID] = at
	s.mutex.Unlock()
	s.note("replica %s: its entry is gone", r.ID)
	time.AfterFunc(servesOn, func() { _ = r.Close() })
}

// startClients sends lookups and notices to each node.
func (s *staleList) startClients() (stop func()) {
	done := make(chan struct{})
	var clients sync.WaitGroup
	for _, n := range s.nodes {
		clients.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-done:
					return
				case <-time.After(callInterval):
				}
				clients.Go(func() { s.send(n, number%2 == 0) })
			}
		})
	}
	return func() {
		close(done)
		clients.Wait()
	}
}

func (s *staleList) send(n *node, safe bool) {
	sent := &call{id: s.nextID(), node: n.name, safe: safe, sentAt: time.Now()}
	s.mutex.Lock()
	s.calls[sent.id] = sent
	s.mutex.Unlock()
	method, path, timeout := "GET", standin.LookupPath+"2f", 1200*time.Millisecond
	if !safe {
		method, path, timeout = "POST", standin.NoticePath+"2f", 3000*time.Millisecond
	}
	fields := map[string]string{names.RequestID: sent.id, names.Deadline: strconv.FormatInt(timeout.Milliseconds(), 10)}
	answer, err := standin.SendRequestWithin(timeout, n.clients, method, standin.Host, path, fields, "")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err == nil {
		sent.status = answer.Status
	}
}

// noted is the number of late requests of each node that are written to the record.
const noted = 5

// judge counts the requests that reached a replica more than drainTime after the store had taken
// that it is gone, of those that nodes in touch took from their clients.
func (s *staleList) judge() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	late := make(map[string]int)
	answered, lost := 0, 0
	for _, run := range s.runs {
		sent, leftAt := s.calls[run.id], s.gone[run.replica]
		if sent.status == 200 {
			answered++
		} else if !sent.safe && !leftAt.IsZero() {
			lost++
			s.bed.note("unsafe request %s ran at %s, which is gone, and was answered with %d", run.id, run.replica, sent.status)
		}
		if leftAt.IsZero() || !s.allInTouch(sent.sentAt) || run.at.Sub(leftAt) <= drainTime {
			continue
		}
		late[sent.node]++
		if late[sent.node] > noted {
			continue
		}
		s.bed.note("DRAIN: request %s, sent to %s at %.3f, reached %s at %.3f, %.3f s after its entry was gone", run.id, sent.node,
			sent.sentAt.Sub(s.startedAt).Seconds(), run.replica, run.at.Sub(s.startedAt).Seconds(), run.at.Sub(leftAt).Seconds())
	}
	s.bed.note("%d requests sent, %d ran, %d answered with 200, %d unsafe ones cut off at replicas that are gone; late there, by node: %v",
		len(s.calls), len(s.runs), answered, lost, late)
	return len(late) > 0
}
