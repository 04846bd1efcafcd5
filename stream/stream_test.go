package stream_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"birchwood.example/birchwood/stream"
)

// reader collects an answer as a caller does: it discards its text when a newer
// attempt begins.
type reader struct {
	attempt int
	text    strings.Builder
}

// add adds a part and reports whether it directly follows the reader's text.
func (r *reader) add(part stream.Part) bool {
	if part.Attempt != r.attempt {
		r.attempt = part.Attempt
		r.text.Reset()
	}
	if part.Offset != r.text.Len() {
		return false
	}
	r.text.WriteString(part.Text)
	return true
}

// readAll reads to the end of the buffer and reports whether all parts fitted.
func (r *reader) readAll(buffer *stream.Buffer) bool {
	for {
		part, err := buffer.Next(context.Background(), r.attempt, r.text.Len())
		if err != nil || !r.add(part) {
			return false
		}
		if part.Closed {
			return true
		}
	}
}

// step performs one random operation of a writer: it appends text, repeats text,
// leaves a gap, sends late text of an older attempt, or restarts. answers[n] is
// the whole text of attempt n.
func step(t *rapid.T, buffer *stream.Buffer, attempt, written *int, answers []string) {
	answer := answers[*attempt]
	switch rapid.SampledFrom([]string{"append", "append", "append", "again", "gap", "late", "restart"}).Draw(t, "move") {
	case "append":
		end := rapid.IntRange(*written, len(answer)).Draw(t, "end")
		if !buffer.Append(*attempt, *written, answer[*written:end]) {
			t.Fatal("the next text was refused")
		}
		*written = end
	case "again":
		from := rapid.IntRange(0, *written).Draw(t, "from")
		end := rapid.IntRange(from, len(answer)).Draw(t, "end")
		buffer.Append(*attempt, from, answer[from:end])
		*written = max(*written, end)
	case "gap":
		if buffer.Append(*attempt, *written+1, "lost") {
			t.Fatal("text after a gap was taken")
		}
	case "late":
		if *attempt > 1 && buffer.Append(*attempt-1, 0, "late") {
			t.Fatal("text of an older attempt was taken")
		}
	case "restart":
		if *attempt+1 < len(answers) {
			*attempt++
			*written = 0
			buffer.Restart(*attempt)
			buffer.Restart(*attempt - 1)
		}
	}
}

// TestReadersGetTheWholeAnswer checks that readers that attach at any time, some
// while the writer appends, get the last attempt's text completely and without
// duplicates.
func TestReadersGetTheWholeAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answers := append([]string{""}, rapid.SliceOfN(rapid.StringN(0, 40, 120), 1, 4).Draw(t, "answers")...)
		buffer := stream.NewBuffer()
		var group sync.WaitGroup
		readers := make([]reader, rapid.IntRange(1, 4).Draw(t, "readers"))
		whole := make([]bool, len(readers))
		attach := func(i int) { group.Go(func() { whole[i] = readers[i].readAll(buffer) }) }
		attempt, written := 1, 0
		buffer.Restart(attempt)
		started := 0
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			if started < len(readers) && rapid.Bool().Draw(t, "attach") {
				attach(started)
				started++
			}
			step(t, buffer, &attempt, &written, answers)
		}
		buffer.Close()
		for ; started < len(readers); started++ {
			attach(started)
		}
		group.Wait()
		for i := range readers {
			if !whole[i] || readers[i].text.String() != answers[attempt][:written] {
				t.Fatalf("reader %d got %q, want %q", i, readers[i].text.String(), answers[attempt][:written])
			}
		}
	})
}

// TestNextWaitsForABufferThatIsBehind guards against sending a reader text of an
// older attempt than the one that it has received from another node.
func TestNextWaitsForABufferThatIsBehind(t *testing.T) {
	buffer := stream.NewBuffer()
	buffer.Restart(1)
	buffer.Append(1, 0, "old old old")
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	if part, err := buffer.Next(ctx, 2, 4); err == nil {
		t.Fatalf("got %+v", part)
	}
	buffer.Restart(2)
	buffer.Append(2, 0, "new text")
	part, err := buffer.Next(context.Background(), 2, 4)
	if err != nil || part.Text != "text" || part.Attempt != 2 {
		t.Fatalf("got %+v, %v", part, err)
	}
}
