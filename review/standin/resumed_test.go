//go:build review

package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case of turns that are taken up again.
const (
	resumedPrograms = 6
	resumedEvents   = 12
	receivedEvents  = 5
	keptPath        = "/letter/"
	keptRest        = `"timeoutMs":4000,"maxAttempts":1,"retain":true,"retainS":60.0,"sticky":true,"resumable":true,"gapSloMs":200`
	resumeTries     = 20
	retryPause      = 300 * time.Millisecond
)

// program is an agent program of two turns.
type program struct {
	name, firstInput, lastInput string
	// first is the last attempt at the first turn, and events the data that its attempts brought.
	first  string
	events []string
	last   *answer
}

// resumed: a node is killed while it passes turns on whose route keeps them. Their clients take
// the streams up again at another node, which a second turn then goes on from. The replica has to
// get the whole first turn before the second one's input.
func resumed(d *deployment) (held bool, err error) {
	for range 4 {
		if _, err := d.startReplica("model", "1", "-events", fmt.Sprint(resumedEvents), "-step", streamStep.String()); err != nil {
			return false, err
		}
	}
	d.configure(route(keptPath, "streaming", "model", keptRest))
	if err := d.startNodes(3); err != nil {
		return false, err
	}
	programs := make([]*program, resumedPrograms)
	var done sync.WaitGroup
	var begun sync.WaitGroup
	begun.Add(len(programs))
	for index := range programs {
		p := &program{name: fmt.Sprintf("p%d", index), firstInput: fmt.Sprintf("first question of p%d\n", index), lastInput: fmt.Sprintf("second question of p%d\n", index)}
		programs[index] = p
		done.Go(func() { d.performProgram(p, begun.Done) })
	}
	begun.Wait()
	if d.trouble {
		d.killNode(d.nodes[0])
	}
	done.Wait()
	return d.countWrongBodies(programs) == 0, nil
}

// performProgram performs both turns. begun is called once the client has received some events.
func (d *deployment) performProgram(p *program, begun func()) {
	p.first = d.newID()
	fields := turnFields(p.name)
	complete := d.beginTurn(p, fields, begun)
	for try := 0; !complete && try < resumeTries; try++ {
		complete = d.resumeTurn(p, fields)
	}
	if !complete {
		d.note("program %s: the first turn was not served", p.name)
		return
	}
	fields[names.PreviousTurn] = p.first
	for range resumeTries {
		p.last = d.send(d.nodes[1], d.newID(), keptPath+"turn", fields, p.lastInput)
		if p.last.status == http.StatusOK {
			return
		}
		time.Sleep(retryPause)
	}
}

// beginTurn sends the first turn to the first node, and reports whether its answer was whole.
func (d *deployment) beginTurn(p *program, fields map[string]string, begun func()) (complete bool) {
	received := 0
	var once sync.Once
	defer once.Do(begun)
	d.note("client: request %s sent to %s: %s %v %q", p.first, d.nodes[0].name, keptPath, fields, p.firstInput)
	err := readEvents(d.nodes[0].clients, requestText(p.first, keptPath+"turn", fields, p.firstInput), func(data string) {
		p.events = append(p.events, data)
		if received++; received == receivedEvents {
			once.Do(begun)
		}
	})
	d.note("client: request %s answered: %d events, %v", p.first, received, err)
	return err == nil && received > 0
}

// resumeTurn takes the stream of the first turn up again at the second node.
func (d *deployment) resumeTurn(p *program, fields map[string]string) (complete bool) {
	time.Sleep(retryPause)
	resuming := make(map[string]string)
	for name, value := range fields {
		resuming[name] = value
	}
	if len(p.events) > 0 {
		resuming[names.LastEvent], resuming[names.Resumes] = fmt.Sprint(len(p.events)), p.first
	}
	received := d.send(d.nodes[1], d.newID(), keptPath+"turn", resuming, p.firstInput)
	if strings.Contains(received.body, "cannot be resumed") {
		p.events = nil
	}
	if received.status != http.StatusOK || !received.complete {
		return false
	}
	p.events = append(p.events, received.events()...)
	p.first = received.id
	return true
}

// readEvents sends a request and passes on the data of each event as it comes.
func readEvents(address, request string, take func(data string)) error {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	if _, err := io.WriteString(connection, request); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if data, found := strings.CutPrefix(line, "data: "); found && err == nil {
			take(strings.TrimSuffix(data, "\n"))
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// countWrongBodies returns how many second turns ran with another body than the chain.
func (d *deployment) countWrongBodies(programs []*program) (count int) {
	served := 0
	for _, p := range programs {
		if p.last == nil || p.last.status != http.StatusOK {
			continue
		}
		served++
		want := p.firstInput + strings.Join(p.events, "\n") + "\n" + p.lastInput
		if got := d.bodyOf(p.last.id); got != want {
			count++
			d.note("UNASKED: the second turn of program %s, request %s, ran with body %q, its chain is %q", p.name, p.last.id, got, want)
		}
	}
	d.note("%d programs, %d second turns served, %d with a wrong body", len(programs), served, count)
	return count
}
