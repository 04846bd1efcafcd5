package cluster_test

import (
	"testing"

	"pgregory.net/rapid"

	"birchwood.example/birchwood/emulator/cluster"
)

func TestProperty(t *testing.T) { rapid.Check(t, cluster.Property) }
