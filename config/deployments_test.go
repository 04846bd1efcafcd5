package config_test

import (
	"fmt"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/config"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/workload"
	"birchwood.example/birchwood/zone"
)

var _ = DescribeTable("the ready files of a deployment", func(name string, engines, services, nodes int) {
	deployment, err := workload.ByName(name)
	Expect(err).NotTo(HaveOccurred())

	standin, findings := config.Load(filepath.Join(name, "standin.yaml"))
	Expect(findings).To(BeEmpty())
	Expect(standin.Standin.Engines).To(HaveLen(engines))
	Expect(standin.Standin.Tools).To(HaveLen(services))

	perZone := map[zone.Name]int{}
	listeners := map[string]string{standin.Standin.Platform: "platform", standin.Standin.Control: "control"}
	for index := range nodes {
		file, findings := config.Load(filepath.Join(name, fmt.Sprintf("node-%d.yaml", index+1)))
		Expect(findings).To(BeEmpty())
		Expect(file.Zones).To(Equal(standin.Zones))
		Expect(file.Links).To(Equal(standin.Links))
		Expect(file.Platform.Log).To(Equal(standin.Standin.Platform))
		perZone[file.Node.Zone]++
		for _, address := range []string{file.Node.Listen, file.Node.Operator} {
			Expect(listeners).NotTo(HaveKey(address))
			listeners[address] = string(file.Node.ID)
		}
	}
	for _, deployed := range deployment.Zones {
		Expect(perZone).To(HaveKeyWithValue(deployed.Name, 2))
	}
	Expect(standin.Links.BetweenZones).To(Equal(deployment.ZoneDelay))
	Expect(standin.Links.Client).To(Equal(deployment.ClientDelay))

	Expect(filepath.IsAbs(standin.Standin.Settings)).To(BeTrue())
	changes, findings := config.LoadSettings(standin.Standin.Settings)
	Expect(findings).To(BeEmpty())
	tree := contract.NewTree()
	for index, change := range changes {
		Expect(tree.Apply(contract.Revision(index+1), change).Findings).To(BeEmpty())
	}
	expectContracts(tree, &deployment)
	caller, known := tree.Caller(contract.HashToken(name + "-example-token"))
	Expect(known).To(BeTrue())
	Expect(caller).To(Equal(contract.Path(name)))
},
	Entry("Koudeketting has 12 model replicas and 3 depot event services", "koudeketting", 12, 3, 6),
	Entry("Qasr has 14 model replicas and 4 collections services", "qasr", 14, 4, 8),
)

// expectContracts checks that the settings agree with the branches that the
// emulated load of the same deployment uses.
func expectContracts(tree *contract.Tree, deployment *workload.Deployment) {
	for _, branch := range deployment.Branches {
		resolved, err := tree.Resolve(branch.Path)
		Expect(err).NotTo(HaveOccurred())
		Expect(resolved.Placement).To(Equal(deployment.Placement(branch.Path)), string(branch.Path))
		Expect(resolved.Priority).To(Equal(branch.Priority), string(branch.Path))
		Expect(resolved.BudgetTokens).To(Equal(branch.BudgetTokens), string(branch.Path))
		Expect(resolved.MaxTurns).To(Equal(branch.MaxTurns), string(branch.Path))
		Expect(resolved.Models).To(ConsistOf(deployment.Models))
		for _, service := range deployment.Tools {
			Expect(resolved.Tools).To(ConsistOf(service.Tools))
		}
	}
}

var _ = Describe("Dev", func() {
	It("describes three zones, four nodes, six engines and two kinds of tool, and its settings are accepted", func() {
		development := config.Dev()
		Expect(development.Nodes).To(HaveLen(4))
		Expect(development.Standin.Zones).To(HaveLen(3))
		Expect(development.Standin.Standin.Engines).To(HaveLen(6))
		Expect(development.Standin.Standin.Tools).To(HaveLen(2))

		tree := contract.NewTree()
		for index, change := range development.Changes {
			Expect(tree.Apply(contract.Revision(index+1), change).Findings).To(BeEmpty())
		}
		branch, known := tree.Caller(contract.HashToken(config.DevCallerToken))
		Expect(known).To(BeTrue())
		Expect(branch).To(Equal(config.DevBranch))
	})
})
