package history_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/history"
)

var _ = Describe("A tool call that started twice", func() {
	// report checks a history in which one call started twice. The arguments
	// are Repeatable in the submit request and in the attempts.
	report := func(submitted, attempted bool) []history.Finding {
		at := func(seconds int64) time.Time { return time.Unix(seconds, 0) }
		started := &history.AttemptStarted{Backend: "t", Program: "a", Sequence: 1, Kind: api.CallTool, Repeatable: attempted}
		return history.CheckEvents([]history.Event{
			{At: at(1), Sent: &history.Sent{
				Request: "1", Operation: history.OperationSubmit, Program: "a", Key: "k", Sequence: 1, Kind: api.CallTool, Repeatable: submitted,
			}},
			{At: at(2), AttemptStarted: started},
			{At: at(3), AttemptStarted: started},
		}).Findings
	}

	DescribeTable("counts as its caller asked for it, whatever the back end was told",
		func(submitted, attempted bool, findings int) {
			Expect(report(submitted, attempted)).To(HaveLen(findings))
		},
		Entry("repeatable", true, false, 0),
		Entry("not repeatable", false, true, 1),
		Entry("not repeatable, as both know", false, false, 1),
	)
})
