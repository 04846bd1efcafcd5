package gateway_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
)

const triageProgram = api.ProgramID("isando.19.0000000000000001")

const (
	createTriage = `{"branch":"koudeketting/triage","key":"p"}`
	submitFirst  = `{"key":"a","kind":"model","model":"m","input":"hello"}`
	streamFirst  = `{"key":"a","kind":"model","model":"m","input":"hello","stream":true}`
)

var _ = Describe("A caller at the owner", func() {
	var shared *cluster
	var owner *node
	var programs, calls string

	BeforeEach(func() {
		shared = newCluster()
		owner = shared.start("isando-1")
		shared.owner = "isando-1"
		programs = "http://" + owner.address + "/v1/programs"
		calls = programs + "/" + string(triageProgram) + "/calls"
		created := ask("POST", programs, triageToken, createTriage)
		Expect(created.status).To(Equal(200), created.body)
	})

	It("gets the answer of a call it waits for", func() {
		answered := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			answered <- ask("POST", calls, triageToken, submitFirst)
		}()
		shared.finish(shared.get(triageProgram, "a"), "world")
		var got reply
		Eventually(answered).Should(Receive(&got))
		Expect(got.status).To(Equal(200))
		Expect(got.call().Output).To(Equal("world"))
	})

	It("gets the state of a call it does not wait for", func() {
		got := ask("POST", calls+"?wait=false", triageToken, submitFirst)
		Expect(got.status).To(Equal(202))
		Expect(got.call().Status).To(Equal(api.StatusRunning))
		Expect(ask("GET", calls+"/key:a", triageToken, "").call().Sequence).To(Equal(uint64(1)))
	})

	It("gets text as it is generated, whole characters only, and then the call", func() {
		stream := openEvents("POST", calls, triageToken, streamFirst)
		defer stream.close()
		Expect(stream.next().kind).To(Equal("accepted"))
		held := shared.get(triageProgram, "a")
		held.buffer.Append(1, 0, "caf\xc3")
		Expect(stream.next()).To(Equal(received{"text", "1:3", `{"offset":0,"text":"caf"}`}))
		held.buffer.Append(1, 4, "\xa9!")
		Expect(stream.next()).To(Equal(received{"text", "1:6", `{"offset":3,"text":"é!"}`}))
		shared.finish(held, "café!")
		Expect(stream.next().kind).To(Equal("end"))
	})

	It("gets the end of a stream without a read of the log", func() {
		owner.unreadable = true
		stream := openEvents("POST", calls, triageToken, streamFirst)
		defer stream.close()
		Expect(stream.next().kind).To(Equal("accepted"))
		held := shared.get(triageProgram, "a")
		held.buffer.Append(1, 0, "hello")
		Expect(stream.next().kind).To(Equal("text"))
		Eventually(shared.waits).Should(Equal(1))
		shared.finish(held, "hello")
		Expect(stream.next().kind).To(Equal("end"))
	})

	It("re-attaches to a running call at an offset, and restarts with a new attempt", func() {
		Expect(ask("POST", calls+"?wait=false", triageToken, submitFirst).status).To(Equal(202))
		held := shared.get(triageProgram, "a")
		held.buffer.Append(1, 0, "hello world")
		stream := openEvents("GET", calls+"/1/stream?attempt=1&offset=6", triageToken, "")
		defer stream.close()
		Expect(stream.next().kind).To(Equal("accepted"))
		Expect(stream.next().data).To(ContainSubstring(`"world"`))
		held.buffer.Restart(2)
		Expect(stream.next()).To(Equal(received{"restart", "2:0", `{"attempt":2}`}))
	})

	It("gets the rest of an ended call's answer from its record", func() {
		Expect(ask("POST", calls+"?wait=false", triageToken, submitFirst).status).To(Equal(202))
		rest := strings.Repeat("é", 100_000)
		shared.finish(shared.get(triageProgram, "a"), "hello!"+rest)
		stream := openEvents("GET", calls+"/key:a/stream", triageToken, "", "Last-Event-ID", "1:6")
		defer stream.close()
		Expect(stream.next().kind).To(Equal("accepted"))
		Expect(len(stream.next().data)).To(BeNumerically("<", len(rest)/2), "long text comes in parts")
		text, last := stream.text()
		Expect(len(text)).To(BeNumerically(">", len(rest)/2))
		Expect(rest).To(HaveSuffix(text))
		Expect(last.id).To(BeEmpty())
		Expect(last.kind).To(Equal("end"))
	})

	It("neither sees nor touches another branch's program", func() {
		for _, path := range []string{"", "/history", "/trace", "/calls/1"} {
			got := ask("GET", programs+"/"+string(triageProgram)+path, auditToken, "")
			Expect(got.status).To(Equal(404), path)
			Expect(got.error().Code).To(Equal(api.CodeNotFound))
		}
		Expect(ask("POST", calls, auditToken, submitFirst).error().Code).To(Equal(api.CodeNotFound))
		Expect(ask("POST", programs, auditToken, createTriage).error().Code).To(Equal(api.CodeUnknownBranch))
	})
})
