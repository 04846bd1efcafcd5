package replica

// KnownVersions returns the number of remembered versions of a service.
func (s *Set) KnownVersions(service string) int { return len(s.versions[service].uses) }
