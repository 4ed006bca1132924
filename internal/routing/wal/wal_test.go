package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

const disk = 3e6

var epoch = time.Unix(1_900_000_000, 0)

func open(t *testing.T, dir string) (*Log, []string) {
	t.Helper()
	var told []string
	l, err := Open(dir, disk, func(line string) { told = append(told, line) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, told
}

func accept(t *testing.T, l *Log, body string) *Message {
	t.Helper()
	m := &Message{
		Seq: l.Next(), Deadline: epoch, Destination: 7, ID: fmt.Sprint("id", l.Next()), Key: "k\x00\xff", Class: "c",
		Body: []byte(body),
	}
	if err := l.Accept(m); err != nil {
		t.Fatal(err)
	}
	return m
}

// same compares what two logs hold, but for what only a life that goes on knows.
func same(want, got []*Message) string {
	return cmp.Diff(want, got, cmpopts.IgnoreUnexported(Message{}), cmpopts.EquateEmpty())
}

// A restart finds what each message had come to; the same after compaction.
func TestRestart(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		dir := t.TempDir()
		l, _ := open(t, dir)
		at := func(n int) time.Time { return epoch.Add(time.Duration(n) * time.Second) }
		untouched, ran, never, out := accept(t, l, "b"), accept(t, l, "b"), accept(t, l, ""), accept(t, l, "b")
		refused, over, acked := accept(t, l, "b"), accept(t, l, "b"), accept(t, l, "b")
		steps := []error{
			l.Started(ran.Seq, at(1), "z1"), l.Outcome(ran.Seq, true), l.Started(ran.Seq, at(2), "z2"), l.Outcome(ran.Seq, true),
			l.Started(never.Seq, at(1), "z"), l.Outcome(never.Seq, false),
			l.Started(out.Seq, at(3), "z3"), l.Outcome(out.Seq, false), l.Started(out.Seq, at(4), "z4"),
			l.End(refused.Seq, Refused, 250*time.Millisecond), l.End(over.Seq, Over, 0),
			l.End(acked.Seq, Failed, 0), l.End(acked.Seq, Over, 0),
		}
		if compacted {
			steps = append(steps, l.rewrite())
		}
		for i, err := range steps {
			if err != nil {
				t.Fatalf("step %d: %v", i, err)
			}
		}
		again, told := open(t, dir) // the first one is not closed, as in a kill
		past := func(m *Message, attempts int, ranAt time.Time, zone string) *Message {
			return &Message{
				Seq: m.Seq, Deadline: m.Deadline, Destination: 7, ID: m.ID, Key: m.Key, Class: m.Class, Body: m.Body,
				Attempts: attempts, MayRun: zone != "", RanAt: ranAt, RanZone: zone,
			}
		}
		ended := past(refused, 0, time.Time{}, "")
		ended.Ending, ended.RetryAfter, ended.Body = Refused, 250*time.Millisecond, nil
		want := []*Message{
			past(untouched, 0, time.Time{}, ""), past(ran, 2, at(1), "z1"), past(never, 1, time.Time{}, ""),
			past(out, 2, at(4), "z4"), ended,
		}
		got := again.Live()
		for _, m := range got {
			if !m.MayRun {
				m.RanAt = time.Time{} // means nothing then
			}
		}
		if diff := same(want, got); diff != "" || len(told) != 0 {
			t.Errorf("compacted %v: told %v\n%s", compacted, told, diff)
		}
	}
}

// Whatever part of the last record a kill left out, all before it holds and the tail is cut off.
func TestTornTail(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir)
	first := accept(t, l, "first")
	size := l.size
	accept(t, l, "second")
	whole, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	for cut := size + 1; cut < l.size; cut++ {
		torn := t.TempDir()
		if err := os.WriteFile(filepath.Join(torn, fileName), whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		got, told := open(t, torn)
		if diff := same([]*Message{first}, got.Live()); diff != "" || len(told) != 1 || !strings.Contains(told[0], "torn tail") {
			t.Fatalf("cut at %d: told %v\n%s", cut, told, diff)
		}
		accept(t, got, "third")
		if again, told := open(t, torn); len(again.Live()) != 2 || len(told) != 0 {
			t.Fatalf("cut at %d, then written to: %d messages, told %v", cut, len(again.Live()), told)
		}
	}
}

// A damaged record is told of and passed over; those before and after it hold.
func TestDamage(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir)
	first := accept(t, l, "first")
	from := l.size
	accept(t, l, "second")
	to := l.size
	third := accept(t, l, "third")
	whole, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	for at := from; at < to; at++ {
		hurt, bad := t.TempDir(), append([]byte(nil), whole...)
		bad[at] ^= 0x55
		if err := os.WriteFile(filepath.Join(hurt, fileName), bad, 0o600); err != nil {
			t.Fatal(err)
		}
		got, told := open(t, hurt)
		if diff := same([]*Message{first, third}, got.Live()); diff != "" || len(told) != 1 || !strings.Contains(told[0], "damaged") {
			t.Fatalf("byte %d: told %v\n%s", at, told, diff)
		}
	}
}

// However much goes through, the files together stay within the disk, what doesn't fit is refused, and nothing live is
// lost. Guards against a compaction whose two files are too much at once.
func TestSpaceIsBounded(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir)
	body, live, refused := strings.Repeat("x", 64<<10), []*Message{}, 0
	for i := range 600 {
		next := &Message{Seq: l.Next(), ID: "i", Class: "c", Body: []byte(body[:(i%7+1)*9000])}
		if err := l.Accept(next); err == ErrFull {
			refused++
		} else if err != nil {
			t.Fatal(err)
		} else {
			live = append(live, next)
		}
		for _, m := range live {
			if m.Attempts < 6 {
				if err := l.Started(m.Seq, epoch, "budova-a"); err != nil {
					t.Fatal(err)
				}
				if err := l.Outcome(m.Seq, i%2 == 0); err != nil {
					t.Fatal(err)
				}
			}
		}
		if l.size+l.liveSize+2*block > disk {
			t.Fatalf("message %d: %d bytes and %d to compact", i, l.size, l.liveSize)
		}
		if len(live) > 5 && i%3 != 0 {
			if err := l.End(live[0].Seq, Over, 0); err != nil {
				t.Fatal(err)
			}
			live = live[1:]
		}
	}
	again, _ := open(t, dir)
	if len(again.Live()) != len(live) || refused == 0 || l.Compacted < 2 {
		t.Errorf("%d live of %d, %d refused, %d compactions", len(again.Live()), len(live), refused, l.Compacted)
	}
}
