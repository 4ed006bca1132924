package fsys

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"sync"
	"testing"
)

// Guards against differences between a directory with a limit on descriptors and one without: contents, names, and
// files whose name was removed while they were open.
func TestManyFilesWithFewDescriptors(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		plain, limited := FS(NewMem()), LimitDescriptors(NewMem(), 1+rng.IntN(3))
		type pair struct{ a, b File }
		open := []pair{}
		for step := range 400 {
			name, other := fmt.Sprint("f", rng.IntN(6)), fmt.Sprint("f", rng.IntN(6))
			var a, b error
			switch what := rng.IntN(8); {
			case what < 2:
				var p pair
				if how := rng.IntN(2); how == 0 {
					p.a, a = plain.Create(name)
					p.b, b = limited.Create(name)
				} else {
					p.a, a = plain.Open(name)
					p.b, b = limited.Open(name)
				}
				if a == nil && b == nil {
					open = append(open, p)
				}
			case what == 2:
				a, b = plain.Remove(name), limited.Remove(name)
			case what == 3 && name != other:
				a, b = plain.Rename(name, other), limited.Rename(name, other)
			case len(open) == 0:
			case what == 4 && len(open) > 2: // a file that has lost its name keeps its descriptor until it is closed
				i := rng.IntN(len(open))
				a, b = open[i].a.Close(), open[i].b.Close()
				open = append(open[:i], open[i+1:]...)
			default:
				p := open[rng.IntN(len(open))]
				_, a = p.a.Write([]byte{byte(step)})
				_, b = p.b.Write([]byte{byte(step)})
			}
			if (a == nil) != (b == nil) || errors.Is(a, fs.ErrNotExist) != errors.Is(b, fs.ErrNotExist) {
				t.Fatalf("seed %d, step %d: %v and %v", seed, step, a, b)
			}
			for i, p := range open {
				n, err := p.a.Size()
				m, errLimited := p.b.Size()
				got, want := make([]byte, m), make([]byte, n)
				_, _ = p.a.ReadAt(want, 0)
				_, _ = p.b.ReadAt(got, 0)
				if err != nil || errLimited != nil || string(got) != string(want) {
					t.Fatalf("seed %d, step %d: file %d has %v, %v; without it %v, %v", seed, step, i, got, errLimited, want, err)
				}
			}
		}
	}
}

// Guards against goroutines that wait forever for a descriptor.
func TestConcurrentFilesWithFewDescriptors(t *testing.T) {
	limited := LimitDescriptors(Dir(t.TempDir()), 2)
	var all sync.WaitGroup
	for i := range 16 {
		f, err := limited.Create(fmt.Sprint("f", i))
		if err != nil {
			t.Fatal(err)
		}
		all.Go(func() {
			for n := range 50 {
				if _, err := f.Write([]byte{byte(n)}); err != nil {
					t.Error(err)
				}
			}
			if size, err := f.Size(); size != 50 || err != nil {
				t.Errorf("%d bytes, %v", size, err)
			}
			if err := f.Close(); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
}
