package config_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/config"
	"birchwood.example/birchwood/zone"
)

const goodNode = `node:
  id: node-1
  zone: north
  listen: 127.0.0.1:7101
  operator: 127.0.0.1:7201
platform:
  log: 127.0.0.1:7001
  machines: 127.0.0.1:7001
  weights: 127.0.0.1:7001
peer_token: a-token-of-enough-length
zones:
  - {name: north, region: home}
  - {name: south, region: home}
links:
  pairs:
    - {from: north, to: south, delay: 7ms}
`

// texts returns the findings in the form in which they are printed.
func texts(findings []config.Finding) []string {
	lines := make([]string, len(findings))
	for index, found := range findings {
		lines[index] = found.String()
	}
	return lines
}

var _ = Describe("Load", func() {
	It("reads a file and keeps the defaults of what it leaves out", func() {
		file, findings := config.Parse("node.yaml", []byte(goodNode))
		Expect(findings).To(BeEmpty())
		Expect(file.Timings).To(Equal(config.Defaults().Timings))
		Expect(file.Links.Delay("south", "north")).To(Equal(7 * time.Millisecond))
		Expect(file.Links.Delay("north", "north")).To(Equal(config.Defaults().Links.SameZone))
		Expect(file.ZoneNames()).To(Equal([]zone.Name{"north", "south"}))
	})

	It("reports everything that is wrong at once, each with file, line, column and path", func() {
		text := strings.NewReplacer(
			"zone: north", "zone: nowhere",
			"listen: 127.0.0.1:7101", "listen: localhost:7101",
			"operator: 127.0.0.1:7201", "operatr: 127.0.0.1:7201",
			"log: 127.0.0.1:7001", "log: 127.0.0.1:0",
			"peer_token: a-token-of-enough-length", "peer_token: short",
			"delay: 7ms", "delay: 7",
		).Replace(goodNode) + "timings:\n  settings_poll: 9s\nlimits:\n  body_bytes: many\n"
		file, findings := config.Parse("node.yaml", []byte(text))
		Expect(file).To(BeNil())
		Expect(texts(findings)).To(ConsistOf(
			`node.yaml:5:3: $.node.operatr: unknown key`,
			`node.yaml:16:32: $.links.pairs[0].delay: "7": want a duration with a unit, such as 250ms, 2s or 1m30s`,
			`node.yaml:20:3: $.limits.body_bytes: "many": want a whole number`,
			`node.yaml:4:3: $.node.listen: "localhost:7101": want an IP number and a port, such as 127.0.0.1:7101; names are not looked up`,
			`node.yaml:1:1: $.node.operator: missing`,
			`node.yaml:7:3: $.platform.log: "127.0.0.1:0": want a port from 1 to 65535`,
			`node.yaml:10:1: $.peer_token: want at least 16 characters`,
			`node.yaml:3:3: $.node.zone: zone "nowhere" is not in the list of zones`,
			`node.yaml:17:1: $.timings.settings_freshness: 10s: want at least two settings_poll, 18s, or a healthy node counts as stale`,
		))
	})

	DescribeTable("refuses", func(old, replacement, want string) {
		Expect(goodNode).To(ContainSubstring(old))
		_, findings := config.Parse("node.yaml", []byte(strings.Replace(goodNode, old, replacement, 1)))
		Expect(texts(findings)).To(ContainElement(ContainSubstring(want)))
	},
		Entry("two listeners on one address", "127.0.0.1:7201", "127.0.0.1:7101", "$.node.operator: address 127.0.0.1:7101 is also that of $.node.listen"),
		Entry("a zone that stands twice", "name: south", "name: north", "$.zones: two items have the same name"),
		Entry("an address that peers cannot reach", "listen: 127.0.0.1:7101", "listen: 0.0.0.0:7101", "set node.advertise"),
		Entry("a key that stands twice", "  zone: north", "  zone: north\n  zone: south", "node.yaml:4:3"),
		Entry("text that is no YAML", "node:", "node: [", "node.yaml:"),
		Entry("a file without a role", "node:\n  id: node-1\n  zone: north\n  listen: 127.0.0.1:7101\n  operator: 127.0.0.1:7201\n", "", "want a section node"),
		Entry("a missing secret", "peer_token: a-token-of-enough-length\n", "", "$.peer_token: missing"),
		Entry("a list where a mapping belongs", "node:\n", "limits: [1]\nnode:\n", "$.limits: a list stands here: want a mapping"),
		Entry("a pair of zones that are one", "to: south", "to: north", "$.links.pairs[0].to"),
	)

	It("lets flags override the file, and names the flag when its value is wrong", func() {
		file, findings := config.Parse("node.yaml", []byte(goodNode),
			config.Override{Path: "node.zone", Value: "south", Origin: "flag --zone"},
			config.Override{Path: "timings.drain_timeout", Value: "5s", Origin: "flag --drain-timeout"})
		Expect(findings).To(BeEmpty())
		Expect(file.Node.Zone).To(Equal(zone.Name("south")))
		Expect(file.Timings.DrainTimeout).To(Equal(5 * time.Second))

		_, findings = config.Parse("node.yaml", []byte(goodNode),
			config.Override{Path: "node.listen", Value: "host:1", Origin: "flag --listen"})
		Expect(texts(findings)).To(ConsistOf(HavePrefix(`flag --listen: $.node.listen: "host:1"`)))
	})
})

var _ = Describe("LoadSettings", func() {
	It("places findings of the settings tree in the file", func() {
		_, findings := config.ParseSettings("settings.yaml", []byte(`id: first
actor: test
edits:
  - path: ""
    values: {zones: [north]}
  - path: shop
    values:
      zones: [north, south]
      caller_tokens: [plain-token]
      call_timeout: 90s
`))
		Expect(texts(findings)).To(ConsistOf(
			HavePrefix(`settings.yaml:8:22: $.edits[1].values.zones[1]: zone "south" is not permitted by the parent "/"`),
			HavePrefix(`settings.yaml:9:23: $.edits[1].values.caller_tokens[0]: want the SHA-256 hash`),
		))
	})
})
