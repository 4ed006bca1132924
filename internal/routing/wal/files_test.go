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

// However full the disk is and however messages come and end, a journal has no more files open than it says; told to do with few
// descriptors, it says less.
func TestAJournalKeepsToItsDescriptors(t *testing.T) {
	says := map[int]int{}
	for _, files := range []int{0, 8, 32} {
		rng := rand.New(rand.NewPCG(1, uint64(files)))
		dir := t.TempDir()
		counted := &countedFS{FS: fsys.Dir(dir)}
		o := Options{Most: disk, FS: counted, Files: files}
		most, err := o.MostFiles()
		if err != nil {
			t.Fatal(err)
		}
		says[files] = most
		for life := range 3 {
			l, err := Open(dir, o, func(string) {})
			if err != nil {
				t.Fatal(err)
			}
			held := []uint64{}
			for _, m := range l.Live() {
				held = append(held, m.Seq)
			}
			for range 4000 {
				m := &Message{Seq: l.Next(), Deadline: epoch, Destination: 7, ID: "id", Class: "c", Body: make([]byte, rng.IntN(9000))}
				if !l.Fits(m) {
					for range min(len(held), 1+rng.IntN(20)) { // any of them: segments empty in no order
						i := rng.IntN(len(held))
						if err := l.End(held[i], Over, 0); err != nil {
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
			}
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
			if got := counted.open.Load(); got != 0 {
				t.Errorf("life %d: %d files stay open", life, got)
			}
		}
		if got := int(counted.most.Load()) + 1; got > most { // the lock is no file of that folder's
			t.Errorf("told of %d descriptors: %d files were open, it said %d at the most", files, got, most)
		}
	}
	if says[8] >= says[0] || says[32] != says[0] {
		t.Errorf("it says %v", says)
	}
}
