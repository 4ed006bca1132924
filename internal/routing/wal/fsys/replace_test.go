package fsys

import (
	"io"
	"syscall"
	"testing"
)

// lyingRename renames a file and reports an error.
type lyingRename struct{ FS }

func (l lyingRename) Rename(from, to string) error {
	_ = l.FS.Rename(from, to)
	return syscall.EIO
}

// Guards against a wrong result of Replace after a rename that reported an error: the new content may or may not be in
// place.
func TestReplaceAfterFailedRename(t *testing.T) {
	refusing := &FaultFS{FS: NewMem()}
	refusing.Set(func(op Op, _ string, n int) (int, error) {
		if op == OpRename {
			return 0, syscall.EIO
		}
		return n, nil
	})
	for name, c := range map[string]struct {
		fs       FS
		replaced bool
	}{"made all the same": {lyingRename{NewMem()}, true}, "not made": {refusing, false}} {
		f, err := c.fs.Create("m")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = f.Write([]byte("old"))
		_ = f.Close()
		replaced, err := Replace(c.fs, "m", []byte("new"), false)
		if replaced != c.replaced || (err == nil) != c.replaced {
			t.Errorf("%s: replaced %v, %v", name, replaced, err)
		}
		f, err = c.fs.Open("m")
		if err != nil {
			t.Fatal(err)
		}
		content, _ := io.ReadAll(io.NewSectionReader(f, 0, 16))
		if want := map[bool]string{true: "new", false: "old"}[c.replaced]; string(content) != want {
			t.Errorf("%s: the content is %q", name, content)
		}
		if names, _ := c.fs.List(); len(names) != 1 {
			t.Errorf("%s: %v are left", name, names)
		}
	}
}

// Guards against an open file that becomes unreadable because its name was removed while no descriptor was available
// for it.
func TestRemoveFailsIfOpenFileCannotBePinned(t *testing.T) {
	faults := &FaultFS{FS: NewMem()}
	limited := LimitDescriptors(faults, 1)
	a, err := limited.Create("a")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = a.Write([]byte("content"))
	if _, err := limited.Create("b"); err != nil { // takes the only descriptor
		t.Fatal(err)
	}
	faults.Set(func(op Op, name string, n int) (int, error) {
		if op == OpOpen {
			return 0, syscall.EMFILE
		}
		return n, nil
	})
	if err := limited.Remove("a"); err == nil {
		t.Error("removed although an open file needs it")
	}
	faults.Set(nil)
	if n, err := a.ReadAt(make([]byte, 7), 0); n != 7 {
		t.Errorf("%d bytes read, %v", n, err)
	}
	if err := limited.Remove("a"); err != nil {
		t.Error(err)
	}
	if n, _ := a.ReadAt(make([]byte, 7), 0); n != 7 {
		t.Errorf("%d bytes are read after the removal", n)
	}
}
