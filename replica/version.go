package replica

import "time"

// versionUse is how a version of a service's software is in use.
type versionUse struct {
	// replicas is the number of listed replicas that have the version.
	replicas int
	// goneAt is when this node first noticed that no replica has it any more; zero if some
	// have it, or if that was not noticed yet.
	goneAt time.Time
}

// serviceVersions are the versions of a service's replicas, now and lately.
type serviceVersions struct {
	// since is when this node first knew a replica of the service.
	since time.Time
	uses  map[string]*versionUse
}

// addVersion counts a replica of its version.
func (s *Set) addVersion(now time.Time, entry Entry) {
	known := s.versions[entry.Service]
	if known == nil {
		known = &serviceVersions{since: now, uses: make(map[string]*versionUse)}
		s.versions[entry.Service] = known
	}
	use := known.uses[entry.Version]
	if use == nil {
		known.forgetUnused(now)
		use = &versionUse{}
		known.uses[entry.Version] = use
	}
	use.replicas++
	use.goneAt = time.Time{}
}

// unusedVersionLifetime is how long a version that no replica has is remembered.
const unusedVersionLifetime = time.Hour

// forgetUnused forgets the versions that have been unused for long.
func (v *serviceVersions) forgetUnused(now time.Time) {
	for name, use := range v.uses {
		use.noteUnused(now)
		if !use.goneAt.IsZero() && now.Sub(use.goneAt) > unusedVersionLifetime {
			delete(v.uses, name)
		}
	}
}

// noteUnused notes that no replica has the version, if so.
func (u *versionUse) noteUnused(now time.Time) {
	if u.replicas == 0 && u.goneAt.IsZero() {
		u.goneAt = now
	}
}

// removeVersion counts a replica of its version less.
func (s *Set) removeVersion(entry Entry) {
	if known := s.versions[entry.Service]; known != nil {
		known.uses[entry.Version].replicas--
	}
}

// ListedVersion returns the version of all listed replicas of a service, and false if they
// differ or there are none.
func (s *Set) ListedVersion(service string) (version string, same bool) {
	known := s.versions[service]
	if known == nil {
		return "", false
	}
	for name, use := range known.uses {
		if use.replicas == 0 {
			continue
		}
		if same {
			return "", false
		}
		version, same = name, true
	}
	return version, same
}

// OnlyVersion returns the one version that replicas of a service had within the given time,
// and since when this node knows replicas of the service. It returns false if they had several
// or none.
func (s *Set) OnlyVersion(now time.Time, service string, within time.Duration) (version string, since time.Time, only bool) {
	known := s.versions[service]
	if known == nil {
		return "", time.Time{}, false
	}
	count := 0
	for name, use := range known.uses {
		use.noteUnused(now)
		if use.replicas > 0 || now.Sub(use.goneAt) <= within {
			version = name
			count++
		}
	}
	return version, known.since, count == 1
}

// Servable returns nil if a replica may receive the request, regardless of its load, else the
// reason why none may.
func (s *Set) Servable(now time.Time, request *Request) error {
	for _, m := range s.services[request.Service] {
		if s.checkPlacement(now, request, m) == nil {
			return nil
		}
	}
	return s.unavailableReason(now, request)
}

// ServiceVersion is a version of a service's software.
type ServiceVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// ListedVersions returns the versions that listed replicas have, in no order.
func (s *Set) ListedVersions() (listed []ServiceVersion) {
	for service, known := range s.versions {
		for version, use := range known.uses {
			if use.replicas > 0 {
				listed = append(listed, ServiceVersion{Service: service, Version: version})
			}
		}
	}
	return listed
}
