package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// logPipe is the program's standard error as a pipe whose reader does as a test says.
type logPipe struct {
	reader, writer *os.File
}

func newLogPipe(t *testing.T) *logPipe {
	t.Helper()
	r, w, err := os.Pipe()
	must(t, err)
	t.Cleanup(func() { r.Close(); w.Close() })
	return &logPipe{r, w}
}

// fill fills the pipe to the last byte with empty lines, before the program has it.
func (p *logPipe) fill(t *testing.T) {
	t.Helper()
	raw, err := p.writer.SyscallConn()
	must(t, err)
	page := bytes.Repeat([]byte("\n"), 4096)
	err = raw.Control(func(fd uintptr) {
		for n := len(page); n > 0; {
			if _, err := syscall.Write(int(fd), page[:n]); err != nil {
				n /= 2
			}
		}
	})
	must(t, err)
}

// unreadSite is a site whose log goes to a pipe.
func unreadSite(t *testing.T, endpoints ...*endpoint) (*site, *logPipe) {
	t.Helper()
	s, p := newSite(t, endpoints...), newLogPipe(t)
	s.stderr = p.writer
	return s, p
}

// startUnread starts the program and waits until it answers that it is ready.
func (s *site) startUnread() {
	s.t.Helper()
	s.launch()
	for {
		select {
		case err := <-s.exited:
			s.t.Fatalf("the program ended: %v", err)
		case <-time.After(5 * time.Millisecond): // polls
		}
		conn, err := net.Dial("tcp", s.listen)
		if err != nil {
			continue
		}
		_, _ = io.WriteString(conn, "GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
		answer, _ := io.ReadAll(conn)
		conn.Close()
		if bytes.HasPrefix(answer, []byte("HTTP/1.1 200")) {
			return
		}
	}
}

// fillsByCounters has the program log far more than a pipe and its own queue hold.
func (s *site) fillsByCounters() {
	const times = 1200
	for range times {
		s.cmd.Process.Signal(syscall.SIGUSR1)
		time.Sleep(300 * time.Microsecond) // signals that come at once are one
	}
}

// endsInTime sends SIGTERM, and SIGKILL when the platform would.
func (s *site) endsInTime() {
	s.t.Helper()
	s.cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(killNoSooner, func() { s.cmd.Process.Kill() })
	defer kill.Stop()
	if err := <-s.exited; err != nil {
		s.t.Errorf("the exit: %v", err)
	}
}

// delivers hands a message in and answers its call.
func (s *site) delivers(p *endpoint, id string) {
	s.t.Helper()
	s.hand(id, "unsafe", p.group)
	call := <-p.calls
	call.answer("200 OK")
	if call.id != id {
		s.t.Errorf("a call of %s, wanted %s", call.id, id)
	}
}

// Guards against a start, message, signal, reload, report, stop or restart that waits for a full log.
func TestAFullLogHoldsUpNothing(t *testing.T) {
	t.Parallel()
	p := newEndpoint(t, "a", 7)
	s, log := unreadSite(t, p)
	log.fill(t)
	s.startUnread()
	s.delivers(p, "first")
	s.fillsByCounters()
	s.delivers(p, "behind signals")
	s.hand("failed", "unsafe", 7)
	(<-p.calls).answer("500 Error")
	if diff := cmp.Diff(notice{Message: "failed", Outcome: "given_up"}, <-s.reports); diff != "" {
		t.Error(diff)
	}
	<-s.watched
	s.discovery = newDiscovery(t)
	s.set(s.address(), "discovery")
	s.write()
	s.cmd.Process.Signal(syscall.SIGHUP)
	<-s.watched
	s.delivers(p, "behind a reload")
	s.hand("kept", "keyed", 7)
	call := <-p.calls
	s.end(syscall.SIGKILL)
	call.drop()
	s.startUnread()
	again := <-p.calls
	again.answer("200 OK")
	if again.id != "kept" {
		t.Errorf("the next life calls %s", again.id)
	}
	s.endsInTime()
}

// Guards against load that a log holds up when it fills meanwhile, and against a stop that does not end then.
func TestALogThatFillsUnderLoadHoldsUpNothing(t *testing.T) {
	t.Parallel()
	p := newEndpoint(t, "a", 7)
	go func() {
		for c := range p.calls {
			c.answer("200 OK")
		}
	}()
	s, _ := unreadSite(t, p)
	s.startUnread()
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() {
			for j := range 100 {
				s.hand(fmt.Sprint("m", i, ".", j), "safe", 7)
			}
		})
	}
	s.fillsByCounters()
	clients.Wait()
	s.endsInTime()
}

// Guards against a reader that is slow or goes away, and does more harm than one that has stopped.
func TestSlowReadersOfTheLogHoldUpNothing(t *testing.T) {
	t.Parallel()
	for name, read := range map[string]func(*logPipe){
		"a byte a second": func(l *logPipe) {
			for one := make([]byte, 1); ; time.Sleep(time.Second) {
				if _, err := l.reader.Read(one); err != nil {
					return
				}
			}
		},
		"gone": func(l *logPipe) { l.reader.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			p := newEndpoint(t, "a", 7)
			s, log := unreadSite(t, p)
			log.fill(t)
			s.startUnread()
			go read(log)
			s.fillsByCounters()
			s.delivers(p, "one")
			s.endsInTime()
		})
	}
}

// Guards against lines that are torn, out of order, or missing without a word once a reader comes back.
func TestAReaderOfTheLogThatComesBack(t *testing.T) {
	t.Parallel()
	p := newEndpoint(t, "a", 7)
	s, log := unreadSite(t, p)
	s.startUnread()
	s.fillsByCounters()
	s.delivers(p, "one")
	lines := make(chan string, 4096)
	go func() {
		var text logLines
		text.read(log.reader, lines)
		close(lines)
	}()
	latest, dropped := "", 0.0
	next := func() map[string]any {
		line := <-lines
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		if now := fields["time"].(string); now < latest && fields["message"] != "log lines dropped" {
			t.Errorf("%s behind %s", now, latest)
		} else {
			latest = now
		}
		return fields
	}
	for dropped == 0 {
		if line := next(); line["message"] == "log lines dropped" {
			dropped = line["lines"].(float64)
		}
	}
	for told := false; !told; { // it goes on, and the counters tell of them too
		s.cmd.Process.Signal(syscall.SIGUSR1)
		group, _ := next()["log"].(map[string]any)
		told = group != nil && group["dropped"].(float64) >= dropped
	}
	s.endsInTime()
}

// logLines splits a log into its lines.
type logLines struct{ rest []byte }

func (l *logLines) read(r io.Reader, lines chan<- string) {
	chunk := make([]byte, 64<<10)
	for {
		n, err := r.Read(chunk)
		l.rest = append(l.rest, chunk[:n]...)
		for {
			line, rest, found := bytes.Cut(l.rest, []byte("\n"))
			if !found {
				break
			}
			lines <- string(line)
			l.rest = rest
		}
		if err != nil {
			return
		}
	}
}

// Guards against a crash, or the one line of a start that cannot be, that waits for a full log instead of ending.
func TestAFullLogKeepsNoEndFromComing(t *testing.T) {
	t.Parallel()
	t.Run("crash", func(t *testing.T) {
		s, log := unreadSite(t, newEndpoint(t, "a", 7))
		log.fill(t)
		s.startUnread()
		s.cmd.Process.Signal(syscall.SIGQUIT) // the runtime prints all goroutines
		var exit *exec.ExitError
		if err := <-s.exited; !errors.As(err, &exit) || exit.ExitCode() != 2 {
			t.Errorf("the exit: %v", err)
		}
	})
	t.Run("configuration", func(t *testing.T) {
		s, log := unreadSite(t, newEndpoint(t, "a", 7))
		log.fill(t)
		s.set("", "discovery")
		s.launch()
		var exit *exec.ExitError
		if err := <-s.exited; !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("the exit: %v", err)
		}
	})
}

// Guards against a crash that says nothing where somebody reads.
func TestACrashIsToldOf(t *testing.T) {
	s := newSite(t, newEndpoint(t, "a", 7))
	s.start()
	_ = s.end(syscall.SIGQUIT)
	if !strings.Contains(s.log.String(), "SIGQUIT: quit") {
		t.Errorf("the log:\n%s", s.log)
	}
}
