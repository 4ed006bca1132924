package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulleinbeam/internal/lab"
)

// After a kill or a stop a Retry-After wait still applies and ended ids are still known with [learned], but not without
// it.
func TestLearnedStateSurvivesRestart(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		own   string
		sig   syscall.Signal
		knows bool
	}{
		{"[learned]\ninterval = \"200ms\"\n", syscall.SIGKILL, true},
		{"[learned]\ninterval = \"10m\"\n", syscall.SIGTERM, true},
		{"", syscall.SIGKILL, false},
	} {
		t.Run(fmt.Sprintf("%v, learned %v", c.sig, c.knows), func(t *testing.T) {
			t.Parallel()
			s := newLabForwarder(t, c.own)
			p := s.p
			var mu sync.Mutex
			var calls []time.Time
			refuse := make(chan bool, 100)
			p.Handle = func(c *lab.Call) bool {
				mu.Lock()
				calls = append(calls, time.Now())
				mu.Unlock()
				if <-refuse {
					return c.ReadAll(0) == nil && c.Answer(429, "X-RateLimit-Wait-Ms: 3000\r\n") == nil
				}
				return c.ReadAll(0) == nil && c.Answer(200, "") == nil
			}
			refuse <- false
			if a := s.submit(t, "unsafe", 10); a.Status != 202 { // unsafe1: delivered
				t.Fatal(a)
			}
			must(t, s.f.AwaitCounter("sent", "ok", 1))
			refuse <- true
			if a := s.submit(t, "safe", 10); a.Status != 202 { // safe2: refused with a wait
				t.Fatal(a)
			}
			must(t, s.f.AwaitCounter("sent", "full", 1))
			told := time.Now()
			if c.knows && c.sig == syscall.SIGKILL {
				files, err := s.f.Counter("learned", "files")
				must(t, err)
				must(t, s.f.AwaitCounterOver("learned", "files", files+1)) // a save that began after the refusal
			}
			_ = s.f.End(c.sig)
			must(t, s.f.Start())
			refuse <- false
			refuse <- false
			s.next = 0
			again := s.submit(t, "unsafe", 10) // unsafe1 once more
			must(t, s.f.AwaitCounter("in", "held", 0))
			must(t, s.f.End(syscall.SIGTERM))
			arrivals := map[string]int{}
			for _, a := range p.Arrivals() {
				arrivals[a.ID]++
			}
			mu.Lock()
			last := calls[len(calls)-1]
			mu.Unlock()
			if c.knows {
				if again.Status != 202 || arrivals["unsafe1"] != 1 {
					t.Errorf("a known id: answered %d, arrived %d times", again.Status, arrivals["unsafe1"])
				}
				if last.Sub(told) < 2500*time.Millisecond {
					t.Errorf("called %v after a refusal with a wait of 3 s", last.Sub(told))
				}
				if text := s.f.Log(); !strings.Contains(text, "learned: state restored from an earlier process partners=1 ids=1") {
					t.Error("the restored state is not logged")
				}
			} else if arrivals["unsafe1"] != 2 {
				t.Errorf("without learned state an ended id arrived %d times, so this shows nothing", arrivals["unsafe1"])
			}
		})
	}
}

// With a damaged file the program logs one line, starts cold and serves.
func TestDamagedLearnedFile(t *testing.T) {
	t.Parallel()
	s := newLabForwarder(t, "[learned]\n")
	s.submit(t, "safe", 10)
	must(t, s.f.AwaitCounter("in", "held", 0))
	must(t, s.f.End(syscall.SIGTERM))
	path := filepath.Join(s.state, "learned")
	raw, err := os.ReadFile(path)
	must(t, err)
	raw[len(raw)/2] ^= 1
	must(t, os.WriteFile(path, raw, 0o600))
	must(t, s.f.Start())
	s.submit(t, "safe", 10)
	must(t, s.f.AwaitCounter("in", "held", 0))
	if n := strings.Count(s.f.Log(), "learned: cold start"); n != 1 {
		t.Errorf("%d lines", n)
	}
	s.finish(t)
}
