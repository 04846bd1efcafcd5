package command

import (
	"bytes"
	"errors"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("explain", func() {
	const log = `10.1 node-a {"time":"2026-01-02T03:00:10Z","node":"a","message":"config: in force","version":3}
10.1 node-b {"time":"2026-01-02T03:00:10Z","node":"b","message":"config: in force","version":3}
not a line of a log
{"time":"2026-01-02T03:00:11Z","node":"b","partition":4,"owned":false,"message":"ledger: ownership changed"}
{"time":"2026-01-02T03:00:11Z","node":"b","partition":5,"owned":true,"message":"ledger: ownership changed"}
{"time":"2026-01-02T03:00:13Z","node":"a","request":"r1","partition":4,"replica":"i-1","status":503,"message":"request: ended"}
{"time":"2026-01-02T03:00:12Z","node":"c","replica":"i-1","status":"draining","message":"replicas: changed"}
{"time":"2026-01-02T03:00:12Z","node":"a","request":"r2","partition":4,"status":200,"message":"request: ended"}
`

	It("shows the request and what affected it, in order of time", func() {
		var output bytes.Buffer
		Expect(explain(strings.NewReader(log), &output, "r1", time.Minute)).To(Succeed())
		lines := strings.Split(strings.TrimSpace(output.String()), "\n")
		Expect(lines).To(HaveLen(4))
		Expect(lines[0]).To(ContainSubstring(`"node":"a","message":"config: in force"`))
		Expect(lines[1]).To(ContainSubstring(`"partition":4,"owned":false`))
		Expect(lines[2]).To(ContainSubstring("draining"))
		Expect(lines[3]).To(ContainSubstring(`"request":"r1"`))
	})

	It("shows the lines of the node that counted the request towards its tenant's limit", func() {
		const counted = `{"time":"2026-01-02T03:00:11Z","node":"c","live":9,"before":10,"message":"nodes: changed"}
{"time":"2026-01-02T03:00:11Z","node":"d","live":9,"before":10,"message":"nodes: changed"}
{"time":"2026-01-02T03:00:12Z","node":"a","request":"r3","tenant":"t","charge":"refused","counted":"c","status":429,"message":"request: ended"}
`
		var output bytes.Buffer
		Expect(explain(strings.NewReader(counted), &output, "r3", time.Minute)).To(Succeed())
		lines := strings.Split(strings.TrimSpace(output.String()), "\n")
		Expect(lines).To(HaveLen(2))
		Expect(lines[0]).To(ContainSubstring(`"node":"c"`))
	})

	It("shows lines about evacuated zones, whatever their age", func() {
		const evacuated = `{"time":"2026-01-02T02:00:11Z","node":"a","evacuated":"z","version":9,"message":"zones: evacuation began"}
{"time":"2026-01-02T02:00:11Z","node":"b","evacuated":"z","version":9,"message":"zones: evacuation began"}
{"time":"2026-01-02T03:00:12Z","node":"a","request":"r4","status":503,"message":"request: ended"}
{"time":"2026-01-02T03:00:13Z","node":"a","evacuated":"z","version":10,"message":"zones: evacuation ended"}
`
		var output bytes.Buffer
		Expect(explain(strings.NewReader(evacuated), &output, "r4", time.Minute)).To(Succeed())
		lines := strings.Split(strings.TrimSpace(output.String()), "\n")
		Expect(lines).To(HaveLen(2))
		Expect(lines[0]).To(ContainSubstring(`"evacuated":"z","version":9`))
	})

	It("shows the other tries of the request and the replicas that ended under them, whatever their age", func() {
		const tries = `{"time":"2026-01-02T02:00:10Z","node":"b","request":"t1","fingerprint":"f1","status":502,"message":"request: ended"}
{"time":"2026-01-02T02:00:11Z","node":"b","fingerprint":"f1","ended":1,"message":"quarantine: marked"}
{"time":"2026-01-02T02:00:12Z","node":"b","fingerprint":"f2","ended":1,"message":"quarantine: marked"}
{"time":"2026-01-02T02:09:12Z","node":"a","request":"t2","fingerprint":"f1","status":503,"message":"request: ended"}
{"time":"2026-01-02T02:09:13Z","node":"b","request":"t3","fingerprint":"f1","status":503,"message":"request: ended"}
`
		var output bytes.Buffer
		Expect(explain(strings.NewReader(tries), &output, "t2", time.Second)).To(Succeed())
		lines := strings.Split(strings.TrimSpace(output.String()), "\n")
		Expect(lines).To(HaveLen(3))
		Expect(lines[1]).To(ContainSubstring("quarantine: marked"))
		Expect(lines[2]).To(ContainSubstring(`"request":"t2"`))
	})

	It("fails if the log has no line about the request", func() {
		err := explain(strings.NewReader(log), &bytes.Buffer{}, "unknown", time.Minute)
		var exit *ExitError
		Expect(errors.As(err, &exit)).To(BeTrue())
		Expect(exit.Code).To(Equal(ExitFailure))
	})
})
