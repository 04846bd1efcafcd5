package contract_test

import (
	"fmt"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/zone"
)

// A Tree can be used without a Follower: apply the changes of a stream in
// order, and resolve the branches.
func Example() {
	tree := contract.NewTree()
	priority := 9
	changes := []contract.Change{
		{ID: "places", Based: 0, Actor: "head-office", Edits: []contract.Edit{
			{Path: contract.Root, Values: contract.Values{Zones: []zone.Name{"midrand-a", "midrand-b", "isando"}}},
		}},
		{ID: "depot", Based: 1, Actor: "depot", Edits: []contract.Edit{
			{Path: "depot", Values: contract.Values{Zones: []zone.Name{"isando"}}},
			{Path: "depot/triage", Values: contract.Values{Priority: &priority}},
		}},
		{ID: "late", Based: 1, Actor: "night-shift", Edits: []contract.Edit{
			{Path: "depot/triage", Unset: []string{"priority"}},
		}},
	}
	for offset, change := range changes {
		verdict := tree.Apply(contract.Revision(offset+1), change)
		fmt.Printf("%s: accepted %v, winner %q\n", verdict.ID, verdict.Accepted, verdict.Winner)
	}

	triage, err := tree.Resolve("depot/triage")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(triage.Placement, triage.Priority, triage.Attempts)
	// Output:
	// places: accepted true, winner ""
	// depot: accepted true, winner ""
	// late: accepted false, winner "depot"
	// isando 9 3
}
