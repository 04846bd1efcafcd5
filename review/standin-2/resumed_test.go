//go:build review

package standin2

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// The figures of the case.
const (
	resumedNodes   = 3
	resumedEngines = 4
	// maxTurns bounds the turns of the program, which otherwise takes turns until a 402.
	maxTurns = 30
	// resumedBudget is the program's budget: twelve turns.
	resumedBudget = 12 * turnTokens
	// cutAfter is the number of events after which the connection of a turn is reset.
	cutAfter = 2
	// cutEach: the connection of one turn of so many is reset.
	cutEach = 2
)

// stream is a turn of the program over all tries of its client.
type stream struct {
	// attempt is the request that brought the first event, and lastID the last event's id.
	attempt, lastID string
	tokens, tries   int
	status          int
	whole           bool
}

// runResumed has one program take turns. The connections of some are reset, and its client takes
// their streams up again at the next node.
func runResumed(b *bed) (bool, error) {
	idStep := stride
	if os.Getenv("IDS") == "consecutive" {
		idStep = 1
	}
	for index := range resumedEngines {
		e := &engine{id: fmt.Sprintf("i-%08x", index+1), version: "1", born: time.Now().UnixMilli(), step: 20 * time.Millisecond, idStep: idStep}
		if err := b.addEngine(e, "127.0.0.1:0"); err != nil {
			return false, err
		}
	}
	if err := b.startNodes(resumedNodes); err != nil {
		return false, err
	}
	var gates []*gate
	for _, n := range b.nodes {
		inFront, err := newGate(n.clients)
		if err != nil {
			return false, err
		}
		defer inFront.close()
		gates = append(gates, inFront)
	}
	time.Sleep(3 * time.Second)
	tokens := 0
	for turn := range maxTurns {
		taken := b.takeStream(gates, turn)
		tokens += taken.tokens
		b.note("turn %d: %d tries, status %d, whole %v, %d tokens, %d in all; the budget and the most of one turn are %d", turn+1, taken.tries,
			taken.status, taken.whole, taken.tokens, tokens, resumedBudget+turnTokens)
		if taken.status == http.StatusPaymentRequired {
			break
		}
	}
	return tokens > resumedBudget+turnTokens, nil
}

// takeStream takes one turn.
func (b *bed) takeStream(gates []*gate, turn int) *stream {
	taken := &stream{}
	for try := range 3 {
		taken.tries++
		cut := b.trouble && try == 0 && turn%cutEach == 0
		b.tryStream(gates[(turn+try)%len(gates)], taken, cut)
		if taken.whole || taken.status == http.StatusPaymentRequired {
			return taken
		}
		time.Sleep(200 * time.Millisecond)
	}
	return taken
}

// tryStream sends one try of a turn. With cut, the connection is reset in the middle of the stream.
func (b *bed) tryStream(through *gate, taken *stream, cut bool) {
	socket, err := net.DialTimeout("tcp", through.address(), time.Second)
	if err != nil {
		return
	}
	defer socket.Close()
	_ = socket.SetDeadline(time.Now().Add(turnDeadline))
	id := b.nextID()
	if _, err := socket.Write([]byte(streamRequest(id, taken))); err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(socket), nil)
	if err != nil {
		return
	}
	taken.status = response.StatusCode
	if taken.status != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(response.Body)
	for events := 0; lines.Scan(); {
		switch name, value, _ := strings.Cut(lines.Text(), ": "); name {
		case "id":
			taken.lastID = value
		case "data":
			events++
			taken.tokens += stride
			if taken.attempt == "" {
				taken.attempt = id
			}
		}
		if cut && events == cutAfter {
			through.setShut(true)
			through.setShut(false)
			cut = false
		}
	}
	taken.whole = lines.Err() == nil
}

// streamRequest returns the text of a try, which takes the stream up if it has begun.
func streamRequest(id string, taken *stream) string {
	body := strings.Repeat("x", 654)
	fields := [][2]string{
		{names.RequestID, id}, {"X-Model", "m"}, {names.TokenCounts, "327," + strconv.Itoa(turnTokens)}, {names.PromptPrefix, "5c1e07a2:200,91bd3f06:127"},
		{names.Deadline, strconv.FormatInt(turnDeadline.Milliseconds(), 10)}, {names.Program, "3fa81c"}, {names.Session, "77d20b"},
		{names.Finish, "60000"}, {names.TokenBudget, strconv.Itoa(resumedBudget)}, {"Content-Length", strconv.Itoa(len(body))},
	}
	if taken.attempt != "" {
		fields = append(fields, [2]string{names.LastEvent, taken.lastID}, [2]string{names.Resumes, taken.attempt})
	}
	text := "POST " + modelTarget + " HTTP/1.1\r\nHost: " + modelHost + "\r\nConnection: close\r\n"
	for _, field := range fields {
		text += field[0] + ": " + field[1] + "\r\n"
	}
	return text + "\r\n" + body
}
