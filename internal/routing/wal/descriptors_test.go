package wal

import (
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"

	"mulleinbeam/internal/routing/wal/fsys"
)

// countedFS counts the open files and records their maximum.
type countedFS struct {
	fsys.FS
	open, maxOpen atomic.Int64
}

func (c *countedFS) count(f fsys.File, err error) (fsys.File, error) {
	if err != nil {
		return nil, err
	}
	n := c.open.Add(1)
	for maxSeen := c.maxOpen.Load(); n > maxSeen && !c.maxOpen.CompareAndSwap(maxSeen, n); maxSeen = c.maxOpen.Load() {
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

// A journal keeps no more than maxOpenFiles segment files open, however many segments there are and in whatever order
// messages end.
func TestOpenFileLimit(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	dir := t.TempDir()
	counted := &countedFS{FS: fsys.Dir(dir)}
	segments := 0
	for run := range 3 {
		l, err := Open(dir, Options{MaxBytes: diskBytes, FS: counted}, func(string) {})
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
				for range min(len(held), 1+rng.IntN(20)) { // in random order, so that segments empty in random order
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
			t.Errorf("run %d: %d files stay open", run, got)
		}
	}
	if got := counted.maxOpen.Load(); got > maxOpenFiles || segments <= maxOpenFiles {
		t.Errorf("%d files were open at once, of %d segments", got, segments)
	}
}
