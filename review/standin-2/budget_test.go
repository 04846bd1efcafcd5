//go:build review

package standin2

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"birchwood.example/birchwood/platform/standin"
)

// The figures of the case: a program whose budget holds six turns.
const (
	budgetNodes   = 3
	budgetEngines = 4
	turnTokens    = 10 * stride
	tokenBudget   = 6 * turnTokens
	turnDeadline  = 4 * time.Second
	modelHost     = standin.Host
	modelTarget   = standin.ModelPath + "2f"
)

// runBudget has one program take turns, one of which meets a replica in trouble, and adds up the
// tokens that its client got.
func runBudget(b *bed) (bool, error) {
	for index := range budgetEngines {
		e := &engine{
			id: fmt.Sprintf("i-%08x", index+1), version: "1", born: time.Now().UnixMilli(), step: 5 * time.Millisecond, idStep: 1,
			runaway: func(id string) bool { return b.trouble && strings.HasSuffix(id, "1") },
		}
		if err := b.addEngine(e, "127.0.0.1:0"); err != nil {
			return false, err
		}
	}
	if err := b.startNodes(budgetNodes); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	tokens := 0
	for turn := 1; turn <= 12; turn++ {
		answer, err := b.takeTurn(turn)
		if err != nil && answer.Status == 0 {
			b.note("turn %d: %v", turn, err)
			continue
		}
		got := stride * strings.Count(answer.Body, "data: ")
		tokens += got
		b.note("turn %d: status %d, complete %v, %d tokens, %d in all; the budget and the most of one turn are %d", turn, answer.Status, answer.Complete,
			got, tokens, tokenBudget+turnTokens)
		if answer.Status == 402 {
			break
		}
	}
	return tokens > tokenBudget+turnTokens, nil
}

func (b *bed) takeTurn(turn int) (standin.Answer, error) {
	n := b.nodes[turn%len(b.nodes)]
	return standin.SendRequestWithin(turnDeadline+time.Second, n.clients, "POST", modelHost, modelTarget, map[string]string{
		names.RequestID: fmt.Sprintf("%015x%x", 0xabc000+turn, turn%16), "X-Model": "m", names.TokenCounts: "327," + strconv.Itoa(turnTokens),
		names.PromptPrefix: "5c1e07a2:200,91bd3f06:127", names.Deadline: strconv.FormatInt(turnDeadline.Milliseconds(), 10),
		names.Program: "3fa81c", names.Session: "77d20b", names.Finish: "60000", names.TokenBudget: strconv.Itoa(tokenBudget),
	}, strings.Repeat("x", 654))
}
