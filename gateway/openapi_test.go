package gateway_test

import (
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"birchwood.example/birchwood/gateway"
	"birchwood.example/birchwood/operator"
)

// routesOf returns "METHOD path" of each route, sorted.
func routesOf(byMethod ...map[string][]string) []string {
	var routes []string
	for _, registered := range byMethod {
		for method, paths := range registered {
			for _, path := range paths {
				routes = append(routes, method+" "+path)
			}
		}
	}
	slices.Sort(routes)
	return routes
}

var _ = Describe("The description of the routes", func() {
	It("lists exactly the routes that are served, in openapi.yaml and on the page", func() {
		callers, err := gateway.New(gateway.DefaultConfig(), &node{}, &log.Logger{})
		Expect(err).NotTo(HaveOccurred())
		operators, err := operator.New(operator.DefaultConfig(), nil, nil, operator.NewMetrics(), nil, &log.Logger{})
		Expect(err).NotTo(HaveOccurred())
		served := routesOf(callers.Routes(), operators.Routes())

		var description struct {
			Paths map[string]map[string]any `yaml:"paths"`
		}
		content, err := os.ReadFile("../api/openapi.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(yaml.Unmarshal(content, &description)).To(Succeed())
		var described []string
		for path, methods := range description.Paths {
			for method := range methods {
				if method != "parameters" {
					described = append(described, strings.ToUpper(method)+" "+path)
				}
			}
		}
		slices.Sort(described)
		Expect(described).To(Equal(served))

		page, err := os.ReadFile("../docs/API.md")
		Expect(err).NotTo(HaveOccurred())
		var documented []string
		for _, line := range regexp.MustCompile("(?m)^\\| `((?:GET|POST) [^`]+)` \\|").FindAllStringSubmatch(string(page), -1) {
			documented = append(documented, line[1])
		}
		slices.Sort(documented)
		Expect(documented).To(Equal(served))
	})
})
