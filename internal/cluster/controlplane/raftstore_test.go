package controlplane

import (
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.etcd.io/raft/v3/raftpb"

	"mulleinbeam/internal/routing/wal/fsys"
)

// Guards against a voter that stores less than it acknowledges: writes fail in the middle of a step, and Save is
// retried.
func TestSaveIsRetriedWholeAfterDiskError(t *testing.T) {
	entry := func(index, term uint64) raftpb.Entry {
		return raftpb.Entry{Index: index, Term: term, Data: []byte{byte(index)}}
	}
	first := DurableState{
		Hard: raftpb.HardState{Term: 1, Commit: firstIndex + 2}, Entries: []raftpb.Entry{entry(firstIndex+1, 1), entry(firstIndex+2, 1), entry(firstIndex+3, 1)},
	}
	snapshot := raftpb.Snapshot{Data: []byte("s"), Metadata: raftpb.SnapshotMetadata{Index: firstIndex + 2, Term: 1}}
	next := DurableState{
		Hard: raftpb.HardState{Term: 2, Commit: firstIndex + 3}, Snapshot: snapshot, Entries: []raftpb.Entry{entry(firstIndex+3, 2), entry(firstIndex+4, 2)},
	}
	for works := range 12 { // number of writes that succeed before two fail
		mem := fsys.NewMem()
		faults := &fsys.FaultFS{FS: mem}
		raftStore, _, err := OpenRaftStore(faults, func(string) {})
		if err != nil || raftStore.Save(first) != nil {
			t.Fatal(err)
		}
		left := works
		faults.Set(func(op fsys.Op, _ string, n int) (int, error) {
			if op != fsys.OpWrite {
				return n, nil
			}
			if left--; left == -1 || left == -2 {
				return n / 2, syscall.ENOSPC
			}
			return n, nil
		})
		for tries := 0; raftStore.Save(next) != nil; tries++ {
			if tries > 2 {
				t.Fatalf("after %d writes: not saved although the disk works", works)
			}
		}
		if err := raftStore.Close(); err != nil {
			t.Fatal(err)
		}
		_, got, err := OpenRaftStore(mem.Crash(fsys.LoseUnsynced, nil), func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		want := DurableState{Hard: next.Hard, Snapshot: snapshot, Entries: next.Entries}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("after %d writes:\n%s", works, diff)
		}
	}
}
