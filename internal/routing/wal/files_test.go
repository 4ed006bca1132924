package wal

import (
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"

	"mulleinbeam/internal/routing/wal/fsys"
)

// countedFS counts the files that are open, and keeps the most there were.
type countedFS struct {
	fsys.FS
	open, most atomic.Int64
}

func (c *countedFS) count(f fsys.File, err error) (fsys.File, error) {
	if err != nil {
		return nil, err
	}
	n := c.open.Add(1)
	for most := c.most.Load(); n > most && !c.most.CompareAndSwap(most, n); most = c.most.Load() {
	}
	return countedFile{f, c}, nil
}

func (c *countedFS) Create(name string) (fsys.File, error) { return c.count(c.FS.Create(name)) }
func (c *countedFS) Open(name string) (fsys.File, error)   { return c.count(c.FS.Open(name)) }

type countedFile struct {
	fsys.File
	fs *countedFS
}

func (f countedFile) Close() error {
	f.fs.open.Add(-1)
	return f.File.Close()
}

// However many segments there are, and however messages come and end, a journal has no more files open than it says.
func TestAJournalKeepsToItsDescriptors(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	dir := t.TempDir()
	counted := &countedFS{FS: fsys.Dir(dir)}
	segments := 0
	for life := range 3 {
		l, err := Open(dir, Options{MaxBytes: disk, FS: counted}, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		held := []uint64{}
		for _, m := range l.Live() {
			held = append(held, m.Seq)
		}
		for range 4000 {
			m := &Message{Seq: l.NextSeq(), Deadline: epoch, Destination: 7, ID: "id", Class: "c", Body: make([]byte, rng.IntN(9000))}
			if !l.Fits(m) {
				for range min(len(held), 1+rng.IntN(20)) { // any of them: segments empty in no order
					i := rng.IntN(len(held))
					if err := l.End(held[i], Completed, 0); err != nil {
						t.Fatal(err)
					}
					held = append(held[:i], held[i+1:]...)
				}
				continue
			}
			if err := l.Accept(m); err == nil {
				held = append(held, m.Seq)
			} else if !errors.Is(err, ErrFull) {
				t.Fatal(err)
			}
			segments = max(segments, l.store.Stats().Segments)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		if got := counted.open.Load(); got != 0 {
			t.Errorf("life %d: %d files stay open", life, got)
		}
	}
	if got := counted.most.Load(); got > openFiles || segments <= openFiles {
		t.Errorf("%d files were open at once, of %d segments", got, segments)
	}
}
