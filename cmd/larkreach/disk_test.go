package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"mulleinbeam/internal/lab"
)

// journalSite is a forwarder in a folder of its own with one endpoint, "p" of destination 7.
type journalSite struct {
	f     *lab.Forwarder
	p     *lab.Endpoint
	agent *lab.Agent
	check *lab.Checker
	state string
	next  int
}

func newJournalSite(t *testing.T, own string) *journalSite {
	t.Helper()
	s := prepareJournalSite(t, own)
	must(t, s.f.Start())
	return s
}

// prepareJournalSite makes one that is not started yet.
func prepareJournalSite(t *testing.T, own string) *journalSite {
	t.Helper()
	s := &journalSite{p: &lab.Endpoint{Name: "p", Group: 7}, agent: &lab.Agent{}, check: lab.NewChecker()}
	must(t, s.p.Listen())
	must(t, s.agent.Listen(s.p))
	s.f = &lab.Forwarder{Command: []string{os.Args[0]}, Env: []string{childMark + "=1"}, Settings: own}
	dir := t.TempDir()
	s.state = filepath.Join(dir, "state")
	must(t, s.f.Prepare(dir, s.agent))
	t.Cleanup(func() {
		s.f.Kill()
		if t.Failed() {
			t.Log(s.f.Log())
		}
	})
	return s
}

// hand hands a message of a class in, with a body of so many bytes.
func (s *journalSite) hand(t *testing.T, class string, size int64) lab.Answer {
	t.Helper()
	c, err := lab.Dial(s.f.Address())
	must(t, err)
	defer c.Close()
	s.next++
	h := lab.Handover{
		ID: fmt.Sprint(class, s.next), Key: "k", Class: class, Destination: 7, Left: 20 * time.Second,
		Body: lab.Content{Seed: uint64(s.next), Size: size},
	}
	a := c.Hand(h, nil)
	s.check.Handed(h, a)
	return a
}

// finish ends the program in order and holds what all sides have seen against the rules.
func (s *journalSite) finish(t *testing.T) {
	t.Helper()
	must(t, s.f.AwaitCounter("in", "held", 0))
	must(t, s.f.End(syscall.SIGTERM))
	s.agent.Close()
	s.p.Close()
	s.check.Saw(s.agent.Notices(), s.p.Arrivals())
	for _, broken := range s.check.Broken() {
		t.Error("rule broken: " + broken)
	}
}

// limitFiles sets how large a file of the program may grow; below zero takes the limit away.
func limitFiles(t *testing.T, pid int, most int64) {
	t.Helper()
	var old unix.Rlimit
	must(t, unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &old))
	limit := unix.Rlimit{Cur: old.Max, Max: old.Max}
	if most >= 0 {
		limit.Cur = uint64(most)
	}
	must(t, unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil))
}

// A real bound that an ordinary user can set, the size of a file: without room the program refuses with a time to come again,
// keeps what it owes, and goes on by itself once there is room, also through a kill.
func TestFullDisk(t *testing.T) {
	t.Parallel()
	s := newJournalSite(t, "")
	s.p.Down()
	for range 60 { // held, some of them in sealed segments
		if a := s.hand(t, "safe", 16<<10); a.Status != 202 {
			t.Fatalf("%+v", a)
		}
	}
	limitFiles(t, s.f.Pid(), 0)
	refused := 0
	for range 30 {
		switch a := s.hand(t, "unsafe", 4<<10); {
		case a.Status == 503 && a.Header.Get("Retry-After") != "":
			refused++
		default:
			t.Errorf("with no room: %d, Retry-After %q", a.Status, a.Header.Get("Retry-After"))
		}
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
	if n := strings.Count(s.f.Log(), "record not written"); n != 1 {
		t.Errorf("%d lines of the log for %d refusals", n, refused)
	}
	limitFiles(t, s.f.Pid(), 40<<10) // less than a segment: it goes on with smaller ones
	for range 20 {
		if a := s.hand(t, "unsafe", 4<<10); a.Status != 202 {
			t.Errorf("with files of 40 KiB: %d", a.Status)
		}
	}
	limitFiles(t, s.f.Pid(), -1)
	must(t, s.p.Up())
	must(t, s.f.AwaitCounter("in", "held", 0))
	if a := s.hand(t, "unsafe", 4<<10); a.Status != 202 {
		t.Errorf("with room again: %d", a.Status)
	}
	must(t, s.f.AwaitCounter("in", "held", 0))
	_ = s.f.End(syscall.SIGKILL)
	must(t, s.f.Start())
	s.finish(t)
}

// The same while segments are compacted: what is held stays, all of it is delivered once, and the folder keeps its bound.
func TestFullDiskDuringCompaction(t *testing.T) {
	t.Parallel()
	s := newJournalSite(t, "[journal]\ndisk = \"1MB\"\nsegment = \"64KiB\"\n")
	for round := range 6 {
		s.p.Down()
		taken := 0
		for i := 0; i < 120; i++ {
			if i%20 == 10 { // the disk is full for a while, at some point of the worker's work
				limitFiles(t, s.f.Pid(), int64(round)*9000)
				s.hand(t, "safe", 8<<10)
				limitFiles(t, s.f.Pid(), -1)
			}
			if a := s.hand(t, []string{"safe", "keyed", "unsafe"}[i%3], 8<<10); a.Status == 202 {
				taken++
			} else if a.Status != 503 {
				t.Fatalf("%+v", a)
			}
			if n := folderBytes(t, s.state); n > 1e6 {
				t.Fatalf("%d bytes on disk", n)
			}
		}
		if taken < 30 {
			t.Errorf("round %d: %d taken", round, taken)
		}
		must(t, s.p.Up())
		must(t, s.f.AwaitCounter("in", "held", 0))
	}
	s.finish(t)
}

// A storm at the program: far more comes than goes out with the partner down, what is held goes at once when it is back, again
// and again. The folder and the memory stay in bounds, and it takes as much each time.
func TestStormAtTheDoor(t *testing.T) {
	t.Parallel()
	s := newJournalSite(t, "[journal]\nmemory = \"1MiB\"\n")
	var calm int64
	const rounds = 4
	for round := range rounds {
		s.p.Down()
		taken := 0
		for range 400 { // twice what may be held
			switch a := s.hand(t, "safe", 10<<10); {
			case a.Status == 202:
				taken++
			case a.Status != 503 || a.Header.Get("Retry-After") == "":
				t.Fatalf("round %d: %+v", round, a)
			}
		}
		if n := folderBytes(t, s.state); n > 3e6 {
			t.Fatalf("round %d: %d bytes on disk", round, n)
		}
		if taken < 100 {
			t.Errorf("round %d: %d taken", round, taken)
		}
		must(t, s.p.Up())
		must(t, s.f.AwaitCounter("in", "held", 0))
		peak, err := s.f.PeakMemory()
		must(t, err)
		if round == 1 {
			calm = peak
		} else if round == rounds-1 && peak > calm+calm/4 {
			t.Errorf("peak memory %d bytes behind the last round, %d behind the second", peak, calm)
		}
	}
	s.finish(t)
}

func folderBytes(t *testing.T, dir string) (total int64) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	must(t, err)
	for _, e := range entries {
		if info, err := e.Info(); err == nil {
			total += (info.Size() + 511) / 512 * 512
		}
	}
	return total
}

// A second program on a folder ends with a clear error and leaves the first one as it is.
func TestSecondProgram(t *testing.T) {
	t.Parallel()
	s := newJournalSite(t, "")
	if a := s.hand(t, "safe", 10); a.Status != 202 {
		t.Fatal(a)
	}
	_, stderr, code := program(t, nil, "journal", "compact", s.state)
	if code != 1 || !strings.Contains(stderr, "another program has this journal open") {
		t.Errorf("status %d\n%s", code, stderr)
	}
	s.finish(t)
}

// Each line of the log is one JSON object with a level, a name, a time and a message; asked for, it is text for people.
func TestLogForms(t *testing.T) {
	t.Parallel()
	for form, check := range map[string]func(line string) bool{
		"json": func(line string) bool {
			var v struct {
				Level, Name, Message string
				Time                 time.Time
			}
			err := json.Unmarshal([]byte(line), &v)
			return err == nil && v.Level != "" && v.Name == "lab" && v.Message != "" && !v.Time.IsZero()
		},
		"text": func(line string) bool { return !strings.HasPrefix(line, "{") && strings.Contains(line, " INF ") },
	} {
		s := newJournalSite(t, "")
		must(t, s.f.End(syscall.SIGTERM))
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(s.f.Environment(), "LARKREACH_LOG="+form)
		pipe, err := cmd.StderrPipe()
		must(t, err)
		must(t, cmd.Start())
		var lines []string
		scan := lab.Lines(pipe, func(line string) {
			if lines = append(lines, line); len(lines) == 1 {
				_ = cmd.Process.Signal(syscall.SIGTERM) // it is ready
			}
		})
		if err := cmd.Wait(); err != nil || scan != nil || len(lines) < 3 {
			t.Errorf("%s: %v, %v, %d lines", form, err, scan, len(lines))
		}
		for _, line := range lines {
			if !check(line) {
				t.Errorf("%s: %s", form, line)
			}
		}
		s.p.Close()
		s.agent.Close()
	}
}
