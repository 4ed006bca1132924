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

// logPipe is a pipe for the program's standard error; the test controls its reader.
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

// fill fills the pipe completely with empty lines, before the program uses it.
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

// newTestbedWithLogPipe returns a testbed whose log goes to a pipe.
func newTestbedWithLogPipe(t *testing.T, endpoints ...*endpoint) (*testbed, *logPipe) {
	t.Helper()
	s, p := newTestbed(t, endpoints...), newLogPipe(t)
	s.stderr = p.writer
	return s, p
}

// startAndPoll starts the program and polls /healthz until it answers.
func (s *testbed) startAndPoll() {
	s.t.Helper()
	s.launch()
	for {
		select {
		case err := <-s.exited:
			s.t.Fatalf("the program ended: %v", err)
		case <-time.After(5 * time.Millisecond): // poll interval
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

// floodLog makes the program log far more than the pipe and its own queue hold.
func (s *testbed) floodLog() {
	const times = 1200
	for range times {
		s.cmd.Process.Signal(syscall.SIGUSR1)
		time.Sleep(300 * time.Microsecond) // pending signals of one kind are merged
	}
}

// terminate sends SIGTERM, and SIGKILL after the delay of the platform. The program has to exit before that.
func (s *testbed) terminate() {
	s.t.Helper()
	s.cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(killDelay, func() { s.cmd.Process.Kill() })
	defer kill.Stop()
	if err := <-s.exited; err != nil {
		s.t.Errorf("the exit: %v", err)
	}
}

// deliver submits a message and answers its call.
func (s *testbed) deliver(p *endpoint, id string) {
	s.t.Helper()
	s.submit(id, "unsafe", p.group)
	call := <-p.calls
	call.answer("200 OK")
	if call.id != id {
		s.t.Errorf("a call of %s, wanted %s", call.id, id)
	}
}

// Guards against a start, message, signal, reload, delivery report, stop or restart that blocks on a full log.
func TestFullLogBlocksNothing(t *testing.T) {
	t.Parallel()
	p := newEndpoint(t, "a", 7)
	s, log := newTestbedWithLogPipe(t, p)
	log.fill(t)
	s.startAndPoll()
	s.deliver(p, "first")
	s.floodLog()
	s.deliver(p, "after signals")
	s.submit("failed", "unsafe", 7)
	(<-p.calls).answer("500 Error")
	if diff := cmp.Diff(deliveryReport{Message: "failed", Outcome: "given_up"}, <-s.reports); diff != "" {
		t.Error(diff)
	}
	<-s.watched
	s.discovery = newDiscovery(t)
	s.set(s.address(), "discovery")
	s.write()
	s.cmd.Process.Signal(syscall.SIGHUP)
	<-s.watched
	s.deliver(p, "after a reload")
	s.submit("kept", "keyed", 7)
	call := <-p.calls
	s.end(syscall.SIGKILL)
	call.drop()
	s.startAndPoll()
	again := <-p.calls
	again.answer("200 OK")
	if again.id != "kept" {
		t.Errorf("the next process calls %s", again.id)
	}
	s.terminate()
}

// Guards against a log that fills up under load and then blocks messages or the stop.
func TestLogFillingUnderLoadBlocksNothing(t *testing.T) {
	t.Parallel()
	p := newEndpoint(t, "a", 7)
	go func() {
		for c := range p.calls {
			c.answer("200 OK")
		}
	}()
	s, _ := newTestbedWithLogPipe(t, p)
	s.startAndPoll()
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() {
			for j := range 100 {
				s.submit(fmt.Sprint("m", i, ".", j), "safe", 7)
			}
		})
	}
	s.floodLog()
	clients.Wait()
	s.terminate()
}

// Guards against a log reader that is slow or disappears and blocks the program.
func TestSlowLogReaderBlocksNothing(t *testing.T) {
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
			s, log := newTestbedWithLogPipe(t, p)
			log.fill(t)
			s.startAndPoll()
			go read(log)
			s.floodLog()
			s.deliver(p, "one")
			s.terminate()
		})
	}
}

// Guards against lines that are torn, out of order, or missing without a record once the reader resumes.
func TestLogReaderThatResumes(t *testing.T) {
	t.Parallel()
	p := newEndpoint(t, "a", 7)
	s, log := newTestbedWithLogPipe(t, p)
	s.startAndPoll()
	s.floodLog()
	s.deliver(p, "one")
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
			t.Errorf("%s after %s", now, latest)
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
	for told := false; !told; { // logging continues, and the counters report the dropped lines too
		s.cmd.Process.Signal(syscall.SIGUSR1)
		group, _ := next()["log"].(map[string]any)
		told = group != nil && group["dropped"].(float64) >= dropped
	}
	s.terminate()
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

// Guards against a crash or a failed start that blocks on a full log instead of exiting.
func TestFullLogDoesNotBlockExit(t *testing.T) {
	t.Parallel()
	t.Run("crash", func(t *testing.T) {
		s, log := newTestbedWithLogPipe(t, newEndpoint(t, "a", 7))
		log.fill(t)
		s.startAndPoll()
		s.cmd.Process.Signal(syscall.SIGQUIT) // the runtime prints all goroutines
		var exit *exec.ExitError
		if err := <-s.exited; !errors.As(err, &exit) || exit.ExitCode() != 2 {
			t.Errorf("the exit: %v", err)
		}
	})
	t.Run("configuration", func(t *testing.T) {
		s, log := newTestbedWithLogPipe(t, newEndpoint(t, "a", 7))
		log.fill(t)
		s.set("", "discovery")
		s.launch()
		var exit *exec.ExitError
		if err := <-s.exited; !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("the exit: %v", err)
		}
	})
}

// Guards against a crash whose reason is not logged.
func TestCrashIsLogged(t *testing.T) {
	s := newTestbed(t, newEndpoint(t, "a", 7))
	s.start()
	_ = s.end(syscall.SIGQUIT)
	if !strings.Contains(s.log.String(), "SIGQUIT: quit") {
		t.Errorf("the log:\n%s", s.log)
	}
}
