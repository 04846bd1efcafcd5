package workload_test

import (
	"fmt"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/workload"
	"birchwood.example/birchwood/zone"
)

// run executes the programs and returns the steps of each program as text.
// Interleaved programs take turns after each step; others run one after
// another.
func run(programs []*workload.Program, interleaved bool) map[string]string {
	traces := map[string]*strings.Builder{}
	live := programs
	for _, program := range programs {
		traces[program.ID] = &strings.Builder{}
	}
	const maxSteps = 300
	for range maxSteps {
		for i, program := range live {
			steps := 1
			if !interleaved {
				steps = maxSteps
			}
			for range steps {
				step, more := program.Next(workload.Result{Status: api.StatusSucceeded})
				if !more {
					break
				}
				children := len(step.Children)
				step.Children = nil
				fmt.Fprintf(traces[program.ID], "%d %+v %d\n", i, step, children)
			}
		}
		if !interleaved {
			break
		}
	}
	texts := map[string]string{}
	for id, trace := range traces {
		texts[id] = trace.String()
	}
	return texts
}

var _ = Describe("Generator", func() {
	DescribeTable("draws the same programs from the same seed, however drivers interleave them",
		func(name string) {
			deployment, err := workload.ByName(name)
			Expect(err).NotTo(HaveOccurred())
			options := workload.Options{Seed: 7, ProgramsPerSecond: 5}
			first := deployment.Generate(options).Take(40)
			second := deployment.Generate(options).Take(40)
			for i := range first {
				Expect(second[i].Start).To(Equal(first[i].Start))
			}
			Expect(run(first, true)).To(Equal(run(second, false)))
			other := deployment.Generate(workload.Options{Seed: 8, ProgramsPerSecond: 5}).Take(40)
			Expect(other[5].Start).NotTo(Equal(first[5].Start))
		},
		Entry("koudeketting", "koudeketting"), Entry("qasr", "qasr"), Entry("letter", "letter"))

	It("starts programs in order and at the wanted mean rate, bursts included", func() {
		deployment := workload.Qasr()
		programs := deployment.Generate(workload.Options{Seed: 3, ProgramsPerSecond: 20}).Take(20000)
		for i := 1; i < len(programs); i++ {
			Expect(programs[i].Start).To(BeNumerically(">=", programs[i-1].Start))
		}
		seconds := programs[len(programs)-1].Start.Seconds()
		Expect(float64(len(programs)) / seconds).To(BeNumerically("~", 20, 1))
	})

	It("lets a runaway program loop until a limit stops it, and stops it then", func() {
		deployment := workload.Koudeketting()
		generator := deployment.Generate(workload.Options{Seed: 1, ProgramsPerSecond: 1})
		var runaway *workload.Program
		for runaway == nil {
			if program := generator.Next(); program.Runaway {
				runaway = program
			}
		}
		for range 1000 {
			_, more := runaway.Next(workload.Result{Status: api.StatusSucceeded})
			Expect(more).To(BeTrue())
		}
		_, more := runaway.Next(workload.Result{Status: api.StatusNotRun, Code: api.CodeLimitReached})
		Expect(more).To(BeFalse())
	})
})

var _ = Describe("Deployments", func() {
	DescribeTable("can serve every model and tool in every branch's placement",
		func(name string, replicas, tools, zones int) {
			deployment, err := workload.ByName(name)
			Expect(err).NotTo(HaveOccurred())
			Expect(deployment.Replicas).To(HaveLen(replicas))
			Expect(deployment.Tools).To(HaveLen(tools))
			Expect(deployment.Zones).To(HaveLen(zones))
			served := map[zone.Name]map[string]bool{}
			for _, each := range deployment.Replicas {
				for _, model := range each.Models {
					if served[each.Zone] == nil {
						served[each.Zone] = map[string]bool{}
					}
					served[each.Zone][model] = true
				}
			}
			for _, profile := range deployment.Profiles {
				for _, path := range profile.Branches {
					zones := deployment.Placement(path).Zones()
					for _, model := range profile.Models {
						anywhere := slices.ContainsFunc(zones, func(name zone.Name) bool { return served[name][model] })
						Expect(anywhere).To(BeTrue(), "%s on %s", model, path)
					}
				}
			}
		},
		Entry("koudeketting", "koudeketting", 12, 3, 3),
		Entry("qasr", "qasr", 14, 4, 4),
		Entry("letter", "letter", 600, 30, 10))
})
