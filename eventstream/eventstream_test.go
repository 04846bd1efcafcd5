package eventstream_test

import (
	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"birchwood.example/birchwood/eventstream"
)

var _ = Describe("A splitter", func() {
	It("yields the same events however the stream is cut, byte for byte", func() {
		const stream = "id: 1\ndata: one\n\nx-weight-versions: 2\nid: 2\ndata: two\ndata: more\n\n: note\n\nid: 3\r\ndata:\r\n\r\nid: 4\ndata: cut o"
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			splitter := &eventstream.Splitter{}
			var raw []byte
			var data []string
			var ids []int64
			rest := []byte(stream)
			for len(rest) > 0 {
				piece := rapid.IntRange(1, len(rest)).Draw(t, "piece")
				splitter.Write(rest[:piece])
				rest = rest[piece:]
				for event, whole := splitter.Next(); whole; event, whole = splitter.Next() {
					raw = append(raw, event.Raw...)
					if event.HasID {
						ids = append(ids, event.ID)
						data = append(data, string(event.Data))
					}
				}
			}
			if string(raw)+string(splitter.Rest()) != stream {
				t.Fatalf("bytes changed: %q", raw)
			}
			if len(ids) != 3 || ids[2] != 3 || data[0] != "one" || data[1] != "two\nmore" || data[2] != "" {
				t.Fatalf("ids %v, data %q", ids, data)
			}
		})
	})
})
