package main

import (
	"fmt"
	"os"
	"testing"
	"time"

	"mulleinbeam/internal/lab"
)

// The harness of the tests of long bodies: the real program between the laboratory's client and endpoint. Tests wait for events
// only: a call, an answer, a delivery report or a counter.

const bodySettings = `[bodies]
most = "64MiB"
window = "128KiB"
total = "2MiB"
slots = 4
idle = "%s"
longest = "2m"
`

// longBodyTest is a forwarder with long bodies on and one endpoint, "p" of destination 7, with a checker of the
// delivery rules.
type longBodyTest struct {
	t       *testing.T
	f       *lab.Forwarder
	p       *lab.Endpoint
	agent   *lab.Agent
	calls   chan *pendingCall // calls that wait for the test
	done    chan struct{}     // closed at the end of the test
	notices chan lab.Notice
	check   *lab.Checker
}

// pendingCall is a call that the endpoint keeps open until the test ends it.
type pendingCall struct {
	*lab.Call
	release chan bool
}

// end ends the call; keep says whether its connection stays open for another.
func (p *pendingCall) end(keep bool) { p.release <- keep }

// newLongBodyTest starts the forwarder. Calls to the endpoint are sent to the channel calls and stay open until the
// test ends them.
func newLongBodyTest(t *testing.T, idle time.Duration, others ...*lab.Endpoint) *longBodyTest {
	t.Helper()
	l := &longBodyTest{
		t: t, calls: make(chan *pendingCall, 64), done: make(chan struct{}), notices: make(chan lab.Notice, 64),
		check: lab.NewChecker(),
	}
	l.p = &lab.Endpoint{Name: "p", Group: 7, Small: 64 << 10, Handle: func(c *lab.Call) bool {
		p := &pendingCall{c, make(chan bool, 1)}
		l.calls <- p
		select {
		case keep := <-p.release:
			return keep
		case <-l.done:
			return false
		}
	}}
	l.agent = &lab.Agent{Told: func(n lab.Notice) { l.notices <- n }}
	all := append([]*lab.Endpoint{l.p}, others...)
	for _, p := range all {
		must(t, p.Listen())
	}
	must(t, l.agent.Listen(all...))
	l.f = &lab.Forwarder{
		Command: []string{os.Args[0]}, Env: []string{childProcessEnv + "=1"}, Settings: fmt.Sprintf(bodySettings, idle),
	}
	must(t, l.f.Prepare(t.TempDir(), l.agent))
	must(t, l.f.Start())
	t.Cleanup(func() {
		l.f.Kill()
		close(l.done)
		l.agent.Close()
		arrivals := [][]lab.Arrival{}
		for _, p := range all {
			p.Close()
			arrivals = append(arrivals, p.Arrivals())
		}
		l.check.Saw(l.agent.Notices(), arrivals...)
		for _, broken := range l.check.Broken() {
			t.Error("rule broken: " + broken)
		}
		if t.Failed() {
			t.Log(l.f.Log())
		}
	})
	return l
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func upload(id, class string, size int64) lab.Handover {
	return lab.Handover{
		ID: id, Key: "key-" + id, Class: class, Destination: 7, Left: time.Minute, Body: lab.Content{Seed: 1, Size: size},
	}
}

// submit submits a message on a new connection; the answer is sent to the returned channel.
func (l *longBodyTest) submit(h lab.Handover) <-chan lab.Answer {
	l.t.Helper()
	c, err := lab.Dial(l.f.Address())
	must(l.t, err)
	l.t.Cleanup(c.Close)
	answer := make(chan lab.Answer, 1)
	go func() {
		a := c.Hand(h, nil)
		l.check.Handed(h, a)
		answer <- a
	}()
	return answer
}

// nextCall returns the endpoint's next call.
func (l *longBodyTest) nextCall() *pendingCall { return <-l.calls }

// awaitIdle waits until no long call is in flight and no long message is held.
func (l *longBodyTest) awaitIdle() {
	l.t.Helper()
	must(l.t, l.f.AwaitCounter("long", "out", 0))
	must(l.t, l.f.AwaitCounter("long", "held", 0))
}

func (l *longBodyTest) expect(a lab.Answer, status int, mayRun bool) {
	l.t.Helper()
	if a.Status != status || a.MayHaveRun() != mayRun {
		l.t.Errorf("answered %d with %v (%v), wanted %d and may have run %v", a.Status, a.Header, a.Err, status, mayRun)
	}
	if a.Status == 503 && a.Header.Get("Retry-After") == "" {
		l.t.Errorf("refused without Retry-After: %v", a.Header)
	}
}
