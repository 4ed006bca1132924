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

// labForwarder is a forwarder run by the laboratory with one endpoint, "p" of destination 7.
type labForwarder struct {
	f     *lab.Forwarder
	p     *lab.Endpoint
	agent *lab.Agent
	check *lab.Checker
	state string
	next  int
}

func newLabForwarder(t *testing.T, own string) *labForwarder {
	t.Helper()
	s := prepareLabForwarder(t, own)
	must(t, s.f.Start())
	return s
}

// prepareLabForwarder returns a labForwarder that is not started yet.
func prepareLabForwarder(t *testing.T, own string) *labForwarder {
	t.Helper()
	s := &labForwarder{p: &lab.Endpoint{Name: "p", Group: 7}, agent: &lab.Agent{}, check: lab.NewChecker()}
	must(t, s.p.Listen())
	must(t, s.agent.Listen(s.p))
	s.f = &lab.Forwarder{Command: []string{os.Args[0]}, Env: []string{childProcessEnv + "=1"}, Settings: own, Host: uniqueHost()}
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

// submit submits a message of a class with a body of size bytes.
func (s *labForwarder) submit(t *testing.T, class string, size int64) lab.Answer {
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

// finish stops the program and checks the delivery rules against the records of all participants.
func (s *labForwarder) finish(t *testing.T) {
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

// limitFileSize sets the maximum size of files that the program writes; a negative size removes the limit.
func limitFileSize(t *testing.T, pid int, most int64) {
	t.Helper()
	var old unix.Rlimit
	must(t, unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &old))
	limit := unix.Rlimit{Cur: old.Max, Max: old.Max}
	if most >= 0 {
		limit.Cur = uint64(most)
	}
	must(t, unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil))
}

// With a full disk the program refuses messages with Retry-After, keeps the accepted ones, and recovers by itself once
// there is space again, also after a kill. The limit is RLIMIT_FSIZE, which needs no privileges.
func TestFullDisk(t *testing.T) {
	t.Parallel()
	s := newLabForwarder(t, "")
	s.p.Down()
	for range 60 { // held messages, some of them in sealed segments
		if a := s.submit(t, "safe", 16<<10); a.Status != 202 {
			t.Fatalf("%+v", a)
		}
	}
	limitFileSize(t, s.f.Pid(), 0)
	refused := 0
	for range 30 {
		switch a := s.submit(t, "unsafe", 4<<10); {
		case a.Status == 503 && a.Header.Get("Retry-After") != "":
			refused++
		default:
			t.Errorf("without space: %d, Retry-After %q", a.Status, a.Header.Get("Retry-After"))
		}
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
	if n := strings.Count(s.f.Log(), "record not written"); n != 1 {
		t.Errorf("%d lines of the log for %d refusals", n, refused)
	}
	limitFileSize(t, s.f.Pid(), 40<<10) // less than a segment: the journal continues with smaller segments
	for range 20 {
		if a := s.submit(t, "unsafe", 4<<10); a.Status != 202 {
			t.Errorf("with files of 40 KiB: %d", a.Status)
		}
	}
	limitFileSize(t, s.f.Pid(), -1)
	must(t, s.p.Up())
	must(t, s.f.AwaitCounter("in", "held", 0))
	if a := s.submit(t, "unsafe", 4<<10); a.Status != 202 {
		t.Errorf("with space again: %d", a.Status)
	}
	must(t, s.f.AwaitCounter("in", "held", 0))
	_ = s.f.End(syscall.SIGKILL)
	must(t, s.f.Start())
	s.finish(t)
}

// The disk fills up during compaction: held messages are kept and delivered once, and the folder stays within its
// limit.
func TestFullDiskDuringCompaction(t *testing.T) {
	t.Parallel()
	s := newLabForwarder(t, "[journal]\ndisk = \"1MB\"\nsegment = \"64KiB\"\n")
	for round := range 6 {
		s.p.Down()
		taken := 0
		for i := 0; i < 120; i++ {
			if i%20 == 10 { // the disk is full for a while, at some point of a compaction
				limitFileSize(t, s.f.Pid(), int64(round)*9000)
				s.submit(t, "safe", 8<<10)
				limitFileSize(t, s.f.Pid(), -1)
			}
			if a := s.submit(t, []string{"safe", "keyed", "unsafe"}[i%3], 8<<10); a.Status == 202 {
				taken++
			} else if a.Status != 503 {
				t.Fatalf("%+v", a)
			}
			if n := folderBytes(t, s.state); n > 1e6 {
				t.Fatalf("%d bytes on disk", n)
			}
		}
		if taken < 30 {
			t.Errorf("round %d: %d accepted", round, taken)
		}
		must(t, s.p.Up())
		must(t, s.f.AwaitCounter("in", "held", 0))
	}
	s.finish(t)
}

// Overload in several rounds: while the destination is down, more messages are submitted than the program may hold, and
// all held messages are delivered at once when it is back. Disk and memory stay within their limits, and each round
// accepts as many.
func TestOverloadStaysInBounds(t *testing.T) {
	t.Parallel()
	s := newLabForwarder(t, "[journal]\nmemory = \"1MiB\"\n")
	var calm int64
	const rounds = 4
	for round := range rounds {
		s.p.Down()
		taken := 0
		for range 400 { // twice the limit of held messages
			switch a := s.submit(t, "safe", 10<<10); {
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
			t.Errorf("round %d: %d accepted", round, taken)
		}
		must(t, s.p.Up())
		must(t, s.f.AwaitCounter("in", "held", 0))
		peak, err := s.f.PeakMemory()
		must(t, err)
		if round == 1 {
			calm = peak
		} else if round == rounds-1 && peak > calm+calm/4 {
			t.Errorf("peak memory %d bytes after the last round, %d after the second", peak, calm)
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

// A second program on the same folder ends with a clear error and does not affect the first.
func TestSecondProgram(t *testing.T) {
	t.Parallel()
	s := newLabForwarder(t, "")
	if a := s.submit(t, "safe", 10); a.Status != 202 {
		t.Fatal(a)
	}
	_, stderr, code := program(t, nil, "journal", "compact", s.state)
	if code != 1 || !strings.Contains(stderr, "another program has this journal open") {
		t.Errorf("status %d\n%s", code, stderr)
	}
	s.finish(t)
}

// Each log line is a JSON object with a level, a name, a time and a message, or text if the form is text.
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
		s := newLabForwarder(t, "")
		must(t, s.f.End(syscall.SIGTERM))
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(s.f.Environment(), "LARKREACH_LOG="+form)
		pipe, err := cmd.StderrPipe()
		must(t, err)
		must(t, cmd.Start())
		var lines []string
		scan := lab.Lines(pipe, func(line string) {
			if lines = append(lines, line); len(lines) == 1 {
				_ = cmd.Process.Signal(syscall.SIGTERM) // the program is ready
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
