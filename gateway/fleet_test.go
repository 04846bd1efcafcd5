package gateway_test

import (
	"context"
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/gateway"
)

var _ = Describe("A fleet", func() {
	var shared *cluster
	var first, second *node
	var kept *relayCounter

	BeforeEach(func() {
		shared = newCluster()
		first = shared.start("isando-1")
		kept = &relayCounter{}
		second = shared.start("isando-2", func(config *gateway.Config) {
			config.Observer = kept
			config.FindRefusal = kept.find
		})
		shared.move("isando-2")
	})

	listed := func(body []byte) (programs []api.ProgramID, incomplete []string) {
		var list struct {
			Programs   []api.Program
			Incomplete []string
		}
		Expect(json.Unmarshal(body, &list)).To(Succeed())
		for _, program := range list.Programs {
			Expect(program.Branch).To(Equal("koudeketting/triage"))
			programs = append(programs, program.ID)
		}
		return programs, list.Incomplete
	}

	It("lists the programs of every node, and names those that do not answer", func() {
		programs, incomplete := listed([]byte(ask("GET", "http://"+first.address+"/v1/programs", triageToken, "").body))
		Expect(programs).To(Equal([]api.ProgramID{"isando-1", "isando-2"}))
		Expect(incomplete).To(BeEmpty())
		second.kill()
		programs, incomplete = listed([]byte(ask("GET", "http://"+first.address+"/v1/programs", triageToken, "").body))
		Expect(programs).To(Equal([]api.ProgramID{"isando-1"}))
		Expect(incomplete).To(Equal([]string{"isando-2"}))
	})

	It("says when there are more programs than a list holds", func() {
		first.listSize = 600
		second.listSize = 600
		got := ask("GET", "http://"+first.address+"/v1/programs", triageToken, "")
		programs, _ := listed([]byte(got.body))
		Expect(programs).To(HaveLen(1000))
		Expect(got.body).To(ContainSubstring(`"truncated":true`))
	})

	It("tells at any node why another one refused, to callers of the same branch only", func() {
		refusal := ask("GET", "http://"+second.address+"/v1/programs/"+string(triageProgram), triageToken, "").error()
		got := ask("GET", "http://"+first.address+"/v1/refusals/"+refusal.ID, triageToken, "")
		Expect(got.status).To(Equal(200), got.body)
		Expect(got.body).To(ContainSubstring(string(api.CodeNotFound)))
		Expect(ask("GET", "http://"+first.address+"/v1/refusals/"+refusal.ID, auditToken, "").status).To(Equal(404))
	})

	It("serves an operator on the operator's branch wherever the program is", func() {
		Expect(ask("POST", "http://"+second.address+"/v1/programs", triageToken, createTriage).status).To(Equal(200))
		uri := "/v1/programs/" + string(triageProgram)
		status, body := first.gateway.Operate(context.Background(), "koudeketting/triage", "GET", uri, nil)
		Expect(status).To(Equal(200), string(body))
		status, _ = first.gateway.Operate(context.Background(), "koudeketting/audit", "GET", uri, nil)
		Expect(status).To(Equal(404))
	})
})
