package command_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/command"
	"birchwood.example/birchwood/contract"
)

// operatorStub serves canned answers and records the requests.
type operatorStub struct {
	mutex   sync.Mutex
	answers map[string][]stubAnswer
	sent    []string
	changes []contract.Change
}

type stubAnswer struct {
	status int
	body   string
}

// ServeHTTP sends the next answer for the request; the last one repeats.
func (s *operatorStub) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	name := request.Method + " " + strings.TrimPrefix(request.URL.Path, "/v1/operator")
	s.sent = append(s.sent, name)
	if request.Header.Get("Authorization") != "Bearer secret" {
		writer.WriteHeader(http.StatusUnauthorized)
		return
	}
	body, _ := io.ReadAll(request.Body)
	var change contract.Change
	if name == "POST /settings" && json.Unmarshal(body, &change) == nil {
		s.changes = append(s.changes, change)
	}
	answers := s.answers[name]
	if len(answers) == 0 {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	if len(answers) > 1 {
		s.answers[name] = answers[1:]
	}
	writer.WriteHeader(answers[0].status)
	_, _ = io.WriteString(writer, answers[0].body)
}

var _ = Describe("The operators' verbs", func() {
	var stub *operatorStub
	var address string

	// run executes a subcommand and returns its output and exit code.
	run := func(input string, arguments ...string) (string, int) {
		root := command.Root()
		var output bytes.Buffer
		root.SetOut(&output)
		root.SetErr(&output)
		root.SetIn(strings.NewReader(input))
		root.SetArgs(append(arguments, "--address", address, "--token", "secret"))
		err := root.Execute()
		var exit *command.ExitError
		switch {
		case errors.As(err, &exit):
			return output.String() + err.Error(), exit.Code
		case err != nil:
			return output.String() + err.Error(), command.ExitUsage
		default:
			return output.String(), command.ExitOK
		}
	}

	BeforeEach(func() {
		stub = &operatorStub{answers: map[string][]stubAnswer{
			"GET /settings":          {{200, `{"revision":7}`}},
			"POST /settings/preview": {{200, `{"total":1,"revision":7,"effects":[{"path":"demo","differences":[{"name":"priority","before":5,"after":8}]}]}`}},
			"POST /settings":         {{200, `{"id":"c","accepted":true,"revision":8}`}},
		}}
		server := httptest.NewServer(stub)
		DeferCleanup(server.Close)
		address = strings.TrimPrefix(server.URL, "http://")
	})

	It("show a change's effect before they send it, based on the present revision, and the verdict after", func() {
		output, code := run("y\n", "settings", "set", "demo", "priority=8", "zones=a,b", "tools=", "call_timeout=90s", "--unset", "models")
		Expect(code).To(Equal(command.ExitOK))
		Expect(output).To(MatchRegexp(`(?s)priority: 5 -> 8.*Send this change.*Accepted as revision 8`))
		Expect(stub.sent).To(Equal([]string{"GET /settings", "POST /settings/preview", "POST /settings"}))
		Expect(stub.changes[0].Based).To(Equal(contract.Revision(7)))
		Expect(json.Marshal(stub.changes[0].Edits)).To(MatchJSON(
			`[{"path":"demo","values":{"priority":8,"zones":["a","b"],"tools":[],"call_timeout":"1m30s"},"unset":["models"]}]`))
	})

	It("send nothing that is not confirmed, that would be refused, or that is a dry run", func() {
		_, code := run("n\n", "settings", "set", "demo", "priority=8")
		Expect(code).To(Equal(command.ExitFailure))
		_, code = run("", "settings", "set", "demo", "priority=8", "--dry-run")
		Expect(code).To(Equal(command.ExitOK))
		stub.answers["POST /settings/preview"] = []stubAnswer{{200, `{"findings":[{"place":"edits[0].values.priority","message":"want 0 to 9"}]}`}}
		output, code := run("", "settings", "set", "demo", "priority=80", "--yes")
		Expect(code).To(Equal(command.ExitFailure))
		Expect(output).To(ContainSubstring("edits[0].values.priority"))
		Expect(stub.changes).To(BeEmpty())
	})

	It("send the same change again while its verdict is not known, and never under another id", func() {
		unknown := stubAnswer{504, `{"error":{"code":"outcome_unknown","message":"no verdict","ran":"outcome_unknown","retry":true}}`}
		stub.answers["POST /settings"] = []stubAnswer{unknown, unknown, {200, `{"id":"c","accepted":true,"revision":8}`}}
		_, code := run("", "settings", "set", "demo", "priority=8", "--yes")
		Expect(code).To(Equal(command.ExitOK))
		Expect(stub.changes).To(HaveLen(3))
		Expect(stub.changes[0].ID).NotTo(BeEmpty())
		Expect(stub.changes[2]).To(Equal(stub.changes[0]))
		stub.answers["POST /settings"] = []stubAnswer{unknown}
		output, code := run("", "settings", "set", "demo", "priority=8", "--yes", "--id", "mine")
		Expect(code).To(Equal(command.ExitFailure))
		Expect(output).To(ContainSubstring("--id mine --based 7"))
	})

	It("fail with the winner's id when a change lost", func() {
		stub.answers["POST /settings"] = []stubAnswer{{409, `{"id":"c","accepted":false,"winner":"other","findings":[{"place":"edits[0].path","message":"conflict"}]}`}}
		output, code := run("", "settings", "set", "demo", "priority=8", "--yes")
		Expect(code).To(Equal(command.ExitFailure))
		Expect(output).To(And(ContainSubstring("lost to change other"), ContainSubstring("edits[0].path: conflict")))
	})

	It("show where each call of a program ran, why there, what it waited for and what it cost", func() {
		stub.answers["GET /programs/p"] = []stubAnswer{{200, `{"id":"p","branch":"demo","calls":2}`}}
		stub.answers["GET /programs/p/trace"] = []stubAnswer{{200, `{"attempts":[
			{"sequence":1,"attempt":1,"backend":"engine-1","accepted":"2026-01-01T00:00:00Z","placed":"2026-01-01T00:00:02Z","ended":"2026-01-01T00:00:05Z"},
			{"sequence":1,"attempt":2,"backend":"engine-2","accepted":"2026-01-01T00:00:00Z","placed":"2026-01-01T00:00:06Z","ended":"2026-01-01T00:00:07Z","terms":{"feasible":3,"queue":1500000000,"reason":"warm"}}]}`}}
		stub.answers["GET /programs/p/history"] = []stubAnswer{
			{200, `{"calls":[{"sequence":1,"key":"a","status":"succeeded","backend":"engine-2","usage":{"prompt_tokens":90,"cached_tokens":60,"output_tokens":9}}],"next":2}`},
			{200, `{"calls":[{"sequence":2,"key":"b","status":"not_run","error":{"code":"overloaded","message":"busy"}}]}`},
		}
		output, code := run("", "program", "trace", "p")
		Expect(code).To(Equal(command.ExitOK))
		Expect(output).To(MatchRegexp(`1 +a +retried +1 +engine-1 +2s +3s`))
		Expect(output).To(MatchRegexp(`1 +a +succeeded +2 +engine-2 +6s +1s +90 +60 +9 +warm, of 3, queue 1.5s`))
		Expect(output).To(MatchRegexp(`2 +b +not_run .*overloaded: busy`))
	})

	It("exit with 3 when no node answers, 2 on wrong usage, 1 on a refusal", func() {
		_, code := run("", "node", "drain", "unknown")
		Expect(code).To(Equal(command.ExitFailure))
		_, code = run("", "node", "list", "--output", "yaml")
		Expect(code).To(Equal(command.ExitUsage))
		_, code = run("", "settings", "set", "demo", "priority")
		Expect(code).To(Equal(command.ExitUsage))
		address = "127.0.0.1:1"
		_, code = run("", "node", "list")
		Expect(code).To(Equal(command.ExitUnreachable))
	})

	It("print the answer as JSON when asked to", func() {
		stub.answers["GET /nodes"] = []stubAnswer{{200, `[{"id":"n1","zone":"isando","status":"live"}]`}}
		output, code := run("", "node", "list", "--output", "json")
		Expect(code).To(Equal(command.ExitOK))
		var nodes []struct{ ID, Zone string }
		Expect(json.Unmarshal([]byte(output), &nodes)).To(Succeed())
		Expect(nodes).To(ConsistOf(struct{ ID, Zone string }{"n1", "isando"}))
	})
})
