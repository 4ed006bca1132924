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
	epoch = time.Unix(1_700_000_000, 0)
	life  = controlplane.Incarnation{Name: "n0", Number: 1}
)

// content draws what one copy of a life's log may say of a few messages.
func content(t *rapid.T, name string) Content {
	c := Content{Messages: map[uint64]*wal.Message{}, Past: map[string]wal.Past{}}
	at := func(label string) time.Time {
		return epoch.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, name+label)) * time.Second)
	}
	for seq := range uint64(4) {
		id := fmt.Sprint("m", seq)
		switch rapid.IntRange(0, 3).Draw(t, name+id) {
		case 0:
		case 1:
			c.Past[id] = wal.Past{ID: id, Delivered: rapid.Bool().Draw(t, name+"delivered"), At: at("over")}
		default:
			m := &wal.Message{Seq: seq, ID: id, Class: "keyed", Deadline: epoch, Attempts: rapid.IntRange(0, 3).Draw(t, name+"attempts")}
			if rapid.Bool().Draw(t, name+"ran") {
				m.MayRun, m.RanAt, m.RanZone = true, at("ran"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, name+"zone")
			}
			m.Ending = rapid.SampledFrom([]wal.Ending{wal.Unended, wal.Unended, wal.Refused, wal.Failed}).Draw(t, name+"ending")
			m.Alone = rapid.Bool().Draw(t, name+"alone")
			c.Messages[seq] = m
		}
	}
	return c
}

// Merging commutes, associates and is idempotent, and says at least what each side says.
func TestMerge(t *testing.T) {
	same := func(t *rapid.T, what string, a, b Content) {
		if diff := cmp.Diff(a, b, cmpopts.IgnoreUnexported(wal.Message{}), cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("%s:\n%s", what, diff)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := content(t, "a"), content(t, "b"), content(t, "c")
		ab := Merge(a, b)
		same(t, "it does not commute", ab, Merge(b, a))
		same(t, "it does not associate", Merge(ab, c), Merge(a, Merge(b, c)))
		same(t, "it is not idempotent", Merge(ab, ab), ab)
		for seq, m := range a.Messages {
			got, over := ab.Messages[seq], false
			if _, over = ab.Past[m.ID]; over {
				continue
			}
			if got == nil || m.MayRun && (!got.MayRun || got.RanAt.After(m.RanAt)) || got.Attempts < m.Attempts || m.Ending != wal.Unended && got.Ending == wal.Unended {
				t.Errorf("%+v became %+v", m, got)
			}
		}
	})
}

// records are those of a message that is accepted, called, and over.
func records(seq uint64, over bool) [][]byte {
	out := [][]byte{wal.Condense(&wal.Message{Seq: seq, ID: fmt.Sprint("m", seq), Class: "unsafe", Deadline: epoch, Body: []byte("body")})[0],
		wal.StartedRecord(seq, epoch, "z")}
	if over {
		out = append(out, wal.OverRecord(seq, true, true, epoch))
	}
	return out
}

// A keeper whose batches are lost, doubled, late and out of order, and which is started again from its disk in between, ends with
// just what its owner's log says, and never says that it has more than is on its disk.
func TestAnyLinkAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mem := fsys.NewMem()
		var disk *Disk
		var shelf *Store
		starts := uint64(0)
		open := func() {
			var err error
			starts++
			shelf = NewStore(starts)
			if disk, err = OpenDisk(mem, 4<<20, store.Process, func(s string) { t.Fatal(s) }, shelf.Restore); err != nil {
				t.Fatal(err)
			}
		}
		open()
		owner, truth := NewOwner(life), wal.NewCopy()
		owner.SetReplicas([]string{"k"}, nil)
		var flying []Batch
		var acks []Ack
		write := func(r []byte) { _ = truth.Apply(r); owner.Append(r) }
		seq := uint64(0)
		step := func(kind int) {
			switch kind {
			case 0, 1:
				seq++
				for _, r := range records(seq, kind == 1) {
					write(r)
				}
			case 2, 3:
				if owner.NeedsSnapshot("k") {
					var all [][]byte
					for _, m := range truth.Messages() {
						all = append(all, wal.Condense(m)...)
					}
					for _, p := range truth.Past() {
						all = append(all, wal.CondensePast(p))
					}
					owner.Snapshot("k", all)
				}
				if b, some := owner.Next("k", 0); some {
					flying = append(flying, b)
				}
			case 4, 5, 6:
				if len(flying) == 0 {
					return
				}
				i := rapid.IntRange(0, len(flying)-1).Draw(t, "which")
				keep, ack := shelf.Append(flying[i], 0)
				if _, err := disk.Save(keep); err != nil {
					t.Fatal(err)
				}
				if acks = append(acks, ack); kind != 4 { // else it may come again
					flying = slices.Delete(flying, i, i+1)
				}
			case 7, 8:
				if len(acks) > 0 {
					owner.HandleAck("k", acks[0])
					acks = acks[1:]
				}
			case 9:
				acks, flying = nil, nil
				owner.HandleNoAck("k")
			case 10:
				if err := disk.Close(); err != nil {
					t.Fatal(err)
				}
				open()
			}
			if h := shelf.Replica(life); owner.HighWatermark() > 0 && starts == 1 && (h == nil || h.LastIndex < owner.HighWatermark()) {
				t.Fatalf("held up to %d, the keeper has %+v", owner.HighWatermark(), h)
			}
		}
		for _, kind := range rapid.SliceOfN(rapid.IntRange(0, 10), 5, 80).Draw(t, "steps") {
			step(kind)
		}
		acks, flying = nil, nil
		owner.HandleNoAck("k")
		for range 12 { // and now all goes well
			for _, kind := range []int{2, 5, 7} {
				step(kind)
			}
		}
		if h := shelf.Replica(life); owner.HighWatermark() != owner.LastIndex() || h == nil || h.LastIndex != owner.LastIndex() {
			t.Fatalf("held up to %d of %d", owner.HighWatermark(), owner.LastIndex())
		}
		if err := disk.Close(); err != nil {
			t.Fatal(err)
		}
		open() // what is on the disk is what was said
		h := shelf.Replica(life)
		if h == nil {
			t.Fatal("no copy is on the disk")
		}
		if diff := cmp.Diff(Ranges(truth.Messages()), Ranges(h.Content.Messages())); diff != "" || len(truth.Past()) != len(h.Content.Past()) {
			t.Errorf("on the disk: %d messages and %d ids that are over, in the log %d and %d", len(h.Content.Messages()),
				len(h.Content.Past()), len(truth.Messages()), len(truth.Past()))
		}
	})
}

// A record of a kind that this version does not know is kept with its message and handed on as it came.
func TestRecordsOfALaterVersion(t *testing.T) {
	later := append([]byte{200, 1}, "what this says is not known yet"...)
	shelf, owner := NewStore(1), NewOwner(life)
	owner.SetReplicas([]string{"k"}, nil)
	for range 2 {
		b, _ := owner.Next("k", 0)
		_, ack := shelf.Append(b, 0)
		owner.HandleAck("k", ack)
		if owner.NeedsSnapshot("k") {
			owner.Snapshot("k", nil)
		}
	}
	for _, r := range append(records(1, false), later) {
		owner.Append(r)
	}
	b, _ := owner.Next("k", 0)
	shelf.Append(b, 0)
	h := shelf.Replica(life)
	if h.Unknown != 1 || h.LastIndex != owner.LastIndex() {
		t.Errorf("%d unknown records, up to %d of %d", h.Unknown, h.LastIndex, owner.LastIndex())
	}
	all := wal.Condense(h.Content.Messages()[0])
	if !slices.ContainsFunc(all, func(r []byte) bool { return string(r) == string(later) }) {
		t.Errorf("not handed on: %q", all)
	}
}

// A keeper without room says so, and has no copy that anybody could take for one.
func TestFullKeeper(t *testing.T) {
	shelf := NewStore(1)
	disk, err := OpenDisk(fsys.NewMem(), 1<<20, store.Process, func(s string) { t.Error(s) }, shelf.Restore)
	if err != nil {
		t.Fatal(err)
	}
	for seq := uint64(1); ; seq++ {
		m := &wal.Message{Seq: seq, ID: fmt.Sprint(seq), Class: "safe", Deadline: epoch, Body: make([]byte, 60<<10)}
		_, err := disk.Save([]DiskRecord{{Life: life, Index: seq, Message: seq, Payload: wal.Condense(m)[0]}})
		if err == ErrFull {
			break
		}
		if err != nil || seq > 100 {
			t.Fatal(seq, err)
		}
	}
	if _, err := disk.Save([]DiskRecord{{Life: life, Reset: true}}); err != nil {
		t.Errorf("what is of no use does not go: %v", err)
	}
}
