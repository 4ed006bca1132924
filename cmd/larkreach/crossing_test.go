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

// Where two events cross, on real sockets: the order is made by stand-ins that hold back what they do until they are told.

// A request that has come on a resting connection when the program is told to end is answered and delivered; the
// connection then ends in order.
func TestAStopMeetsARequestOnARestingConnection(t *testing.T) {
	p := newEndpoint(t, "a", 7)
	s := newSite(t, p)
	s.start()
	resting := s.client()
	resting.send(healthz)
	s.cmd.Process.Signal(syscall.SIGSTOP) // so it meets both at once
	io.WriteString(resting.conn, request("crossed", "unsafe", 7, 20*time.Second, "body"))
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.cmd.Process.Signal(syscall.SIGCONT)
	if res := resting.read(); res.StatusCode != 202 {
		t.Errorf("answered %s", res.Status)
	}
	if _, err := resting.r.ReadByte(); err != io.EOF {
		t.Errorf("then %v", err)
	}
	resting.conn.Close()
	c := <-p.calls
	c.answer("200 OK")
	if c.id != "crossed" {
		t.Errorf("%s was sent", c.id)
	}
	if err := <-s.exited; err != nil {
		t.Errorf("exit: %v\n%s", err, s.log)
	}
}

// open is how many descriptors the program has open.
func (s *site) open() int {
	s.t.Helper()
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid))
	if err != nil {
		s.t.Fatal(err)
	}
	return len(names)
}

// Clients that rest or ask for nothing fill all that is theirs while discovery is down, and endpoints' idle
// connections what is theirs: descriptors are left for the watch, which learns of a change once discovery is back, for a call to
// a new endpoint, for /healthz and for the end. So it is too where the machine gives fewer descriptors than the limits tell.
func TestIdleClientsLeaveTheDescriptorsThatAreNeeded(t *testing.T) {
	const files, spare = 80, 8
	for name, told := range map[string]int{"as told": files, "fewer than told": 1024} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newEndpoint(t, "a", 7), newEndpoint(t, "b", 8)
			s := newSite(t, a)
			s.files = files
			s.set(told, "limits", "sockets")
			down := boundOnly(t)
			s.set(down.address, "discovery")
			s.start()
			s.hand("first", "unsafe", 7)
			(<-a.calls).answer("200 OK")
			for i := range 2 * files {
				if c := s.client(); i%2 == 0 {
					c.send(healthz) // and then it rests
				}
				if n := s.open(); n > files-spare {
					t.Fatalf("%d descriptors are open behind %d clients", n, i+1)
				}
			}
			back := discoveryOn(t, down.listen(t))
			<-back.watched
			back.lists <- list(2, true, a, b)
			<-back.watched // it was learned
			if res := s.client().send(healthz); res.StatusCode != 200 {
				t.Errorf("/healthz: %s", res.Status)
			}
			s.hand("second", "unsafe", 8)
			if c := <-b.calls; c.id != "second" {
				t.Errorf("%s was sent", c.id)
			} else {
				c.answer("500 Error")
			}
			if n := <-back.reports; n.Message != "second" || n.Outcome != "given_up" {
				t.Errorf("told of %+v", n)
			}
			if err := s.end(syscall.SIGTERM); err != nil {
				t.Errorf("exit: %v", err)
			}
		})
	}
}

// Signals that come together, in any order and more than once, end the program only where one asks for it, in order and with status
// 0; what was taken on is the next life's.
func TestSignalsThatCross(t *testing.T) {
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
			s := newSite(t, p)
			s.start()
			s.hand("held", "unsafe", 7)
			(<-p.calls).answer("429 Wait\r\nX-RateLimit-Wait-Ms: 9000") // so it is held
			s.counts(" full=1 ")
			moved := newDiscovery(t)
			s.set(moved.address(), "discovery")
			s.write()
			s.cmd.Process.Signal(syscall.SIGSTOP) // so it meets all of them at once
			for _, signal := range c.signals {
				s.cmd.Process.Signal(signal)
			}
			s.cmd.Process.Signal(syscall.SIGCONT)
			if !c.ends {
				if got := <-moved.watched; got != "" {
					t.Errorf("asked %q at the new address", got)
				}
				s.cmd.Process.Signal(term)
			}
			if err := <-s.exited; err != nil {
				t.Errorf("exit: %v\n%s", err, s.log)
			}
			s.start()
			if text := s.log.String(); !strings.Contains(text, "resumed messages of an earlier process messages=1 notices=0") {
				t.Errorf("the next life:\n%s", text)
			}
		})
	}
}
