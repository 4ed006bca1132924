package main

import (
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"
	"time"
)

// Where two events cross, on real sockets: the order is made by stand-ins that hold back what they do until they are told.

// A request that has come on a resting connection when the program is told to end is answered and delivered; the
// connection then ends in order.
func TestAStopMeetsARequestOnARestingConnection(t *testing.T) {
	p := newProvider(t, "a", 7)
	s := newSite(t, p)
	s.start()
	resting := s.consumer()
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
			a, b := newProvider(t, "a", 7), newProvider(t, "b", 8)
			s := newSite(t, a)
			s.files = files
			s.set(told, "limits", "sockets")
			down := boundOnly(t)
			s.set(down.address, "discovery")
			s.start()
			s.hand("first", "unsafe", 7)
			(<-a.calls).answer("200 OK")
			for i := range 2 * files {
				if c := s.consumer(); i%2 == 0 {
					c.send(healthz) // and then it rests
				}
				if n := s.open(); n > files-spare {
					t.Fatalf("%d descriptors are open behind %d clients", n, i+1)
				}
			}
			back := &discovery{
				listener: down.listen(t), lists: make(chan map[string]any, 8), watched: make(chan string, 64), reports: make(chan notice, 64),
			}
			go back.play()
			<-back.watched
			back.lists <- list(2, true, a, b)
			<-back.watched // it was learned
			if res := s.consumer().send(healthz); res.StatusCode != 200 {
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
