package edge

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/recordstore"
)

// fencingStore refuses the first append and fences all later ones.
type fencingStore struct {
	recordstore.Store
	epochs []uint64
}

func (s *fencingStore) Append(_ context.Context, _ recordstore.Stream, writer recordstore.Writer, _ []recordstore.Record) error {
	s.epochs = append(s.epochs, writer.Epoch)
	if len(s.epochs) == 1 {
		return &recordstore.RefusedError{Status: 503}
	}
	return &recordstore.FencedError{Reason: "a higher epoch holds"}
}

// TestFencedAppend checks that an append that was refused is repeated, but never one that
// was fenced, because another node with a higher epoch owns the partition.
func TestFencedAppend(t *testing.T) {
	g := NewWithT(t)
	store := &fencingStore{}
	settings := Settings{Node: "n", Zone: "z", Partitions: 1}
	node, err := New(settings, Adapter{Store: store}, quietLogger)
	g.Expect(err).NotTo(HaveOccurred())
	defer node.Kill()
	batch := []ledger.Record{{Key: "k", Value: []byte("v")}}
	err = node.appendRecords(node.ctx, 0, 7, 1, batch, 0)
	var fenced *recordstore.FencedError
	g.Expect(errors.As(err, &fenced)).To(BeTrue())
	g.Expect(store.epochs).To(Equal([]uint64{7, 7}))
}
