package fsys

import (
	"io"
	"syscall"
	"testing"
)

// lyingRename renames, and says that it has failed.
type lyingRename struct{ FS }

func (l lyingRename) Rename(from, to string) error {
	_ = l.FS.Rename(from, to)
	return syscall.EIO
}

// Guards against a file that was replaced and is taken for the old one, or the other way round, because a rename has failed.
func TestReplaceTellsWhatIsThereBehindAFailedRename(t *testing.T) {
	refusing := &FaultFS{FS: NewMem()}
	refusing.Set(func(op Op, _ string, n int) (int, error) {
		if op == OpRename {
			return 0, syscall.EIO
		}
		return n, nil
	})
	for name, c := range map[string]struct {
		fs    FS
		there bool
	}{"made all the same": {lyingRename{NewMem()}, true}, "not made": {refusing, false}} {
		f, err := c.fs.Create("m")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = f.Write([]byte("old"))
		_ = f.Close()
		there, err := Replace(c.fs, "m", []byte("new"), false)
		if there != c.there || (err == nil) != c.there {
			t.Errorf("%s: there %v, %v", name, there, err)
		}
		f, err = c.fs.Open("m")
		if err != nil {
			t.Fatal(err)
		}
		content, _ := io.ReadAll(io.NewSectionReader(f, 0, 16))
		if want := map[bool]string{true: "new", false: "old"}[c.there]; string(content) != want {
			t.Errorf("%s: %q is there", name, content)
		}
		if names, _ := c.fs.List(); len(names) != 1 {
			t.Errorf("%s: %v are left", name, names)
		}
	}
}

// Guards against a file that an open reader can no longer read, because its descriptor could not be had just before its name went.
func TestANameStaysWhereItsReaderCannotBeKept(t *testing.T) {
	faults := &FaultFS{FS: NewMem()}
	few := LimitDescriptors(faults, 1)
	a, err := few.Create("a")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = a.Write([]byte("content"))
	if _, err := few.Create("b"); err != nil { // takes the one descriptor
		t.Fatal(err)
	}
	faults.Set(func(op Op, name string, n int) (int, error) {
		if op == OpOpen {
			return 0, syscall.EMFILE
		}
		return n, nil
	})
	if err := few.Remove("a"); err == nil {
		t.Error("removed under its reader")
	}
	faults.Set(nil)
	if n, err := a.ReadAt(make([]byte, 7), 0); n != 7 {
		t.Errorf("%d bytes are read, %v", n, err)
	}
	if err := few.Remove("a"); err != nil {
		t.Error(err)
	}
	if n, _ := a.ReadAt(make([]byte, 7), 0); n != 7 {
		t.Errorf("%d bytes are read behind the name", n)
	}
}
