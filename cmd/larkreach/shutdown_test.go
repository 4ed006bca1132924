package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Tests of events that coincide, on real sockets. Stopping the program or holding back answers fixes their order.

// A request that arrives on an idle connection together with SIGTERM is answered and delivered; then the connection is
// closed.
func TestRequestOnIdleConnectionDuringShutdown(t *testing.T) {
	p := newEndpoint(t, "a", 7)
	s := newTestbed(t, p)
	s.start()
	idle := s.client()
	idle.send(healthz)
	s.cmd.Process.Signal(syscall.SIGSTOP) // so that it receives both at once
	io.WriteString(idle.conn, request("crossed", "unsafe", 7, 20*time.Second, "body"))
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.cmd.Process.Signal(syscall.SIGCONT)
	if res := idle.read(); res.StatusCode != 202 {
		t.Errorf("answered %s", res.Status)
	}
	if _, err := idle.r.ReadByte(); err != io.EOF {
		t.Errorf("then %v", err)
	}
	idle.conn.Close()
	c := <-p.calls
	c.answer("200 OK")
	if c.id != "crossed" {
		t.Errorf("%s was sent", c.id)
	}
	if err := <-s.exited; err != nil {
		t.Errorf("exit: %v\n%s", err, s.log)
	}
}

// openDescriptors returns the number of descriptors that the program has open.
func (s *testbed) openDescriptors() int {
	s.t.Helper()
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid))
	if err != nil {
		s.t.Fatal(err)
	}
	return len(names)
}

// Idle clients and idle connections to endpoints use up their shares of the descriptors while discovery is down.
// Descriptors remain for the watch once discovery is back, for a call to a new endpoint, for /healthz and for the
// shutdown, also if the process limit is lower than the configured limit.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
	const files, spare = 80, 8
	for name, told := range map[string]int{"as told": files, "fewer than told": 1024} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newEndpoint(t, "a", 7), newEndpoint(t, "b", 8)
			s := newTestbed(t, a)
			s.files = files
			s.set(told, "limits", "sockets")
			down := bindUnused(t)
			s.set(down.address, "discovery")
			s.start()
			s.submit("first", "unsafe", 7)
			(<-a.calls).answer("200 OK")
			for i := range 2 * files {
				if c := s.client(); i%2 == 0 {
					c.send(healthz) // and then stays idle
				}
				if n := s.openDescriptors(); n > files-spare {
					t.Fatalf("%d descriptors are open with %d clients", n, i+1)
				}
			}
			back := newDiscoveryOn(t, down.listen(t))
			<-back.watched
			back.lists <- list(2, true, a, b)
			<-back.watched // the list has been processed
			if res := s.client().send(healthz); res.StatusCode != 200 {
				t.Errorf("/healthz: %s", res.Status)
			}
			s.submit("second", "unsafe", 8)
			if c := <-b.calls; c.id != "second" {
				t.Errorf("%s was sent", c.id)
			} else {
				c.answer("500 Error")
			}
			if n := <-back.reports; n.Message != "second" || n.Outcome != "given_up" {
				t.Errorf("reported %+v", n)
			}
			if err := s.end(syscall.SIGTERM); err != nil {
				t.Errorf("exit: %v", err)
			}
		})
	}
}

// Simultaneous signals, in any order and repeated, end the program only if one of them is a stop signal, and then with
// status 0. Accepted messages are resumed by the next process.
func TestSimultaneousSignals(t *testing.T) {
	const hup, term = syscall.SIGHUP, syscall.SIGTERM
	for name, c := range map[string]struct {
		signals []syscall.Signal
		ends    bool
	}{
		"two reloads":              {[]syscall.Signal{hup, hup}, false},
		"a reload and a stop":      {[]syscall.Signal{hup, term}, true},
		"a stop and a reload":      {[]syscall.Signal{term, hup}, true},
		"two stops":                {[]syscall.Signal{term, term}, true},
		"two stops, two reloads":   {[]syscall.Signal{hup, term, hup, term}, true},
		"a stop and an interrupt":  {[]syscall.Signal{term, syscall.SIGINT}, true},
		"counters asked at a stop": {[]syscall.Signal{syscall.SIGUSR1, term, syscall.SIGUSR1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newEndpoint(t, "a", 7)
			s := newTestbed(t, p)
			s.start()
			s.submit("held", "unsafe", 7)
			(<-p.calls).answer("429 Wait\r\nX-RateLimit-Wait-Ms: 9000") // so the message is held
			s.waitForCounter(" full=1 ")
			moved := newDiscovery(t)
			s.set(moved.address(), "discovery")
			s.write()
			s.cmd.Process.Signal(syscall.SIGSTOP) // so that it receives all of them at once
			for _, signal := range c.signals {
				s.cmd.Process.Signal(signal)
			}
			s.cmd.Process.Signal(syscall.SIGCONT)
			if !c.ends {
				if got := <-moved.watched; got != "" {
					t.Errorf("requested %q at the new address", got)
				}
				s.cmd.Process.Signal(term)
			}
			if err := <-s.exited; err != nil {
				t.Errorf("exit: %v\n%s", err, s.log)
			}
			s.start()
			if text := s.log.String(); !strings.Contains(text, "resumed messages of an earlier process messages=1 notices=0") {
				t.Errorf("the next process:\n%s", text)
			}
		})
	}
}
