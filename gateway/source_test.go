package gateway_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
)

var _ = Describe("A stream that is attached while its call runs", func() {
	It("ends with the call that its buffer brings, without asking for it", func() {
		shared := newCluster()
		owner := shared.start("isando-1")
		shared.move("isando-1")
		programs := "http://" + owner.address + "/v1/programs"
		calls := programs + "/" + string(triageProgram) + "/calls"
		Expect(ask("POST", programs, triageToken, createTriage).status).To(Equal(200))
		stream := openEvents("POST", calls, triageToken, streamFirst)
		defer stream.close()
		held := shared.get(triageProgram, "a")
		held.buffer.Append(1, 0, "one ")
		Expect(stream.next().kind).To(Equal("accepted"))
		Expect(stream.next()).To(Equal(received{"text", "1:4", `{"offset":0,"text":"one "}`}))

		By("finishing the buffer only: whoever asks for the call's end is not answered")
		recorded := held.state
		recorded.Status = api.StatusSucceeded
		recorded.Output = "one two"
		held.buffer.Finish(recorded)
		text, last := stream.text()
		Expect(text).To(Equal("two"))
		Expect(last.kind).To(Equal("end"))
		Expect(last.data).To(ContainSubstring(`"output":"one two"`))
	})
})
