package machine

// Lookup returns a machine's entry as the machine list last showed it, or this
// node's own entry. It returns false for a machine that was never listed.
func (m *Membership) Lookup(id ID) (Machine, bool) {
	if id == m.self.ID {
		return m.self, true
	}
	record, ok := m.records[id]
	if !ok || record.listed.ID == "" {
		return Machine{}, false
	}
	return record.listed, true
}

// Status returns the status of a machine as this node considers it at present, and whether
// the machine is known.
func (m *Membership) Status(id ID) (status Status, known bool) {
	if id == m.self.ID {
		return m.self.Status, true
	}
	record, known := m.records[id]
	if !known {
		return "", false
	}
	return record.effectiveStatus(), true
}
