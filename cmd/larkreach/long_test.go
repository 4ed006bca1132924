package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulleinbeam/internal/lab"
)

// Tests of long bodies, with the real program between the laboratory's client and endpoint. Tests wait for events only:
// a call, an answer, a delivery report or a counter.

const largeBody = 5 << 20

// Bodies are forwarded byte for byte in every framing, and both connections are reused for the next message.
func TestLongBodies(t *testing.T) {
	l := newLongBodyTest(t, 20*time.Second)
	c, err := lab.Dial(l.f.Address())
	must(t, err)
	defer c.Close()
	for i, how := range []string{"length", "chunked", "end"} {
		for _, chunked := range []bool{false, true} {
			h := upload(fmt.Sprintf("%s-%v", how, chunked), "unsafe", largeBody)
			h.Chunked, h.Expect = chunked, i == 1
			back := lab.Content{Seed: 2, Size: largeBody + 1}
			l.check.Carries(h.ID, back)
			go func() {
				call := l.nextCall()
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
			l.expect(a, 200, false)
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
	l.awaitIdle()
}

// A chunked body that was received completely before the call starts is sent with its length and without its trailer.
func TestChunkedInLengthOut(t *testing.T) {
	l := newLongBodyTest(t, 20*time.Second)
	h := upload("small-chunks", "safe", 100<<10)
	c, err := lab.Dial(l.f.Address())
	must(t, err)
	defer c.Close()
	h.Chunked, h.Trailer = true, "X-Sum: 1\r\n"
	answer := make(chan lab.Answer, 1)
	go func() { answer <- c.Hand(h, nil) }()
	first := l.nextCall() // this one may be sent in chunks
	must(t, first.ReadAll(0))
	must(t, first.Answer(503, ""))
	first.end(true)
	second := l.nextCall() // by now the body is complete
	if second.Length != h.Body.Size || len(second.Request.Trailer) != 0 {
		t.Errorf("length %d, trailers %v", second.Length, second.Request.Trailer)
	}
	must(t, second.ReadAll(0))
	must(t, second.Answer(200, ""))
	second.end(true)
	a := <-answer
	l.check.Handed(h, a)
	l.expect(a, 200, false)
}

// Trailers of a request are forwarded with its chunks.
func TestTrailersGoOn(t *testing.T) {
	l := newLongBodyTest(t, 20*time.Second)
	h := upload("trailers", "unsafe", largeBody)
	h.Chunked, h.Trailer = true, "X-Sum: 7\r\n"
	answer := l.submit(h)
	call := l.nextCall()
	must(t, call.ReadAll(0))
	if got := call.Request.Trailer.Get("X-Sum"); got != "7" {
		t.Errorf("trailers %v", call.Request.Trailer)
	}
	must(t, call.Answer(200, ""))
	call.end(true)
	l.expect(<-answer, 200, false)
}

// The endpoint stops reading in the middle of a body: backpressure stops the client, and the idle timeout ends the
// call.
func TestEndpointStopsReading(t *testing.T) {
	l := newLongBodyTest(t, 700*time.Millisecond)
	h := upload("stalled", "unsafe", 48<<20)
	answer := l.submit(h)
	call := l.nextCall()
	must(t, call.Read(1<<20)) // then stops reading
	a := <-answer
	l.expect(a, 504, true)
	if a.Sent > 40<<20 {
		t.Errorf("%d bytes were read from the client while the endpoint had read %d", a.Sent, call.Bytes())
	}
	l.awaitIdle()
	if err := call.ReadAll(0); err == nil {
		t.Error("the endpoint received the whole body")
	}
	call.end(false)
}

// The client disconnects in the middle of an unsafe message. The endpoint cannot take the body for complete, a delivery
// report ends the message as abandoned, and neither a submission of the same id nor a restart sends it again.
func TestClientGoesAway(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			l := newLongBodyTest(t, 20*time.Second)
			h := upload("fee", "unsafe", largeBody)
			h.Chunked, h.CutAfter = chunked, 2<<20
			answer := l.submit(h)
			call := l.nextCall()
			if err := call.ReadAll(0); err == nil {
				t.Error("the endpoint took a partial body for complete")
			}
			call.end(false)
			<-answer
			if n := <-l.notices; n.Message != "fee" || n.Outcome != "given_up" {
				t.Errorf("delivery report %+v", n)
			}
			l.awaitIdle()
			h.CutAfter = 0
			again := func() {
				c, err := lab.Dial(l.f.Address())
				must(t, err)
				defer c.Close()
				l.expect(c.Hand(h, nil), 409, false)
			}
			again()
			_ = l.f.End(syscall.SIGKILL)
			must(t, l.f.Start())
			again()
			l.awaitIdle()
			if n := len(l.p.Arrivals()); n != 1 {
				t.Errorf("%d calls", n)
			}
		})
	}
}

// The endpoint answers before it has the whole body. The answer reaches the client, which is still sending, and neither
// connection is reused.
func TestEarlyAnswers(t *testing.T) {
	back := lab.Content{Seed: 3, Size: largeBody}
	for name, c := range map[string]struct {
		class  string
		answer func(*pendingCall)
		status int
		ran    bool
	}{
		"delivered":   {"unsafe", func(c *pendingCall) { _ = c.Answer(200, "") }, 200, false},
		"with a body": {"unsafe", func(c *pendingCall) { _ = c.AnswerWith(back, "length") }, 200, false},
		"refused":     {"unsafe", func(c *pendingCall) { _ = c.Answer(503, "") }, 503, false},
		"malformed":   {"unsafe", func(c *pendingCall) { _ = c.Raw("\x00\x01\r\n\r\n") }, 502, true},
		"error":       {"safe", func(c *pendingCall) { _ = c.Answer(500, "") }, 502, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLongBodyTest(t, 20*time.Second)
			h := upload("early", c.class, 60<<20)
			if name == "with a body" {
				l.check.Carries("early", back)
			}
			answer := l.submit(h)
			call := l.nextCall()
			must(t, call.Read(1<<20)) // more than the window
			c.answer(call)
			a := <-answer
			l.expect(a, c.status, c.ran)
			if !a.Close || name == "with a body" && (!a.Whole || a.Bytes != back.Size) {
				t.Errorf("closing %v, whole %v, %d bytes", a.Close, a.Whole, a.Bytes)
			}
			l.awaitIdle()
			if err := call.ReadAll(0); err == nil {
				t.Error("the endpoint's call was completed")
			}
			call.end(false)
		})
	}
}

// A long message can be retried only while everything sent so far is still in the window. A Retry-After wait or a drain
// that is known before the first byte takes effect before it.
func TestRetries(t *testing.T) {
	l := newLongBodyTest(t, 20*time.Second)
	h := upload("kept", "safe", 100<<10)
	h.Chunked = true
	answer := l.submit(h)
	call := l.nextCall()
	must(t, call.ReadAll(0))
	must(t, call.Answer(500, ""))
	call.end(true)
	call = l.nextCall()
	must(t, call.ReadAll(0))
	must(t, call.Answer(200, ""))
	call.end(true)
	l.expect(<-answer, 200, false)

	answer = l.submit(upload("past the window", "safe", largeBody))
	call = l.nextCall()
	must(t, call.ReadAll(0))
	must(t, call.Answer(500, ""))
	call.end(true)
	l.expect(<-answer, 502, true)

	answer = l.submit(upload("not for unsafe", "unsafe", 100<<10))
	call = l.nextCall()
	must(t, call.ReadAll(0))
	must(t, call.Answer(500, ""))
	call.end(true)
	l.expect(<-answer, 502, true)

	answer = l.submit(upload("told to wait", "unsafe", 100<<10))
	call = l.nextCall()
	must(t, call.ReadAll(0))
	must(t, call.Answer(429, "X-RateLimit-Wait-Ms: 300\r\n"))
	told := time.Now()
	call.end(true)
	must(t, l.f.AwaitCounter("sent", "full", 1))
	h = upload("meanwhile", "unsafe", largeBody) // waits too, before its body is read
	h.Expect = true
	meanwhile := l.submit(h)
	for range 2 {
		call = l.nextCall()
		if since := time.Since(told); since < 250*time.Millisecond {
			t.Errorf("%s came %v after a refusal with a wait", call.ID, since)
		}
		must(t, call.ReadAll(0))
		must(t, call.Answer(200, ""))
		call.end(true)
	}
	l.expect(<-answer, 200, false)
	l.expect(<-meanwhile, 200, false)

	l.p.Status = "DRAINING"
	l.agent.List(l.p)
	l.agent.AwaitWatch() // the program has the list
	must(t, l.f.AwaitCounter("in", "held", 0))
	h = upload("drained", "unsafe", largeBody)
	h.Expect, h.Left = true, time.Second
	a := <-l.submit(h)
	if l.expect(a, 503, false); a.Continued || a.Sent > 0 {
		t.Errorf("a refused upload sent %d bytes", a.Sent)
	}
}

// Invalid framing of a body is answered 4xx; nothing after it is parsed, and no part is delivered as a complete body.
func TestBadLongBodies(t *testing.T) {
	l := newLongBodyTest(t, 20*time.Second)
	go func() {
		for c := range l.calls {
			if c.ReadAll(0) == nil {
				t.Errorf("%s was delivered as complete", c.ID)
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
	l.awaitIdle()
}

// After SIGKILL each long message ends exactly once, and an unsafe one is not sent again. After SIGTERM long calls may
// take until the end of the drain; then each gets its one answer.
func TestLongRestarts(t *testing.T) {
	l := newLongBodyTest(t, 20*time.Second)
	var answers []<-chan lab.Answer
	for _, class := range []string{"unsafe", "safe"} {
		h := upload("killed "+class, class, 40<<20)
		h.Rate = 8 << 20
		answers = append(answers, l.submit(h))
		must(t, l.nextCall().Read(1<<20))
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
	answer := l.submit(h)
	must(t, l.nextCall().Read(1<<20))
	quick := l.submit(upload("just in time", "unsafe", largeBody))
	call := l.nextCall()
	must(t, call.Read(1<<20))
	must(t, l.f.Signal(syscall.SIGTERM))
	must(t, call.ReadAll(0))
	must(t, call.Answer(200, ""))
	call.end(false)
	l.expect(<-quick, 200, false)
	l.expect(<-answer, 504, true)
	must(t, l.f.Wait())
	must(t, l.f.Start())
	l.awaitIdle()
	if n := len(l.agent.Notices()); n != 2 {
		t.Errorf("%d delivery reports", n)
	}
}

// A hundred long uploads: those over the slots and the total size are refused cleanly, and short messages are still
// delivered.
func TestManyLongUploads(t *testing.T) {
	quick := &lab.Endpoint{Name: "quick", Group: 8}
	l := newLongBodyTest(t, 20*time.Second, quick)
	var answers []<-chan lab.Answer
	var slots []*pendingCall
	for i := range 4 { // takes all slots
		answers = append(answers, l.submit(upload(fmt.Sprint("slot ", i), "unsafe", largeBody)))
		slots = append(slots, l.nextCall())
		must(t, slots[i].Read(1))
	}
	for i := range 96 {
		h := upload(fmt.Sprint("beyond ", i), "unsafe", largeBody)
		h.Expect = i%2 == 0
		l.expect(<-l.submit(h), 503, false)
	}
	for i := range 50 {
		h := upload(fmt.Sprint("short ", i), "unsafe", 1000)
		h.Destination = 8
		l.expect(<-l.submit(h), 202, false)
	}
	must(t, l.f.AwaitCounter("in", "held", 4)) // the short ones were delivered
	if n := len(quick.Arrivals()); n != 50 {
		t.Errorf("%d short messages arrived", n)
	}
	for _, c := range slots {
		c.end(false)
	}
	for _, a := range answers {
		l.expect(<-a, 502, true)
	}
}

// Without [bodies] settings a body over 64 KiB is refused at once.
func TestLongBodiesAreOff(t *testing.T) {
	s := newTestbed(t, newEndpoint(t, "a", 7))
	s.start()
	c := s.client()
	io.WriteString(c.conn, upload("m", "safe", 64<<10+1).Head())
	if res := c.read(); res.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("answered %s", res.Status)
	}
}

// A client that half-closes its connection after a whole body still gets the answer; if it does so earlier, its message
// is not accepted.
func TestHalfClosedClients(t *testing.T) {
	l := newLongBodyTest(t, 20*time.Second)
	h := upload("whole", "unsafe", largeBody)
	h.HalfClose = true
	back := lab.Content{Seed: 4, Size: largeBody}
	l.check.Carries(h.ID, back)
	answer := l.submit(h)
	call := l.nextCall()
	must(t, call.ReadAll(0))
	call.end(call.AnswerWith(back, "chunked") == nil)
	if a := <-answer; a.Status != 200 || !a.Whole || a.Digest != back.Digest() {
		t.Errorf("answered %d, whole %v, %d bytes", a.Status, a.Whole, a.Bytes)
	}
	h = upload("part", "unsafe", largeBody)
	h.HalfClose, h.CutAfter = true, 1<<20
	answer = l.submit(h)
	call = l.nextCall()
	if call.ReadAll(0) == nil {
		t.Error("a partial body was taken for complete")
	}
	call.end(false)
	if a := <-answer; a.Status != 0 {
		t.Errorf("answered %d in addition to the delivery report", a.Status)
	}
	if n := <-l.notices; n.Message != "part" || n.Outcome != "given_up" {
		t.Errorf("delivery report %+v", n)
	}
}

// A client that stops sending is not counted as a failure of the endpoint: the idle timeout ends the call, and the next
// call starts at once.
func TestClientGoesSilent(t *testing.T) {
	l := newLongBodyTest(t, 500*time.Millisecond)
	resume := make(chan struct{})
	for i := range 4 { // as many failures of an endpoint as open its breaker
		h := upload(fmt.Sprint("silent ", i), "unsafe", largeBody)
		h.StallAfter, h.Resume = 1<<20, resume
		answer := l.submit(h)
		call := l.nextCall()
		if call.ReadAll(0) == nil {
			t.Error("a partial body was taken for complete")
		}
		call.end(false)
		l.expect(<-answer, 504, true)
	}
	close(resume)
	must(t, l.f.AwaitCounter("long calls", "client_stalled", 4))
	answer := l.submit(upload("next", "unsafe", largeBody))
	call := l.nextCall()
	must(t, call.ReadAll(0))
	must(t, call.Answer(200, ""))
	call.end(true)
	l.expect(<-answer, 200, false)
	if strings.Contains(l.f.Log(), "breaker") {
		t.Error("a breaker changed its state")
	}
}

// A 200 whose body is cut off counts as delivered, and the client can tell that the answer is incomplete. A 200 with an
// unreadable head reaches the client as a malformed answer.
func TestAnswersThatAreCut(t *testing.T) {
	l := newLongBodyTest(t, 20*time.Second)
	for name, raw := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n" + strings.Repeat("x", 4000000),
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3d0900\r\n" + strings.Repeat("x", 4000000) + "\r\n",
		"no size": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3d0900\r\n" + strings.Repeat("x", 4000000) + "\r\nxyz\r\n",
	} {
		answer := l.submit(upload(name, "unsafe", largeBody))
		call := l.nextCall()
		must(t, call.ReadAll(0))
		_ = call.Raw(raw)
		call.end(false)
		if a := <-answer; a.Status != 200 || a.Whole || a.Bytes > 4000000 {
			t.Errorf("%s: answered %d, whole %v, %d bytes", name, a.Status, a.Whole, a.Bytes)
		}
	}
	answer := l.submit(upload("noise", "unsafe", largeBody))
	call := l.nextCall()
	must(t, call.ReadAll(0))
	must(t, call.Raw("HTTP/1.1 200 OK\r\n\x00\x01\r\n\r\n"))
	if a := <-answer; a.Status != 200 || a.Header.Get("X-Answer-Spoilt") != "1" || !a.Whole || a.Bytes != 0 {
		t.Errorf("noise: answered %d with %v", a.Status, a.Header)
	}
	call.end(false)
	l.awaitIdle()
	if n := l.agent.Notices(); len(n) != 0 {
		t.Errorf("delivery reports of delivered messages: %+v", n)
	}
}
