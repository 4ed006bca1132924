package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/routing/wal"
	"mulleinbeam/internal/routing/wal/fsys"
	"mulleinbeam/internal/routing/wal/store"
)

var (
	baseTime    = time.Unix(1_700_000_000, 0)
	incarnation = controlplane.Incarnation{Name: "n0", Number: 1}
)

// drawContent draws what one replica may hold of a few messages.
func drawContent(t *rapid.T, name string) Content {
	c := Content{Messages: map[uint64]*wal.Message{}, Past: map[string]wal.CompletedID{}}
	at := func(label string) time.Time {
		return baseTime.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, name+label)) * time.Second)
	}
	for seq := range uint64(4) {
		id := fmt.Sprint("m", seq)
		switch rapid.IntRange(0, 3).Draw(t, name+id) {
		case 0:
		case 1:
			c.Past[id] = wal.CompletedID{ID: id, Delivered: rapid.Bool().Draw(t, name+"delivered"), At: at("over")}
		default:
			m := &wal.Message{Seq: seq, ID: id, Class: "keyed", Deadline: baseTime, Attempts: rapid.IntRange(0, 3).Draw(t, name+"attempts")}
			if rapid.Bool().Draw(t, name+"ran") {
				m.MayHaveRun, m.RanAt, m.RanZone = true, at("ran"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, name+"zone")
			}
			m.Status = rapid.SampledFrom([]wal.Status{wal.Pending, wal.Pending, wal.Refused, wal.Failed}).Draw(t, name+"ending")
			m.Unreplicated = rapid.Bool().Draw(t, name+"alone")
			c.Messages[seq] = m
		}
	}
	return c
}

// Merging is commutative, associative and idempotent, and loses nothing that either side knows. Otherwise the outcome
// of a takeover would depend on which replicas were reached, and in which order.
func TestMerge(t *testing.T) {
	checkEqual := func(t *rapid.T, property string, a, b Content) {
		if diff := cmp.Diff(a, b, cmpopts.IgnoreUnexported(wal.Message{}), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s:\n%s", property, diff)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawContent(t, "a"), drawContent(t, "b"), drawContent(t, "c")
		ab := Merge(a, b)
		checkEqual(t, "merge is not commutative", ab, Merge(b, a))
		checkEqual(t, "merge is not associative", Merge(ab, c), Merge(a, Merge(b, c)))
		checkEqual(t, "merge is not idempotent", Merge(ab, ab), ab)
		for seq, m := range a.Messages {
			got, completed := ab.Messages[seq], false
			if _, completed = ab.Past[m.ID]; completed {
				continue
			}
			if got == nil || m.MayHaveRun && (!got.MayHaveRun || got.RanAt.After(m.RanAt)) || got.Attempts < m.Attempts || m.Status != wal.Pending && got.Status == wal.Pending {
				t.Errorf("%+v was merged to %+v", m, got)
			}
		}
	})
}

// messageRecords returns the records of a message that is accepted, called and, if completed is set, delivered.
func messageRecords(seq uint64, completed bool) [][]byte {
	out := [][]byte{wal.MessageRecords(&wal.Message{Seq: seq, ID: fmt.Sprint("m", seq), Class: "unsafe", Deadline: baseTime, Body: []byte("body")})[0],
		wal.StartedRecord(seq, baseTime, "z")}
	if completed {
		out = append(out, wal.CompletedRecord(seq, true, true, baseTime))
	}
	return out
}

// A replica whose batches are lost, duplicated, delayed and reordered, and whose store is reopened from its disk in
// between, ends with exactly the content of its owner's log, and never acknowledges more than is on its disk.
func TestReplicationOverUnreliableLinkAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := fsys.NewMem()
		var disk *Disk
		var replicas *Store
		starts := uint64(0)
		open := func() {
			var err error
			starts++
			replicas = NewStore(starts)
			if disk, err = OpenDisk(files, 4<<20, store.SyncNever, func(s string) { t.Fatal(s) }, replicas.Restore); err != nil {
				t.Fatal(err)
			}
		}
		open()
		owner, expected := NewOwner(incarnation), wal.NewReplicaState()
		owner.SetReplicas([]string{"k"}, nil)
		var inFlight []Batch
		var acks []Ack
		write := func(r []byte) { _ = expected.Apply(r); owner.Append(r) }
		seq := uint64(0)
		step := func(kind int) {
			switch kind {
			case 0, 1:
				seq++
				for _, r := range messageRecords(seq, kind == 1) {
					write(r)
				}
			case 2, 3:
				if owner.NeedsSnapshot("k") {
					var all [][]byte
					for _, m := range expected.Messages() {
						all = append(all, wal.MessageRecords(m)...)
					}
					for _, p := range expected.CompletedIDs() {
						all = append(all, wal.CompletedIDRecord(p))
					}
					owner.Snapshot("k", all)
				}
				if b, ok := owner.Next("k", 0); ok {
					inFlight = append(inFlight, b)
				}
			case 4, 5, 6:
				if len(inFlight) == 0 {
					return
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")
				toStore, ack := replicas.Append(inFlight[i], 0)
				if _, err := disk.Save(toStore); err != nil {
					t.Fatal(err)
				}
				if acks = append(acks, ack); kind != 4 { // otherwise it may arrive again
					inFlight = slices.Delete(inFlight, i, i+1)
				}
			case 7, 8:
				if len(acks) > 0 {
					owner.HandleAck("k", acks[0])
					acks = acks[1:]
				}
			case 9:
				acks, inFlight = nil, nil
				owner.HandleNoAck("k")
			case 10:
				if err := disk.Close(); err != nil {
					t.Fatal(err)
				}
				open()
			}
			if replica := replicas.Replica(incarnation); owner.HighWatermark() > 0 && starts == 1 && (replica == nil || replica.LastIndex < owner.HighWatermark()) {
				t.Fatalf("high watermark %d, but the replica is %+v", owner.HighWatermark(), replica)
			}
		}
		for _, kind := range rapid.SliceOfN(rapid.IntRange(0, 10), 5, 80).Draw(t, "steps") {
			step(kind)
		}
		acks, inFlight = nil, nil
		owner.HandleNoAck("k")
		for range 12 { // without faults, the replica has to catch up
			for _, kind := range []int{2, 5, 7} {
				step(kind)
			}
		}
		if replica := replicas.Replica(incarnation); owner.HighWatermark() != owner.LastIndex() || replica == nil || replica.LastIndex != owner.LastIndex() {
			t.Fatalf("high watermark %d, last index %d", owner.HighWatermark(), owner.LastIndex())
		}
		if err := disk.Close(); err != nil {
			t.Fatal(err)
		}
		open() // the disk has to hold what was acknowledged
		replica := replicas.Replica(incarnation)
		if replica == nil {
			t.Fatal("no replica on the disk")
		}
		if diff := cmp.Diff(Ranges(expected.Messages()), Ranges(replica.Content.Messages())); diff != "" || len(expected.CompletedIDs()) != len(replica.Content.CompletedIDs()) {
			t.Errorf("on the disk: %d messages and %d completed IDs, in the log: %d and %d", len(replica.Content.Messages()),
				len(replica.Content.CompletedIDs()), len(expected.Messages()), len(expected.CompletedIDs()))
		}
	})
}

// A record of a kind that this version does not know is kept with its message and passed on unchanged. Otherwise a
// replica of an older version would lose what a newer one has written.
func TestRecordsOfLaterVersion(t *testing.T) {
	later := append([]byte{200, 1}, "what this says is not known yet"...)
	replicas, owner := NewStore(1), NewOwner(incarnation)
	owner.SetReplicas([]string{"k"}, nil)
	for range 2 {
		b, _ := owner.Next("k", 0)
		_, ack := replicas.Append(b, 0)
		owner.HandleAck("k", ack)
		if owner.NeedsSnapshot("k") {
			owner.Snapshot("k", nil)
		}
	}
	for _, r := range append(messageRecords(1, false), later) {
		owner.Append(r)
	}
	b, _ := owner.Next("k", 0)
	replicas.Append(b, 0)
	replica := replicas.Replica(incarnation)
	if replica.Unknown != 1 || replica.LastIndex != owner.LastIndex() {
		t.Errorf("%d unknown records, index %d of %d", replica.Unknown, replica.LastIndex, owner.LastIndex())
	}
	all := wal.MessageRecords(replica.Content.Messages()[0])
	if !slices.ContainsFunc(all, func(r []byte) bool { return string(r) == string(later) }) {
		t.Errorf("unknown record is not passed on: %q", all)
	}
}

// A disk without space for replicas reports ErrFull, and an incomplete replica can still be deleted from it.
func TestFullReplicaDisk(t *testing.T) {
	replicas := NewStore(1)
	disk, err := OpenDisk(fsys.NewMem(), 1<<20, store.SyncNever, func(s string) { t.Error(s) }, replicas.Restore)
	if err != nil {
		t.Fatal(err)
	}
	for seq := uint64(1); ; seq++ {
		m := &wal.Message{Seq: seq, ID: fmt.Sprint(seq), Class: "safe", Deadline: baseTime, Body: make([]byte, 60<<10)}
		_, err := disk.Save([]DiskRecord{{Life: incarnation, Index: seq, Message: seq, Payload: wal.MessageRecords(m)[0]}})
		if err == ErrFull {
			break
		}
		if err != nil || seq > 100 {
			t.Fatal(seq, err)
		}
	}
	if _, err := disk.Save([]DiskRecord{{Life: incarnation, Reset: true}}); err != nil {
		t.Errorf("replica was not deleted from the full disk: %v", err)
	}
}
