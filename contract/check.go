package contract

import (
	"fmt"
	"slices"

	"birchwood.example/birchwood/zone"
)

// checkChangeFields checks a change's ID, actor and number of edits.
func checkChangeFields(change Change) []Finding {
	var findings []Finding
	if change.ID == "" || len(change.ID) > maximumIDLength {
		findings = append(findings, Finding{Place: "id", Message: fmt.Sprintf("want 1 to %d bytes", maximumIDLength)})
	}
	if len(change.Actor) > maximumActorLength {
		findings = append(findings, Finding{Place: "actor", Message: fmt.Sprintf("want at most %d bytes", maximumActorLength)})
	}
	if len(change.Edits) == 0 || len(change.Edits) > MaximumEdits {
		findings = append(findings, Finding{Place: "edits", Message: fmt.Sprintf("%d edits: want 1 to %d", len(change.Edits), MaximumEdits)})
	}
	return findings
}

// checkEdit checks an edit without regard to the current settings.
func checkEdit(edit Edit, location string) []Finding {
	var findings []Finding
	if err := edit.Path.Validate(); err != nil {
		findings = append(findings, Finding{Place: location + ".path", Message: err.Error()})
	}
	if edit.Remove && edit.Path == Root {
		findings = append(findings, Finding{Place: location + ".remove", Message: "the root cannot be removed"})
	}
	for index := range fields {
		findings = append(findings, checkField(&fields[index], edit, location)...)
	}
	for index, name := range edit.Unset {
		unsetLocation := fmt.Sprintf("%s.unset[%d]", location, index)
		if fieldIndex(name) < 0 {
			findings = append(findings, Finding{Place: unsetLocation, Message: fmt.Sprintf("%q is no setting", name)})
		}
		if edit.Remove {
			findings = append(findings, Finding{Place: unsetLocation, Message: "a removed branch has no settings"})
		}
	}
	return findings
}

func checkField(field *field, edit Edit, location string) []Finding {
	if !field.isSet(&edit.Values) {
		return nil
	}
	fieldLocation := location + ".values." + field.name
	findings := field.check(&edit.Values, fieldLocation)
	if edit.Remove {
		findings = append(findings, Finding{Place: fieldLocation, Message: "a removed branch has no settings"})
	}
	if slices.Contains(edit.Unset, field.name) {
		findings = append(findings, Finding{Place: fieldLocation, Message: "set and unset at once"})
	}
	if field.name == fieldZones && len(edit.Values.Zones) == 0 {
		findings = append(findings, Finding{Place: fieldLocation, Message: "want at least one zone; unset the list to inherit"})
	}
	return findings
}

// checkNarrowing finds zones that an edit lists but the branch's parent does
// not permit. It uses the tree after all edits, so that one change may widen a
// parent and its child together. A branch below an edited one may be left
// without any zone: tightening a rule must never be refused because of the
// work that it stops.
func (s *state) checkNarrowing(change Change) []Finding {
	var findings []Finding
	for index, edit := range change.Edits {
		if edit.Path == Root || edit.Remove || edit.Values.Zones == nil || s.branch(edit.Path) == nil {
			continue
		}
		parent := s.branch(edit.Path.Parent()).contract.Placement
		for zoneIndex, name := range edit.Values.Zones {
			if !parent.Contains(name) {
				findings = append(findings, Finding{
					Place:   fmt.Sprintf("edits[%d].values.zones[%d]", index, zoneIndex),
					Message: fmt.Sprintf("zone %q is not permitted by the parent %q, which permits %s", name, edit.Path.Parent().String(), formatZones(parent)),
				})
			}
		}
	}
	return findings
}

// checkTokens finds tokens that another branch already lists. A token belongs
// to one branch, so that an operator cannot take over another branch's callers
// by listing their tokens.
func (s *state) checkTokens(edit Edit, location string) []Finding {
	var findings []Finding
	for kind, list := range [][]string{edit.Values.CallerTokens, edit.Values.OperatorTokens} {
		for index, hash := range list {
			tokenBranch, found := s.tokenBranch(tokenKind(kind), hash)
			if !found || tokenBranch == edit.Path {
				continue
			}
			name := []string{fieldCallerTokens, fieldOperatorTokens}[kind]
			findings = append(findings, Finding{
				Place:   fmt.Sprintf("%s.values.%s[%d]", location, name, index),
				Message: "another branch lists this token already",
			})
		}
	}
	return findings
}

func formatZones(placement zone.Placement) string {
	if placement == "" {
		return "none"
	}
	return fmt.Sprint(placement.Zones())
}
