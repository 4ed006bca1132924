package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulleinbeam/internal/lab"
)

// The program is killed repeatedly under load: it loses no accepted message and sends no unsafe message twice. After
// each kill the journal is verified by the command line tool. LARKREACH_KILLS sets the number of kills.
func TestKillsUnderLoad(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		kills int
		own   string
	}{
		"as on the platform":           {8, ""},
		"group commit, bodies on disk": {4, "[journal]\ndurability = \"batch\"\nmemory = \"20KiB\"\nsegment = \"128KiB\"\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if n, err := strconv.Atoi(os.Getenv("LARKREACH_KILLS")); err == nil {
				c.kills = n
			}
			killUnderLoad(t, c.kills, c.own)
		})
	}
}

func killUnderLoad(t *testing.T, kills int, own string) {
	const messagesPerKill = 150 // accepted messages between two kills
	p, q := &lab.Endpoint{Name: "p", Group: 7}, &lab.Endpoint{Name: "q", Group: 8}
	agent := &lab.Agent{}
	must(t, p.Listen())
	must(t, q.Listen())
	must(t, agent.Listen(p, q))
	f := &lab.Forwarder{Command: []string{os.Args[0]}, Env: []string{childProcessEnv + "=1"}, Settings: own, Host: uniqueHost()}
	dir := t.TempDir()
	must(t, f.Prepare(dir, agent))
	must(t, f.Start())
	t.Cleanup(f.Kill)
	checker := lab.NewChecker()
	taken := make(chan struct{}, 1<<16)
	stop := make(chan struct{})
	var load sync.WaitGroup
	for worker := range 6 {
		load.Add(1)
		go func() {
			defer load.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				c, err := lab.Dial(f.Address())
				if err != nil {
					time.Sleep(time.Millisecond) // the program is down; limits the rate of attempts
					continue
				}
				h := lab.Handover{
					ID: fmt.Sprintf("%d-%d", worker, i), Key: "k", Class: []string{"unsafe", "keyed", "safe"}[i%3], Destination: 7 + i%2,
					Left: 10 * time.Second, Body: lab.Content{Seed: uint64(i), Size: int64(1 + i%5*4000)},
				}
				a := c.Hand(h, nil)
				c.Close()
				if checker.Handed(h, a); a.Status == 202 {
					taken <- struct{}{}
				} else if a.Status == 503 {
					time.Sleep(5 * time.Millisecond)
				}
			}
		}()
	}
	for range kills {
		for range messagesPerKill {
			<-taken
		}
		_ = f.End(syscall.SIGKILL)
		stdout, stderr, code := program(t, nil, "journal", "verify", filepath.Join(dir, "state"))
		if code != 0 && !strings.Contains(stdout, "torn tail") { // a record cut short by the kill is not damage
			t.Errorf("verify: status %d\n%s%s", code, stdout, stderr)
		}
		must(t, f.Start())
	}
	close(stop)
	load.Wait()
	must(t, f.AwaitCounter("in", "held", 0))
	must(t, f.End(syscall.SIGTERM))
	if stdout, _, code := program(t, nil, "journal", "stat", filepath.Join(dir, "state")); code != 0 || !strings.HasPrefix(stdout, "0 messages not over") {
		t.Errorf("stat: status %d\n%s", code, stdout)
	}
	agent.Close()
	p.Close()
	q.Close()
	checker.Saw(agent.Notices(), p.Arrivals(), q.Arrivals())
	for _, broken := range checker.Broken() {
		t.Error("rule broken: " + broken)
	}
	if t.Failed() {
		t.Log(f.Log())
	}
}

// The journal commands work while the program runs, and verify finds damage.
func TestJournalTools(t *testing.T) {
	p := newEndpoint(t, "a", 7)
	s := newTestbed(t, p)
	s.start()
	s.submit("held", "unsafe", 7)
	c := <-p.calls
	if stdout, _, code := program(t, nil, "journal", "stat", s.dir); code != 0 || !strings.HasPrefix(stdout, "1 messages not over") {
		t.Errorf("stat: status %d\n%s", code, stdout)
	}
	if stdout, _, code := program(t, nil, "journal", "dump", s.dir); code != 0 || !strings.Contains(stdout, `id="held" class="unsafe" destination=7 held`) {
		t.Errorf("dump: status %d\n%s", code, stdout)
	}
	if stdout, _, code := program(t, nil, "journal", "dump", "--json", s.dir); code != 0 || !strings.Contains(stdout, `"id":"held"`) {
		t.Errorf("dump --json: status %d\n%s", code, stdout)
	}
	c.answer("200 OK")
	s.waitForCounter(" ok=1 ")
	if err := s.end(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if stdout, stderr, code := program(t, nil, "journal", "compact", s.dir); code != 0 || !strings.Contains(stdout, "segments compacted") {
		t.Errorf("compact: status %d\n%s%s", code, stdout, stderr)
	}
	if stdout, _, code := program(t, nil, "journal", "verify", s.dir); code != 0 || stdout != "" {
		t.Errorf("verify: status %d\n%s", code, stdout)
	}
	files, err := filepath.Glob(filepath.Join(s.dir, "seg-*"))
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	if err := os.WriteFile(files[0], []byte("noise"), 0o600); err != nil {
		t.Fatal(err)
	}
	if stdout, _, code := program(t, nil, "journal", "verify", s.dir); code != 1 || strings.Count(stdout, "\n") != 1 || !strings.Contains(stdout, filepath.Base(files[0])) {
		t.Errorf("verify: status %d\n%s", code, stdout)
	}
}
