package api_test

import (
	"maps"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
)

// description is the part of openapi.yaml that the tests use.
type description struct {
	Components struct {
		Schemas map[string]struct {
			Properties map[string]struct {
				Enum []string `yaml:"enum"`
			} `yaml:"properties"`
		} `yaml:"schemas"`
	} `yaml:"components"`
}

var _ = Describe("The description of the API", func() {
	var described description
	var page string

	BeforeEach(func() {
		content, err := os.ReadFile("openapi.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(yaml.Unmarshal(content, &described)).To(Succeed())
		text, err := os.ReadFile("../docs/API.md")
		Expect(err).NotTo(HaveOccurred())
		page = string(text)
	})

	It("lists every error code, and its HTTP status on the page", func() {
		documented := make(map[api.Code]int)
		for _, line := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (\\d{3}) \\|").FindAllStringSubmatch(page, -1) {
			status, err := strconv.Atoi(line[2])
			Expect(err).NotTo(HaveOccurred())
			documented[api.Code(line[1])] = status
		}
		Expect(documented).To(Equal(api.Codes()))
		var listed []api.Code
		for _, code := range described.Components.Schemas["Error"].Properties["code"].Enum {
			listed = append(listed, api.Code(code))
		}
		Expect(listed).To(ConsistOf(slices.Collect(maps.Keys(api.Codes()))))
	})

	It("gives every declared code an HTTP status", func() {
		source, err := os.ReadFile("error.go")
		Expect(err).NotTo(HaveOccurred())
		for _, declared := range regexp.MustCompile(`Code = "([a-z_]+)"`).FindAllStringSubmatch(string(source), -1) {
			Expect(api.Codes()).To(HaveKey(api.Code(declared[1])))
		}
	})

	DescribeTable("lists exactly the fields of each type",
		func(schema string, value any) {
			var fields []string
			kind := reflect.TypeOf(value)
			for i := range kind.NumField() {
				name, _, _ := strings.Cut(kind.Field(i).Tag.Get("json"), ",")
				fields = append(fields, name)
			}
			var properties []string
			for name := range described.Components.Schemas[schema].Properties {
				properties = append(properties, name)
			}
			Expect(properties).To(ConsistOf(fields))
		},
		Entry("a program", "Program", api.Program{}),
		Entry("a request for a program", "CreateProgram", api.CreateProgram{}),
		Entry("a call", "Call", api.Call{}),
		Entry("a request for a call", "SubmitCall", api.SubmitCall{}),
		Entry("what a call cost", "Usage", api.Usage{}),
		Entry("a history", "History", api.History{}),
		Entry("an error", "Error", api.Error{}),
		Entry("a finding", "Finding", api.Finding{}),
	)
})
