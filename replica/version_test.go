package replica_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"birchwood.example/birchwood/replica"
)

// versionSet returns a set with the given number of replicas of each version of a service.
func versionSet(counts map[string]int) (*replica.Set, time.Time) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	set := replica.NewSet(replica.DefaultConfig("zone-a"))
	for version, count := range counts {
		for index := range count {
			set.Put(now, replica.Entry{
				ID: replica.ID(fmt.Sprintf("%s-%d", version, index)), Service: "model", Zone: "zone-a", Version: version,
				Status: replica.StatusReady, Slots: 4,
			})
		}
	}
	return set, now
}

func TestSelectionOfFixedVersionLeavesOthersAside(t *testing.T) {
	for _, counts := range []map[string]int{{"v1": 2, "v2": 6}, {"v1": 2, "v2": 900}} {
		set, now := versionSet(counts)
		for draw := range 20 {
			request := &replica.Request{Service: "model", FixedVersion: true, Version: "v1", Draw: float64(draw) / 20}
			choice, err := set.Select(now, request)
			if err != nil {
				t.Fatalf("of %v: %v", counts, err)
			}
			if choice.Entry.Version != "v1" {
				t.Errorf("of %v: got version %s", counts, choice.Entry.Version)
			}
			// Load makes the other version more attractive.
			set.Began(now, choice.Entry.ID, request)
		}
	}
}

func TestSelectionOfVersionThatIsGoneFails(t *testing.T) {
	set, now := versionSet(map[string]int{"v1": 1, "v2": 3})
	set.Remove("v1-0")
	_, err := set.Select(now, &replica.Request{Service: "model", FixedVersion: true, Version: "v1"})
	if !errors.Is(err, replica.ErrNoVersion) {
		t.Errorf("got %v, want ErrNoVersion", err)
	}
	_, err = set.Select(now, &replica.Request{Service: "other", FixedVersion: true, Version: "v1"})
	if !errors.Is(err, replica.ErrNoReplica) {
		t.Errorf("got %v, want ErrNoReplica", err)
	}
}

// The replica that a request is pinned to is not exempt.
func TestSelectionOfOnlyReplicaKeepsVersion(t *testing.T) {
	set, now := versionSet(map[string]int{"v1": 1, "v2": 3})
	_, err := set.Select(now, &replica.Request{Service: "model", Only: "v2-0", FixedVersion: true, Version: "v1"})
	if err == nil {
		t.Error("a replica of another version was selected")
	}
}

func TestOnlyVersionRemembersTheFormerOne(t *testing.T) {
	set, now := versionSet(map[string]int{"v1": 1})
	if version, _, only := set.OnlyVersion(now, "model", time.Minute); version != "v1" || !only {
		t.Errorf("got %q, %t, want v1 alone", version, only)
	}
	set.Put(now, replica.Entry{ID: "next", Service: "model", Version: "v2", Status: replica.StatusReady})
	if _, same := set.ListedVersion("model"); same {
		t.Error("two listed versions count as one")
	}
	set.Remove("v1-0")
	if version, same := set.ListedVersion("model"); version != "v2" || !same {
		t.Errorf("got %q, %t, want v2 alone to be listed", version, same)
	}
	if _, _, only := set.OnlyVersion(now.Add(time.Second), "model", time.Minute); only {
		t.Error("the former version is forgotten at once")
	}
	version, since, only := set.OnlyVersion(now.Add(2*time.Minute), "model", time.Minute)
	if version != "v2" || !only || !since.Equal(now) {
		t.Errorf("got %q since %v, %t, want v2 alone since %v", version, since, only, now)
	}
	if _, _, only := set.OnlyVersion(now, "other", time.Minute); only {
		t.Error("a service without replicas has a version")
	}
}

// The memory of versions is bounded, however many releases a node sees.
func TestManyReleasesLeaveFewVersions(t *testing.T) {
	set, now := versionSet(map[string]int{"v0": 1})
	last := replica.ID("v0-0")
	for release := range 500 {
		now = now.Add(30 * time.Minute)
		next := replica.ID(fmt.Sprint("r", release))
		set.Put(now, replica.Entry{ID: next, Service: "model", Version: string(next), Status: replica.StatusReady})
		set.Remove(last)
		last = next
	}
	if known := set.KnownVersions("model"); known > 5 {
		t.Errorf("%d versions are remembered", known)
	}
}
