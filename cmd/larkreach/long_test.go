package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulleinbeam/internal/lab"
)

// The hard cases of long bodies, each with the real program between the laboratory's client and endpoint. What a test
// waits for is an event: a call, an answer, a notice or a counter.

const bodies = `[bodies]
most = "64MiB"
window = "128KiB"
total = "2MiB"
slots = 4
idle = "%s"
longest = "2m"
`

// long is a forwarder with long bodies on, one endpoint, "p" of destination 7, and all that checks them.
type long struct {
	t       *testing.T
	f       *lab.Forwarder
	p       *lab.Endpoint
	agent   *lab.Agent
	calls   chan *pending // each call, until the test lets it go
	over    chan struct{} // the test is
	notices chan lab.Notice
	check   *lab.Checker
}

// pending is a call that the endpoint has until the test ends it.
type pending struct {
	*lab.Call
	gone chan bool
}

// end lets the call go; keep says whether its connection may carry another.
func (p *pending) end(keep bool) { p.gone <- keep }

// newLong starts them. The endpoint's calls come to calls, and last until the test ends them.
func newLong(t *testing.T, idle time.Duration, others ...*lab.Endpoint) *long {
	t.Helper()
	l := &long{
		t: t, calls: make(chan *pending, 64), over: make(chan struct{}), notices: make(chan lab.Notice, 64),
		check: lab.NewChecker(),
	}
	l.p = &lab.Endpoint{Name: "p", Group: 7, Small: 64 << 10, Handle: func(c *lab.Call) bool {
		p := &pending{c, make(chan bool, 1)}
		l.calls <- p
		select {
		case keep := <-p.gone:
			return keep
		case <-l.over:
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
		Command: []string{os.Args[0]}, Env: []string{childMark + "=1"}, Settings: fmt.Sprintf(bodies, idle),
	}
	must(t, l.f.Prepare(t.TempDir(), l.agent))
	must(t, l.f.Start())
	t.Cleanup(func() {
		l.f.Kill()
		close(l.over)
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

// hand hands a message in on a connection of its own; its answer comes in the channel.
func (l *long) hand(h lab.Handover) <-chan lab.Answer {
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

// next is the endpoint's next call.
func (l *long) next() *pending { return <-l.calls }

// free waits until no long call is out and none is held.
func (l *long) free() {
	l.t.Helper()
	must(l.t, l.f.AwaitCounter("long", "out", 0))
	must(l.t, l.f.AwaitCounter("long", "held", 0))
}

func (l *long) wants(a lab.Answer, status int, mayRun bool) {
	l.t.Helper()
	if a.Status != status || a.MayHaveRun() != mayRun {
		l.t.Errorf("answered %d with %v (%v), wanted %d and may have run %v", a.Status, a.Header, a.Err, status, mayRun)
	}
	if a.Status == 503 && a.Header.Get("Retry-After") == "" {
		l.t.Errorf("refused with no time to come again: %v", a.Header)
	}
}

const large = 5 << 20

// Bodies go through byte for byte, in every framing; both connections carry the next message too.
func TestLongBodies(t *testing.T) {
	l := newLong(t, 20*time.Second)
	c, err := lab.Dial(l.f.Address())
	must(t, err)
	defer c.Close()
	for i, how := range []string{"length", "chunked", "end"} {
		for _, chunked := range []bool{false, true} {
			h := upload(fmt.Sprintf("%s-%v", how, chunked), "unsafe", large)
			h.Chunked, h.Expect = chunked, i == 1
			back := lab.Content{Seed: 2, Size: large + 1}
			l.check.Carries(h.ID, back)
			go func() {
				call := l.next()
				if chunked != (call.Length < 0) || call.Key != h.Key || call.Timeout == "" {
					t.Errorf("%s: length %d, key %q, time %q", h.ID, call.Length, call.Key, call.Timeout)
				}
				if err := call.ReadAll(0); err != nil {
					t.Error(err)
				}
				call.end(call.AnswerWith(back, how) == nil && how != "end")
			}()
			a := c.Hand(h, nil)
			l.check.Handed(h, a)
			l.wants(a, 200, false)
			if !a.Whole || a.Digest != back.Digest() || a.Close || a.Continued != h.Expect {
				t.Errorf("%s: %d bytes of %d, whole %v, closing %v, continued %v", h.ID, a.Bytes, back.Size, a.Whole, a.Close, a.Continued)
			}
			if how == "chunked" && a.Trailer.Get("X-Sum") != fmt.Sprintf("%x", back.Digest()) {
				t.Errorf("%s: trailers %v", h.ID, a.Trailer)
			}
			if how != "end" && a.Header.Get("Content-Type") != "text/x-lab" && how == "length" {
				t.Errorf("%s: head %v", h.ID, a.Header)
			}
		}
	}
	if got := l.p.Arrivals(); len(got) == 6 && got[3].Connection != got[0].Connection {
		t.Errorf("connections were not kept: %+v", got)
	}
	l.free()
}

// A chunked body that has come whole before the call begins goes on with its length; its trailer goes no further.
func TestChunkedInLengthOut(t *testing.T) {
	l := newLong(t, 20*time.Second)
	h := upload("small-chunks", "safe", 100<<10)
	c, err := lab.Dial(l.f.Address())
	must(t, err)
	defer c.Close()
	h.Chunked, h.Trailer = true, "X-Sum: 1\r\n"
	answer := make(chan lab.Answer, 1)
	go func() { answer <- c.Hand(h, nil) }()
	first := l.next() // it may have come in chunks
	must(t, first.ReadAll(0))
	must(t, first.Answer(503, ""))
	first.end(true)
	second := l.next() // and by now it is whole
	if second.Length != h.Body.Size || len(second.Request.Trailer) != 0 {
		t.Errorf("length %d, trailers %v", second.Length, second.Request.Trailer)
	}
	must(t, second.ReadAll(0))
	must(t, second.Answer(200, ""))
	second.end(true)
	a := <-answer
	l.check.Handed(h, a)
	l.wants(a, 200, false)
}

// Trailers of a request go on with its chunks.
func TestTrailersGoOn(t *testing.T) {
	l := newLong(t, 20*time.Second)
	h := upload("trailers", "unsafe", large)
	h.Chunked, h.Trailer = true, "X-Sum: 7\r\n"
	answer := l.hand(h)
	call := l.next()
	must(t, call.ReadAll(0))
	if got := call.Request.Trailer.Get("X-Sum"); got != "7" {
		t.Errorf("trailers %v", call.Request.Trailer)
	}
	must(t, call.Answer(200, ""))
	call.end(true)
	l.wants(<-answer, 200, false)
}

// Hard case 1: the endpoint stops reading half-way. Its client is slowed to a stop, and idle ends the call.
func TestEndpointStopsReading(t *testing.T) {
	l := newLong(t, 700*time.Millisecond)
	h := upload("stalled", "unsafe", 48<<20)
	answer := l.hand(h)
	call := l.next()
	must(t, call.Read(1<<20)) // and no more
	a := <-answer
	l.wants(a, 504, true)
	if a.Sent > 40<<20 {
		t.Errorf("%d bytes were taken from the client while the endpoint had read %d", a.Sent, call.Bytes())
	}
	l.free()
	if err := call.ReadAll(0); err == nil {
		t.Error("the call came whole")
	}
	call.end(false)
}

// Hard case 2: the client goes away in the middle of a fee batch. The endpoint can't take it for whole, a notice ends it
// as one that may have run, and nothing sends it again: not the same id, and not a restart.
func TestClientGoesAway(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			l := newLong(t, 20*time.Second)
			h := upload("fee", "unsafe", large)
			h.Chunked, h.CutAfter = chunked, 2<<20
			answer := l.hand(h)
			call := l.next()
			if err := call.ReadAll(0); err == nil {
				t.Error("the endpoint took a part for whole")
			}
			call.end(false)
			<-answer
			if n := <-l.notices; n.Message != "fee" || n.Outcome != "given_up" {
				t.Errorf("notice %+v", n)
			}
			l.free()
			h.CutAfter = 0
			again := func() {
				c, err := lab.Dial(l.f.Address())
				must(t, err)
				defer c.Close()
				l.wants(c.Hand(h, nil), 409, false)
			}
			again()
			_ = l.f.End(syscall.SIGKILL)
			must(t, l.f.Start())
			again()
			l.free()
			if n := len(l.p.Arrivals()); n != 1 {
				t.Errorf("%d calls", n)
			}
		})
	}
}

// Hard case 3: the endpoint answers before the body is whole. The answer reaches a client that is still sending, and
// neither connection is used again.
func TestEarlyAnswers(t *testing.T) {
	back := lab.Content{Seed: 3, Size: large}
	for name, c := range map[string]struct {
		class  string
		answer func(*pending)
		status int
		ran    bool
	}{
		"delivered":   {"unsafe", func(c *pending) { _ = c.Answer(200, "") }, 200, false},
		"with a body": {"unsafe", func(c *pending) { _ = c.AnswerWith(back, "length") }, 200, false},
		"refused":     {"unsafe", func(c *pending) { _ = c.Answer(503, "") }, 503, false},
		"spoilt":      {"unsafe", func(c *pending) { _ = c.Raw("\x00\x01\r\n\r\n") }, 502, true},
		"error":       {"safe", func(c *pending) { _ = c.Answer(500, "") }, 502, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLong(t, 20*time.Second)
			h := upload("early", c.class, 60<<20)
			if name == "with a body" {
				l.check.Carries("early", back)
			}
			answer := l.hand(h)
			call := l.next()
			must(t, call.Read(1<<20)) // more than the window
			c.answer(call)
			a := <-answer
			l.wants(a, c.status, c.ran)
			if !a.Close || name == "with a body" && (!a.Whole || a.Bytes != back.Size) {
				t.Errorf("closing %v, whole %v, %d bytes", a.Close, a.Whole, a.Bytes)
			}
			l.free()
			if err := call.ReadAll(0); err == nil {
				t.Error("the endpoint's call went on to its end")
			}
			call.end(false)
		})
	}
}

// Hard case 4: while all that was sent is still in the window, the module may send again; afterwards never. What is told
// before the first byte acts before it.
func TestRetries(t *testing.T) {
	l := newLong(t, 20*time.Second)
	h := upload("kept", "safe", 100<<10)
	h.Chunked = true
	answer := l.hand(h)
	call := l.next()
	must(t, call.ReadAll(0))
	must(t, call.Answer(500, ""))
	call.end(true)
	call = l.next()
	must(t, call.ReadAll(0))
	must(t, call.Answer(200, ""))
	call.end(true)
	l.wants(<-answer, 200, false)

	answer = l.hand(upload("past the window", "safe", large))
	call = l.next()
	must(t, call.ReadAll(0))
	must(t, call.Answer(500, ""))
	call.end(true)
	l.wants(<-answer, 502, true)

	answer = l.hand(upload("not for unsafe", "unsafe", 100<<10))
	call = l.next()
	must(t, call.ReadAll(0))
	must(t, call.Answer(500, ""))
	call.end(true)
	l.wants(<-answer, 502, true)

	answer = l.hand(upload("told to wait", "unsafe", 100<<10))
	call = l.next()
	must(t, call.ReadAll(0))
	must(t, call.Answer(429, "X-RateLimit-Wait-Ms: 300\r\n"))
	told := time.Now()
	call.end(true)
	must(t, l.f.AwaitCounter("sent", "full", 1))
	h = upload("meanwhile", "unsafe", large) // it waits as well, and its body with it
	h.Expect = true
	meanwhile := l.hand(h)
	for range 2 {
		call = l.next()
		if since := time.Since(told); since < 250*time.Millisecond {
			t.Errorf("%s came %v after a wait was told", call.ID, since)
		}
		must(t, call.ReadAll(0))
		must(t, call.Answer(200, ""))
		call.end(true)
	}
	l.wants(<-answer, 200, false)
	l.wants(<-meanwhile, 200, false)

	l.p.Status = "DRAINING"
	l.agent.List(l.p)
	must(t, l.f.AwaitCounter("in", "held", 0))
	h = upload("drained", "unsafe", large)
	h.Expect, h.Left = true, time.Second
	a := <-l.hand(h)
	if l.wants(a, 503, false); a.Continued || a.Sent > 0 {
		t.Errorf("a refused upload sent %d bytes", a.Sent)
	}
}

// Hard case 5: what can't be one body is answered 4xx; nothing behind it is parsed, and nothing of it passes for whole.
func TestBadLongBodies(t *testing.T) {
	l := newLong(t, 20*time.Second)
	go func() {
		for c := range l.calls {
			if c.ReadAll(0) == nil {
				t.Errorf("%s passed for whole", c.ID)
			}
			c.end(false)
		}
	}()
	filler := strings.Repeat("x", 200<<10)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(filler), filler)
	head := func(fields string) string {
		return "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: bad\r\nX-Priority-Class: safe\r\nX-Timeout-Ms: 9000\r\n" +
			"X-Addressing: dest=7\r\n" + fields + "\r\n"
	}
	const chunked = "Transfer-Encoding: chunked\r\n"
	behind := "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	for name, raw := range map[string]string{
		"two lengths":       head("Content-Length: 204800\r\n"+chunked) + chunk + "0\r\n\r\n" + behind,
		"length twice":      head("Content-Length: 204800\r\nContent-Length: 204800\r\n") + filler + behind,
		"too long":          head("Content-Length: 99999999999\r\n") + filler,
		"chunk too long":    head(chunked) + "fffffff\r\n" + filler,
		"chunks too long":   head(chunked) + chunk + "4000000\r\n" + filler,
		"size overflows":    head(chunked) + chunk + "ffffffffffffffffff\r\n" + filler,
		"no size":           head(chunked) + chunk + ";\r\n" + filler,
		"negative":          head(chunked) + chunk + "-1\r\n" + filler,
		"no line end":       head(chunked) + chunk[:len(chunk)-2] + "zz0\r\n\r\n" + behind,
		"bare line feed":    head(chunked) + chunk + "0\n\n" + behind,
		"endless extension": head(chunked) + chunk + "5;x=" + strings.Repeat("y", 100<<10),
		"length in trailer": head(chunked) + chunk + "0\r\nContent-Length: 3\r\n\r\n" + behind,
		"endless trailer":   head(chunked) + chunk + "0\r\n" + strings.Repeat("X-A: b\r\n", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			c, err := lab.Dial(l.f.Address())
			must(t, err)
			defer c.Close()
			go io.WriteString(c.Conn, strings.Replace(raw, "ID: bad", "ID: bad "+name, 1))
			answers := 0
			all, err := io.ReadAll(c.Conn)
			for line := range strings.Lines(string(all)) {
				if strings.HasPrefix(line, "HTTP/1.1 ") {
					answers++
				}
			}
			if err != nil || answers != 1 || !strings.HasPrefix(string(all), "HTTP/1.1 4") {
				t.Errorf("%d answers, %v: %.200q", answers, err, all)
			}
		})
	}
	l.free()
}

// Hard case 6: after kill -9 each long message has exactly one end, and an unsafe one is not sent again. At SIGTERM long
// calls have until the drain ends, then their one answer.
func TestLongRestarts(t *testing.T) {
	l := newLong(t, 20*time.Second)
	var answers []<-chan lab.Answer
	for _, class := range []string{"unsafe", "safe"} {
		h := upload("killed "+class, class, 40<<20)
		h.Rate = 8 << 20
		answers = append(answers, l.hand(h))
		must(t, l.next().Read(1<<20))
	}
	_ = l.f.End(syscall.SIGKILL)
	for _, a := range answers {
		if got := <-a; got.Status != 0 {
			t.Errorf("answered %d after the kill", got.Status)
		}
	}
	must(t, l.f.Start())
	ends := map[string]string{}
	for range 2 {
		n := <-l.notices
		ends[n.Message] = n.Outcome
	}
	if ends["killed unsafe"] != "given_up" || ends["killed safe"] != "handed_back" {
		t.Errorf("ends %v", ends)
	}

	h := upload("stopped", "unsafe", 40<<20)
	h.Rate = 2 << 20
	answer := l.hand(h)
	must(t, l.next().Read(1<<20))
	quick := l.hand(upload("just in time", "unsafe", large))
	call := l.next()
	must(t, call.Read(1<<20))
	must(t, l.f.Signal(syscall.SIGTERM))
	must(t, call.ReadAll(0))
	must(t, call.Answer(200, ""))
	call.end(false)
	l.wants(<-quick, 200, false)
	l.wants(<-answer, 504, true)
	must(t, l.f.Wait())
	must(t, l.f.Start())
	l.free()
	if n := len(l.agent.Notices()); n != 2 {
		t.Errorf("%d notices", n)
	}
}

// Hard case 7: long uploads by the hundred. Those beyond slots and total are refused cleanly, and short messages go on.
func TestManyLongUploads(t *testing.T) {
	quick := &lab.Endpoint{Name: "quick", Group: 8}
	l := newLong(t, 20*time.Second, quick)
	var answers []<-chan lab.Answer
	var slots []*pending
	for i := range 4 { // all slots
		answers = append(answers, l.hand(upload(fmt.Sprint("slot ", i), "unsafe", large)))
		slots = append(slots, l.next())
		must(t, slots[i].Read(1))
	}
	for i := range 96 {
		h := upload(fmt.Sprint("beyond ", i), "unsafe", large)
		h.Expect = i%2 == 0
		l.wants(<-l.hand(h), 503, false)
	}
	for i := range 50 {
		h := upload(fmt.Sprint("short ", i), "unsafe", 1000)
		h.Destination = 8
		l.wants(<-l.hand(h), 202, false)
	}
	must(t, l.f.AwaitCounter("in", "held", 4)) // the short ones were delivered
	if n := len(quick.Arrivals()); n != 50 {
		t.Errorf("%d short messages arrived", n)
	}
	for _, c := range slots {
		c.end(false)
	}
	for _, a := range answers {
		l.wants(<-a, 502, true)
	}
}

// Without settings nothing changes: a body over 64 KiB is refused at once.
func TestLongBodiesAreOff(t *testing.T) {
	s := newSite(t, newEndpoint(t, "a", 7))
	s.start()
	c := s.client()
	io.WriteString(c.conn, upload("m", "safe", 64<<10+1).Head())
	if res := c.read(); res.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("answered %s", res.Status)
	}
}

// A client that ends its sending behind a whole body still gets its answer; one that does so earlier has not handed it in.
func TestHalfClosedClients(t *testing.T) {
	l := newLong(t, 20*time.Second)
	h := upload("whole", "unsafe", large)
	h.HalfClose = true
	back := lab.Content{Seed: 4, Size: large}
	l.check.Carries(h.ID, back)
	answer := l.hand(h)
	call := l.next()
	must(t, call.ReadAll(0))
	call.end(call.AnswerWith(back, "chunked") == nil)
	if a := <-answer; a.Status != 200 || !a.Whole || a.Digest != back.Digest() {
		t.Errorf("answered %d, whole %v, %d bytes", a.Status, a.Whole, a.Bytes)
	}
	h = upload("part", "unsafe", large)
	h.HalfClose, h.CutAfter = true, 1<<20
	answer = l.hand(h)
	call = l.next()
	if call.ReadAll(0) == nil {
		t.Error("a part passed for whole")
	}
	call.end(false)
	if a := <-answer; a.Status != 0 {
		t.Errorf("answered %d beside the notice", a.Status)
	}
	if n := <-l.notices; n.Message != "part" || n.Outcome != "given_up" {
		t.Errorf("notice %+v", n)
	}
}

// A client that goes silent is no fault of its endpoint's: the call ends by idleness, and the next one goes at once.
func TestClientGoesSilent(t *testing.T) {
	l := newLong(t, 500*time.Millisecond)
	resume := make(chan struct{})
	for i := range 4 { // as many failures of an endpoint would open its breaker
		h := upload(fmt.Sprint("silent ", i), "unsafe", large)
		h.StallAfter, h.Resume = 1<<20, resume
		answer := l.hand(h)
		call := l.next()
		if call.ReadAll(0) == nil {
			t.Error("a part passed for whole")
		}
		call.end(false)
		l.wants(<-answer, 504, true)
	}
	close(resume)
	must(t, l.f.AwaitCounter("long calls", "client_stalled", 4))
	answer := l.hand(upload("next", "unsafe", large))
	call := l.next()
	must(t, call.ReadAll(0))
	must(t, call.Answer(200, ""))
	call.end(true)
	l.wants(<-answer, 200, false)
	if strings.Contains(l.f.Log(), "breaker") {
		t.Error("a breaker moved")
	}
}

// A 200 that is cut on its way is a delivery, and its client can tell that the answer is not whole. One that can't be read
// behind its first line reaches the client as such.
func TestAnswersThatAreCut(t *testing.T) {
	l := newLong(t, 20*time.Second)
	for name, raw := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n" + strings.Repeat("x", 4000000),
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3d0900\r\n" + strings.Repeat("x", 4000000) + "\r\n",
		"no size": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3d0900\r\n" + strings.Repeat("x", 4000000) + "\r\nxyz\r\n",
	} {
		answer := l.hand(upload(name, "unsafe", large))
		call := l.next()
		must(t, call.ReadAll(0))
		_ = call.Raw(raw)
		call.end(false)
		if a := <-answer; a.Status != 200 || a.Whole || a.Bytes > 4000000 {
			t.Errorf("%s: answered %d, whole %v, %d bytes", name, a.Status, a.Whole, a.Bytes)
		}
	}
	answer := l.hand(upload("noise", "unsafe", large))
	call := l.next()
	must(t, call.ReadAll(0))
	must(t, call.Raw("HTTP/1.1 200 OK\r\n\x00\x01\r\n\r\n"))
	if a := <-answer; a.Status != 200 || a.Header.Get("X-Answer-Spoilt") != "1" || !a.Whole || a.Bytes != 0 {
		t.Errorf("noise: answered %d with %v", a.Status, a.Header)
	}
	call.end(false)
	l.free()
	if n := l.agent.Notices(); len(n) != 0 {
		t.Errorf("notices of what was delivered: %+v", n)
	}
}
