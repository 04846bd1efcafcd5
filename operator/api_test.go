package operator_test

import (
	"encoding/json"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/gateway"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/operator"
	"birchwood.example/birchwood/partition"
)

const triageOperator = "triage-operator"

var _ = Describe("The operators' API", func() {
	var node *fakeNode
	var refusals *operator.RefusalLog
	var served apiClient

	// ask sends a request and decodes the answer.
	ask := func(method, path, token, body string, into any) int {
		status, text := served.ask(method, "/v1/operator/"+path, token, body)
		if into != nil {
			Expect(json.Unmarshal([]byte(text), into)).To(Succeed(), text)
		}
		return status
	}
	refusalOf := func(method, path, token, body string) api.Error {
		var failure struct{ Error api.Error }
		ask(method, path, token, body, &failure)
		return failure.Error
	}
	change := func(id string, based int, path, values string) string {
		encoded, err := json.Marshal(map[string]any{
			"id": id, "based": based, "edits": []any{map[string]any{"path": path, "values": json.RawMessage(values)}},
		})
		Expect(err).NotTo(HaveOccurred())
		return string(encoded)
	}

	BeforeEach(func() {
		node = &fakeNode{tree: contract.NewTree()}
		refusals = operator.NewRefusalLog(4)
		served = serve(node, operator.NewMetrics(), refusals)
		root := `{"zones":["isando","midrand-a"],"models":["m"]}`
		Expect(ask("POST", "settings", "bootstrap", change("c1", 0, "", root), nil)).To(Equal(200))
		triage := `{"priority":3,"operator_tokens":["` + contract.HashToken(triageOperator) + `"]}`
		Expect(ask("POST", "settings", "bootstrap", change("c2", 1, "triage", triage), nil)).To(Equal(200))
	})

	It("answers a body that is too large with its code", func() {
		body := `{"id":"` + strings.Repeat("x", 2<<20) + `"}`
		Expect(refusalOf("POST", "settings", "bootstrap", body).Code).To(Equal(api.CodeBodyTooLarge))
	})

	It("needs a token that the tree lists, or the bootstrap token", func() {
		Expect(refusalOf("GET", "settings", "", "").Code).To(Equal(api.CodeUnauthorized))
		Expect(refusalOf("GET", "settings", "guess", "").Code).To(Equal(api.CodeUnauthorized))
		Expect(ask("GET", "settings", triageOperator, "", nil)).To(Equal(200))
	})

	It("shows an operator its own branch, and no other's edits, values or machines to drain", func() {
		var settings operator.Settings
		ask("GET", "settings", triageOperator, "", &settings)
		Expect(settings.Path).To(Equal(contract.Path("triage")))
		var entries []contract.HistoryEntry
		ask("GET", "settings/history", triageOperator, "", &entries)
		Expect(entries).To(HaveLen(2))
		Expect(entries[1].Edits).To(BeEmpty(), "the root's edit lists other operators' values")
		Expect(refusalOf("GET", "settings?path=", triageOperator, "").Code).To(Equal(api.CodeForbidden))
		Expect(refusalOf("POST", "settings", triageOperator, change("c3", 2, "audit", `{"priority":9}`)).Location).To(Equal("$.edits[0].path"))
		Expect(refusalOf("POST", "nodes/isando-1/drain", triageOperator, "").Code).To(Equal(api.CodeForbidden))
		Expect(node.drained).To(BeEmpty())
	})

	It("previews a change without sending it", func() {
		var preview operator.Preview
		ask("POST", "settings/preview", "bootstrap", change("c3", 2, "", `{"zones":["isando"]}`), &preview)
		Expect(preview.Total).To(Equal(2), "the root and the branch that inherits from it")
		Expect(node.changes).To(HaveLen(2))
	})

	It("tells the loser of a race which change won and where they clash", func() {
		Expect(ask("POST", "settings", "bootstrap", change("first", 2, "triage", `{"priority":5}`), nil)).To(Equal(200))
		var verdict contract.Verdict
		Expect(ask("POST", "settings", "bootstrap", change("second", 2, "triage", `{"priority":7}`), &verdict)).To(Equal(409))
		Expect(verdict.Accepted).To(BeFalse())
		Expect(verdict.Winner).To(Equal("first"))
		Expect(verdict.Findings).NotTo(BeEmpty())
	})

	It("signs each change with the token's holder", func() {
		body := `{"id":"c3","based":2,"actor":"thandi","edits":[{"path":"triage","values":{"priority":5}}]}`
		Expect(ask("POST", "settings", triageOperator, body, nil)).To(Equal(200))
		Expect(node.changes[2].Actor).To(Equal("thandi (operator " + contract.HashToken(triageOperator)[:8] + ")"))
	})

	It("names the branch that each value comes from, and what changed between revisions", func() {
		var values []contract.Explanation
		ask("GET", "settings/explain?path=triage", "bootstrap", "", &values)
		origins := map[string]contract.Path{}
		for _, value := range values {
			if !value.Default {
				origins[value.Name] = value.From
			}
		}
		Expect(origins).To(HaveKeyWithValue("zones", contract.Root))
		Expect(origins).To(HaveKeyWithValue("priority", contract.Path("triage")))
		var differences []contract.Difference
		ask("GET", "settings/diff?path=triage&from=1&to=2", "bootstrap", "", &differences)
		Expect(differences).NotTo(BeEmpty())
		Expect(refusalOf("GET", "settings/diff?path=triage&from=1&to=99", "bootstrap", "").Code).To(Equal(api.CodeBadRequest))
	})

	It("drains the machines that it knows", func() {
		Expect(ask("POST", "nodes/isando-1/drain", "bootstrap", "", nil)).To(Equal(200))
		Expect(ask("POST", "backends/engine-1/drain", "bootstrap", "", nil)).To(Equal(200))
		Expect(ask("POST", "backends/engine-9/drain", "bootstrap", "", nil)).To(Equal(404))
		Expect(node.drained).To(Equal([]machine.ID{"isando-1", "engine-1"}))
		drained := change("c3", 2, "", `{"drained_backends":["engine-1"]}`)
		Expect(ask("POST", "settings", "bootstrap", drained, nil)).To(Equal(200))
		var backends []operator.BackendState
		ask("GET", "backends", triageOperator, "", &backends)
		Expect(backends).To(ConsistOf(HaveField("Drained", true)))
	})

	It("accepts a loss only of a recovery that waits, and only by an operator of the whole tree", func() {
		stalled := partition.ID{Group: "triage", Index: 1}
		node.owned = []control.PartitionStatus{
			{Partition: partition.ID{Group: "triage", Index: 0}},
			{Partition: stalled, Stall: &partition.Stall{Needed: 2, Read: 1}},
		}
		Expect(refusalOf("POST", "partitions/triage.1/accept-loss", triageOperator, "").Code).To(Equal(api.CodeForbidden))
		Expect(refusalOf("POST", "partitions/triage.0/accept-loss", "bootstrap", "").Code).To(Equal(api.CodeConflict))
		Expect(refusalOf("POST", "partitions/nothing/accept-loss", "bootstrap", "").Code).To(Equal(api.CodeBadRequest))
		Expect(node.accepted).To(BeEmpty())
		Expect(ask("POST", "partitions/triage.1/accept-loss", "bootstrap", "", nil)).To(Equal(200))
		Expect(node.accepted).To(Equal([]partition.ID{stalled}))
	})

	It("passes requests about programs on in the operator's name, and to no other route", func() {
		var asked struct{ Asked string }
		ask("POST", "programs/isando.1.0000000000000001/end", triageOperator, `{"reason":"stuck"}`, &asked)
		Expect(asked.Asked).To(Equal("triage POST /v1/programs/isando.1.0000000000000001/end {'reason':'stuck'}"))
		Expect(refusalOf("GET", "programs/x%2Fcalls%2F1%2Fstream", triageOperator, "").Code).To(Equal(api.CodeBadRequest))
	})

	It("says why a caller was refused, to the operators of the caller's branch", func() {
		for _, branch := range []contract.Path{"triage", "audit"} {
			refusals.Add(gateway.Refusal{Branch: branch, Error: api.Error{ID: "isando-1-" + string(branch), Code: api.CodeOverloaded}})
		}
		var found gateway.Refusal
		Expect(ask("GET", "why/isando-1-triage", triageOperator, "", &found)).To(Equal(http.StatusOK))
		Expect(found.Error.Code).To(Equal(api.CodeOverloaded))
		Expect(refusalOf("GET", "why/isando-1-audit", triageOperator, "").Code).To(Equal(api.CodeNotFound))
	})
})
