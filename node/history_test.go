package node

import (
	"context"
	"encoding/json"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/infra"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/recordlog"
)

// flakyLog holds one entry. The first reads fail as if their answers were lost.
type flakyLog struct {
	infra.Log
	lostAnswers int
	entry       []byte
}

func (l *flakyLog) Read(context.Context, string, uint64, int) ([][]byte, uint64, error) {
	if l.lostAnswers > 0 {
		l.lostAnswers--
		return nil, 0, errors.New("the answer was lost")
	}
	return [][]byte{l.entry}, 1, nil
}

var _ = Describe("Reading a history back", func() {
	It("repeats the reads whose answers were lost", func() {
		payload, err := json.Marshal(program.Record{
			Program: "a", Accepted: &program.Accepted{Sequence: 1, Call: api.SubmitCall{Key: "first", Input: "hello"}},
		})
		Expect(err).NotTo(HaveOccurred())
		entry, err := json.Marshal(recordlog.Entry{Kind: recordlog.KindRecord, Payload: payload})
		Expect(err).NotTo(HaveOccurred())
		reader := &Node{log: &flakyLog{lostAnswers: 3, entry: entry}}
		calls, err := reader.readCalls(context.Background(), partition.ID{}, "a", []program.CallLocation{{Sequence: 1, Status: api.StatusRunning}})
		Expect(err).NotTo(HaveOccurred())
		Expect(calls).To(HaveLen(1))
		Expect(calls[0].Input).To(Equal("hello"))
	})
})
