package eventstream_test

import (
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"birchwood.example/birchwood/eventstream"
)

// split is what a splitter made of a stream.
type split struct {
	raw  string
	rest string
	data []string
	ids  []int64
}

// splitInPieces writes a stream in drawn pieces, and reads the events after each.
func splitInPieces(t *rapid.T, stream string) (got split) {
	splitter := &eventstream.Splitter{}
	rest := []byte(stream)
	for len(rest) > 0 {
		piece := rapid.IntRange(1, len(rest)).Draw(t, "piece")
		splitter.Write(rest[:piece])
		rest = rest[piece:]
		for event, whole := splitter.Next(); whole; event, whole = splitter.Next() {
			got.raw += string(event.Raw)
			if event.HasID {
				got.ids = append(got.ids, event.ID)
				got.data = append(got.data, string(event.Data))
			}
		}
	}
	got.rest = string(splitter.Rest())
	return got
}

var _ = Describe("A splitter", func() {
	It("yields the same events however the stream is cut, byte for byte", func() {
		const stream = "id: 1\ndata: one\n\nx-weight-versions: 2\nid: 2\ndata: two\ndata: more\n\n: note\n\nid: 3\r\ndata:\r\n\r\nid: 4\ndata: cut o"
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			got := splitInPieces(t, stream)
			if got.raw+got.rest != stream {
				t.Fatalf("bytes changed: %q", got.raw)
			}
			if len(got.ids) != 3 || got.ids[2] != 3 || got.data[0] != "one" || got.data[1] != "two\nmore" || got.data[2] != "" {
				t.Fatalf("ids %v, data %q", got.ids, got.data)
			}
		})
	})

	It("ends lines at LF, CR LF and CR alone, also mixed, and has no rest after a whole event", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var stream strings.Builder
			last := ""
			for _, line := range []string{"id: 1", "data: one", "", "data: two", "data: more", "id: 2", "", ": note", "", "id: 3", "data", ""} {
				ends := []string{"\r\n", "\r", "\n"}
				if line == "" && last == "\r" {
					// An LF would belong to the line end before it.
					ends = ends[:2]
				}
				last = rapid.SampledFrom(ends).Draw(t, "line end")
				stream.WriteString(line + last)
			}
			got := splitInPieces(t, stream.String())
			if got.raw != stream.String() || got.rest != "" {
				t.Fatalf("got %q and the rest %q of %q", got.raw, got.rest, stream.String())
			}
			if !slices.Equal(got.ids, []int64{1, 2, 3}) || !slices.Equal(got.data, []string{"one", "two\nmore", ""}) {
				t.Fatalf("ids %v, data %q of %q", got.ids, got.data, stream.String())
			}
		})
	})

	It("returns an event that ends with CR at once", func() {
		splitter := &eventstream.Splitter{}
		splitter.Write([]byte("id: 1\rdata: one\r\r"))
		event, whole := splitter.Next()
		Expect(whole).To(BeTrue())
		Expect(event.ID).To(Equal(int64(1)))
		Expect(splitter.Rest()).To(BeEmpty())
	})

	DescribeTable("has a rest inside an event",
		func(stream, rest string) {
			splitter := &eventstream.Splitter{}
			splitter.Write([]byte(stream))
			for _, whole := splitter.Next(); whole; _, whole = splitter.Next() {
			}
			Expect(string(splitter.Rest())).To(Equal(rest))
		},
		Entry("one byte", "id: 1\n\ni", "i"),
		Entry("a field name", "id: 1\n\nid: 2\nda", "id: 2\nda"),
		Entry("a line without its end", "id: 1\n\nid: 2\ndata: two", "id: 2\ndata: two"),
		Entry("a block without its blank line", "id: 1\n\nid: 2\ndata: two\n", "id: 2\ndata: two\n"),
		Entry("a comment without its blank line", "id: 1\n\n: note\n", ": note\n"),
		Entry("half of a line end", "id: 1\r\n\r\nid: 2\r", "id: 2\r"),
		Entry("none after CR LF in two parts", "id: 1\r\n\r\n", ""),
	)
})
