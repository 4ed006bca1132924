package store

import (
	"syscall"
	"testing"

	"mulleinbeam/internal/routing/wal/fsys"
)

// Guards against records that an open cannot read because they follow a partial record. A failed write may leave a
// part that it does not report (incident 10321), and truncating it may fail as well.
func TestPartialWriteIsTruncated(t *testing.T) {
	for name, truncates := range map[string]bool{"truncate works": true, "truncate fails": false} {
		dir := fsys.NewMem()
		faults := &fsys.FaultFS{FS: dir, HidePartialWrites: true}
		s, _ := open(t, options(faults, SyncNever))
		if _, err := s.Put(1, []byte("before"), 64); err != nil {
			t.Fatal(err)
		}
		faults.Set(func(op fsys.Op, _ string, n int) (int, error) {
			switch {
			case op == fsys.OpWrite:
				return n / 2, syscall.EIO
			case op == fsys.OpTruncate && !truncates:
				return 0, syscall.EIO
			}
			return n, nil
		})
		if _, err := s.Put(2, []byte("fails"), 64); err == nil {
			t.Fatal("a failed write returned no error")
		}
		faults.Set(nil)
		for key := uint64(3); key < 6; key++ {
			if _, err := s.Put(key, []byte("behind"), 64); err != nil {
				t.Fatal(err)
			}
		}
		_, got := open(t, options(dir, SyncNever)) // as after a kill
		if len(got) != 4 || got[2] != nil || len(got[5]) != 1 {
			t.Errorf("%s: the next open finds %v", name, got)
		}
	}
}
