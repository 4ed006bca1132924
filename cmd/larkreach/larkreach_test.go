package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Messages are delivered byte for byte, connections are reused, and the counters at the exit match.
func TestDelivery(t *testing.T) {
	p := newEndpoint(t, "a", 7)
	s := newTestbed(t, p)
	s.start()
	body := "\x00\xff\r\n\r\nPOST / HTTP/1.1\r\n" + strings.Repeat("x", 60<<10)
	c := s.client()
	for i, id := range []string{"0000000000000001", "<&é\"'>"} {
		if res := c.send(request(id, "keyed", 7, 5*time.Second, body)); res.StatusCode != 202 {
			t.Fatalf("answered %s", res.Status)
		}
		got := <-p.calls
		type seen struct{ ID, Key, Body string }
		if diff := cmp.Diff(seen{id, "key-" + id, body}, seen{got.id, got.key, got.body}); diff != "" {
			t.Errorf("call differs:\n%s", diff)
		}
		if got.connNumber != 1 || got.timeout == "" {
			t.Errorf("call %d: connection %d, X-Timeout-Ms %q", i, got.connNumber, got.timeout)
		}
		got.answer("200 OK")
		s.waitForCounter(fmt.Sprintf(" ok=%d ", i+1)) // the answer has been read, so the connection is idle
	}
	if res := c.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"); res.StatusCode != 200 {
		t.Errorf("healthz: %s", res.Status)
	}
	s.waitForCounter("in: requests=2 taken=2 ")
	if err := s.end(syscall.SIGTERM); err != nil {
		t.Errorf("exit: %v", err)
	}
	if !strings.Contains(s.log.String(), "sent: calls=2 held_back=0 out=0 ok=2 ") {
		t.Errorf("counters at exit:\n%s", s.log)
	}
}

// An endpoint's answer decides whether the message is retried, and with which delivery report it ends.
func TestOutcomes(t *testing.T) {
	answers := func(text string) func(*call) { return func(c *call) { c.answer(text) } }
	drop := (*call).drop
	stays := func(text string) func(*call) { // keeps the connection open without answering further calls
		return func(c *call) { io.WriteString(c.conn, text); close(c.next) }
	}
	halfHead := func(c *call) { io.WriteString(c.conn, "HTTP/1.1 200 OK\r\nContent-Le"); c.drop() }
	huge := "Content-Length: 3221225472\r\n\r\n" + strings.Repeat("x", 100<<10)
	for name, c := range map[string]struct {
		class string
		first func(*call)
		again bool
		ends  string // outcome of the delivery report; "" for none
	}{
		"unsafe, error":               {"unsafe", answers("500 Error"), false, "given_up"},
		"unsafe, reset":               {"unsafe", drop, false, "given_up"},
		"unsafe, full":                {"unsafe", answers("503 Full"), true, ""},
		"unsafe, told to wait":        {"unsafe", answers("429 Wait\r\nX-RateLimit-Wait-Ms: 20"), true, ""},
		"unsafe, over slots":          {"unsafe", answers("503 Full\r\nX-Over-Slots: 1"), true, ""},
		"unsafe, attempts used":       {"unsafe", answers("504 No"), false, "handed_back"},
		"unsafe, over":                {"unsafe", answers("410 Gone"), false, ""},
		"unsafe, delivered, then cut": {"unsafe", halfHead, false, ""},
		"unsafe, 200, then noise":     {"unsafe", stays("HTTP/1.1 200 OK\r\n\x00\x01\r\n\r\n"), false, ""},
		"unsafe, 200 with 3 GB":       {"unsafe", stays("HTTP/1.1 200 OK\r\n" + huge), false, ""},
		"unsafe, 200, never whole":    {"unsafe", stays("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"), false, ""},
		"unsafe, 200 behind 1xx":      {"unsafe", stays("HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), false, ""},
		"unsafe, noise":               {"unsafe", stays("\x00\x01\r\n\r\n"), false, "given_up"},
		"unsafe, 503 with 3 GB":       {"unsafe", stays("HTTP/1.1 503 Full\r\n" + huge), false, "given_up"},
		"unsafe, 503, never whole":    {"unsafe", stays("HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\n"), false, "given_up"},
		"unsafe, load report":         {"unsafe", answers("503 Full\r\nX-Server-Load: {\x01"), true, ""},
		"keyed, noise":                {"keyed", stays("\x00\x01\r\n\r\n"), true, ""},
		"keyed, reset":                {"keyed", drop, true, ""},
		"safe, error":                 {"safe", answers("500 Error\r\nConnection: close"), true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newEndpoint(t, "a", 7)
			s := newTestbed(t, p)
			s.start()
			s.submit("m1", c.class, 7)
			c.first(<-p.calls)
			if c.again {
				next := <-p.calls
				if next.id != "m1" || next.key != "key-m1" || next.body != "body of m1" {
					t.Errorf("retried as %+v", next)
				}
				next.answer("200 OK")
			}
			if c.ends != "" {
				if diff := cmp.Diff(deliveryReport{Message: "m1", Outcome: c.ends}, <-s.reports); diff != "" {
					t.Error(diff)
				}
			}
			s.submit("m2", "unsafe", 7) // any further call of m1 would come before it
			got := <-p.calls
			if got.answer("200 OK"); got.id != "m2" {
				t.Errorf("%s was sent again", got.id)
			}
			if err := s.end(syscall.SIGTERM); err != nil {
				t.Errorf("exit: %v\n%s", err, s.log)
			}
			select {
			case n := <-s.reports:
				t.Errorf("delivery report %+v", n)
			default:
			}
		})
	}
}

// After SIGKILL and a restart nothing is lost: messages that may have run are abandoned or repeated as their class
// allows, unsent messages are sent, and unacknowledged delivery reports are sent again.
func TestKillAndRestart(t *testing.T) {
	p, q := newEndpoint(t, "a", 7), newEndpoint(t, "b", 8)
	s := newTestbed(t, p, q)
	s.start()
	s.submit("unsafe", "unsafe", 7)
	s.submit("keyed", "keyed", 8)
	<-p.calls
	<-q.calls
	s.refuse.Store(true)
	s.submit("failed", "unsafe", 8)
	(<-q.calls).answer("500 Error")
	if !s.waitForLog("not acknowledged") {
		t.Fatal(s.log)
	}
	s.end(syscall.SIGKILL)
	s.refuse.Store(false)
	s.start()
	got := map[string]string{}
	for range 2 {
		n := <-s.reports
		got[n.Message] = n.Outcome
	}
	if diff := cmp.Diff(map[string]string{"failed": "given_up", "unsafe": "given_up"}, got); diff != "" {
		t.Error(diff)
	}
	again := <-q.calls
	if again.answer("200 OK"); again.id != "keyed" {
		t.Errorf("%s was sent again", again.id)
	}
	if err := s.end(syscall.SIGTERM); err != nil {
		t.Errorf("exit: %v", err)
	}
	s.start() // nothing is left to resume
	if strings.Contains(s.log.String(), "resumed messages") {
		t.Errorf("left over:\n%s", s.log)
	}
}

// After SIGTERM clients are still answered, calls in flight may finish, and unsent messages are left to the next
// process.
func TestStop(t *testing.T) {
	p := newEndpoint(t, "a", 7)
	s := newTestbed(t, p)
	s.start()
	s.submit("out", "unsafe", 7)
	out := <-p.calls
	kept := s.client()
	kept.send("GET /healthz HTTP/1.1\r\n\r\n")
	// The program is stopped while the request and the signal are sent, so that it receives both at once.
	s.cmd.Process.Signal(syscall.SIGSTOP)
	comes := s.client()
	io.WriteString(comes.conn, request("late", "safe", 7, time.Minute, ""))
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.cmd.Process.Signal(syscall.SIGCONT)
	if res := comes.read(); res.StatusCode != 202 {
		t.Errorf("while stopping: %s", res.Status)
	}
	if _, err := kept.r.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection: %v", err)
	}
	late := <-p.calls
	late.answer("503 Full") // the retry falls into this process or the next
	out.answer("200 OK")
	go func() {
		for c := range p.calls {
			c.answer("503 Full")
		}
	}()
	if err := <-s.exited; err != nil {
		t.Errorf("exit: %v\n%s", err, s.log)
	}
	s.start()
	if !strings.Contains(s.log.String(), "resumed messages of an earlier process messages=1 notices=0") {
		t.Errorf("the next process:\n%s", s.log)
	}
}

// Each request is answered with a defined status, and an unreadable request closes the connection.
func TestBadInput(t *testing.T) {
	p := newEndpoint(t, "a", 7)
	s := newTestbed(t, p)
	s.start()
	post := func(extra string) string { return "POST /api HTTP/1.1\r\n" + extra + "\r\n" }
	whole := request("m", "safe", 7, time.Second, "")
	for name, c := range map[string]struct {
		raw  string
		want int
	}{
		"no HTTP":                {"\x16\x03\x01\x00\r\n\r\n", 400},
		"path":                   {"GET /x HTTP/1.1\r\n\r\n", 404},
		"method":                 {"GET /api HTTP/1.1\r\n\r\n", 405},
		"healthz's method":       {post("Content-Length: 0\r\n")[:5] + "/healthz HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405},
		"no length":              {post("X-Request-ID: m\r\n"), 411},
		"length with a sign":     {post("Content-Length: +1\r\n"), 400},
		"a length twice":         {post("Content-Length: 1\r\nContent-Length: 1\r\n"), 400},
		"lengths in a list":      {post("Content-Length: 1, 1\r\n"), 400},
		"length over all":        {post("Content-Length: 99999999999999999999\r\n"), 400},
		"id that is no text":     {request("\xff", "safe", 7, time.Second, ""), 400},
		"long id":                {request(strings.Repeat("m", 300), "safe", 7, time.Second, ""), 400},
		"two lengths":            {post("Content-Length: 1\r\nContent-Length: 2\r\n"), 400},
		"length and chunks":      {post("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"), 400},
		"body over 64 KiB":       {post(fmt.Sprintf("Content-Length: %d\r\n", 64<<10+1)), 413},
		"head over 16 KiB":       {post("X: " + strings.Repeat("x", 17<<10) + "\r\n"), 431},
		"head with no end":       {"POST /api HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", 4000), 431},
		"no id":                  {post("Content-Length: 0\r\n"), 400},
		"time":                   {strings.Replace(whole, "X-Timeout-Ms: 1000", "X-Timeout-Ms: 1e3", 1), 400},
		"time past all measure":  {strings.Replace(whole, "X-Timeout-Ms: 1000", "X-Timeout-Ms: 99999999999999999999", 1), 400},
		"no destination":         {strings.Replace(whole, "dest=7", "to=7", 1), 400},
		"unknown destination":    {strings.Replace(whole, "dest=7", "dest=8", 1), 422},
		"unknown class":          {strings.Replace(whole, "safe", "odd", 1), 422},
		"bare line feed in head": {post("X: a\nb\r\nContent-Length: 0\r\n"), 400},
	} {
		t.Run(name, func(t *testing.T) {
			client := s.client()
			res := client.send(c.raw)
			if res.StatusCode != c.want || !res.Close {
				t.Errorf("answered %s, closing %v; want %d", res.Status, res.Close, c.want)
			}
			if _, err := client.r.ReadByte(); err == nil {
				t.Error("the connection goes on")
			}
		})
	}
	res := s.client().send(request("m", "safe", 7, 0, "")) // its timeout has passed: refused at once
	if res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
		t.Errorf("time up: %s, Retry-After %q", res.Status, res.Header.Get("Retry-After"))
	}
	slow := s.client()
	io.WriteString(slow.conn, whole[:30])
	if res := slow.read(); res.StatusCode != 408 {
		t.Errorf("half a request: %s", res.Status)
	}
	waits := s.client()
	head, body, _ := strings.Cut(request("m", "safe", 7, time.Minute, "1234"), "\r\n\r\n")
	if res := waits.send(head + "\r\nExpect: 100-continue\r\n\r\n"); res.StatusCode != 100 {
		t.Fatalf("Expect: 100-continue: %s", res.Status)
	}
	if res := waits.send(body); res.StatusCode != 202 {
		t.Fatalf("after 100 Continue: %s", res.Status)
	}
	if c := <-p.calls; c.body != "1234" {
		t.Errorf("body %q", c.body)
	}
}

// Over the limit of held messages or of the disk, messages are refused with Retry-After.
func TestNoRoom(t *testing.T) {
	for name, c := range map[string]struct {
		held int
		body string
	}{"most held": {1, ""}, "disk": {1000, strings.Repeat("x", 64<<10)}} {
		t.Run(name, func(t *testing.T) {
			p := newEndpoint(t, "a", 7)
			s := newTestbed(t, p)
			s.set(c.held, "settings", "limits", "most-held")
			s.start()
			client, taken := s.client(), 0
			for {
				res := client.send(request(fmt.Sprint("m", taken), "safe", 7, time.Minute, c.body))
				if res.StatusCode != 202 {
					if res.StatusCode != 503 || res.Header.Get("Retry-After") == "" {
						t.Errorf("%s, Retry-After %q", res.Status, res.Header.Get("Retry-After"))
					}
					break
				}
				taken++
			}
			if taken < min(10, c.held) || taken > c.held {
				t.Errorf("%d were accepted", taken)
			}
			files, _ := filepath.Glob(filepath.Join(s.dir, "*"))
			for _, f := range files {
				if info, err := os.Stat(f); err == nil && info.Size() > 3e6 {
					t.Errorf("%s holds %d bytes", f, info.Size())
				}
			}
		})
	}
}

// The known list applies until discovery answers; its later lists apply from then on.
func TestEndpointList(t *testing.T) {
	a, b := newEndpoint(t, "a", 7), newEndpoint(t, "b", 7)
	s := newTestbed(t, a)
	s.start()
	if got := <-s.watched; got != "" { // the known list's version may belong to another address
		t.Errorf("first watch %q", got)
	}
	s.lists <- list(1, true, a)
	if got := <-s.watched; !strings.HasPrefix(got, "since=1&timeout_ms=") {
		t.Errorf("watch %q", got)
	}
	s.submit("m1", "safe", 7)
	first := <-a.calls
	a.status = "DRAINING"
	s.lists <- list(2, false, a, b)
	if got := <-s.watched; !strings.HasPrefix(got, "since=2&") { // the change has been processed when the next watch comes
		t.Errorf("watch %q", got)
	}
	s.submit("m2", "safe", 7)
	second := <-b.calls
	if first.id != "m1" || second.id != "m2" {
		t.Errorf("sent %s, then %s", first.id, second.id)
	}
	second.answer("200 OK")
	a.status = "DELETED"
	first.answer("200 OK")
	s.lists <- list(3, false, a)
	if got := <-a.ends; got != 1 {
		t.Errorf("connection %d of a deleted endpoint was closed", got)
	}
	moved := newEndpoint(t, "b", 9) // a full list in which b belongs to another group
	s.lists <- list(4, true, moved)
	<-s.watched
	<-s.watched
	s.submit("m3", "unsafe", 9)
	if got := <-moved.calls; got.id != "m3" {
		t.Errorf("sent %s", got.id)
	}
}

// SIGHUP switches the watch and the delivery reports to the discovery address in the file, even if the environment's
// address was in use before. Calls and connections stay, and a restart keeps the new address.
func TestReload(t *testing.T) {
	a, b := newEndpoint(t, "a", 7), newEndpoint(t, "b", 8)
	s := newTestbed(t, a)
	old := s.discovery
	s.env = []string{"ROUTER_DISCOVERY=" + s.address()}
	s.start()
	<-old.watched // the long poll
	old.refuse.Store(true)
	s.submit("failed", "unsafe", 7)
	(<-a.calls).answer("500 Error")
	s.waitForCounter(" error=1 ") // its connection is idle from here on
	s.submit("out", "unsafe", 7)
	out := <-a.calls
	for _, wrong := range []any{"", "nowhere", 7} {
		s.set(wrong, "discovery")
		s.reload("reload: new configuration not used, keeping the previous one")
	}
	s.discovery = newDiscovery(t)
	s.set(s.address(), "discovery")
	s.reload("reload: discovery has moved address=" + s.address())
	if got := <-s.watched; got != "" { // versions of the old address are invalid here
		t.Errorf("watch at the new address: %q", got)
	}
	s.lists <- list(0, true, a, b) // a lower version than before
	if got := <-s.watched; !strings.HasPrefix(got, "since=0&") {
		t.Errorf("next watch: %q", got)
	}
	if diff := cmp.Diff(deliveryReport{Message: "failed", Outcome: "given_up"}, <-s.reports); diff != "" {
		t.Error(diff)
	}
	out.answer("200 OK")
	s.waitForCounter(" ok=1 ")
	s.submit("next", "unsafe", 7)
	if next := <-a.calls; next.connNumber != out.connNumber {
		t.Errorf("a call before the reload on connection %d, one after it on %d", out.connNumber, next.connNumber)
	}
	s.submit("listed there", "unsafe", 8)
	<-b.calls
	old.listener.Close()
	s.end(syscall.SIGKILL)
	s.start()
	if got := <-s.watched; got != "" { // the known list's version, 1, belongs to the old address
		t.Errorf("watch after the restart: %q", got)
	}
}

// A connection closed by the endpoint while idle is detected: the next call uses a new connection and is sent once.
func TestClosedIdleConnection(t *testing.T) {
	p := newEndpoint(t, "a", 7)
	s := newTestbed(t, p)
	s.start()
	s.submit("m1", "unsafe", 7)
	first := <-p.calls
	io.WriteString(first.conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	s.submit("m2", "unsafe", 7)
	second := <-p.calls
	if second.answer("200 OK"); second.id != "m2" || second.connNumber != 2 {
		t.Errorf("%s on connection %d", second.id, second.connNumber)
	}
}

// Bytes after an answer are never read as the answer to the next call, whether they arrive with the answer or later.
func TestSurplusAnswerBytes(t *testing.T) {
	const ok, error500 = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
	p := newEndpoint(t, "a", 7)
	s := newTestbed(t, p)
	s.start()
	for i, extra := range []string{error500, "noise", ""} {
		s.submit(fmt.Sprint("m", i), "unsafe", 7)
		c := <-p.calls
		if c.connNumber != i+1 {
			t.Errorf("call %d on connection %d", i, c.connNumber)
		}
		io.WriteString(c.conn, ok+extra)
		close(c.next)
		s.waitForCounter(fmt.Sprintf(" ok=%d ", i+1))
		if extra == "" {
			io.WriteString(c.conn, error500) // on an idle connection
		}
	}
	s.submit("last", "unsafe", 7)
	c := <-p.calls
	if c.answer("200 OK"); c.connNumber != 4 {
		t.Errorf("after bytes on an idle connection: connection %d", c.connNumber)
	}
	s.waitForCounter(" surplus=2")
	s.waitForCounter(" ok=4 ")
	s.submit("malformed", "unsafe", 7)
	c = <-p.calls
	io.WriteString(c.conn, "noise\r\n\r\n")
	close(c.next)
	s.waitForCounter(" error=1 ") // and not a reset, which the decision module would attribute to dead connections
}

// Settings for batches of messages have no effect here: each message is a separate call and takes a slot.
func TestOneMessagePerCall(t *testing.T) {
	p := newEndpoint(t, "a", 7)
	s := newTestbed(t, p)
	s.set([]int{10}, "settings", "family-info", "batch-by-kind")
	s.set(2, "settings", "family-info", "calls-out")
	s.start()
	for i := range 5 {
		s.submit(fmt.Sprint("m", i), "unsafe", 7)
	}
	for i := range 5 { // each call that ends lets another begin
		s.waitForCounter(fmt.Sprintf(" held=%d ", 5-i))
		s.waitForCounter(fmt.Sprintf(" calls=%d ", min(5, 1+i)))
		(<-p.calls).answer("200 OK")
	}
	s.waitForCounter(" ok=5 ")
}

// If reused connections are often reset, an unsafe message is sent on a new one.
func TestFreshConnections(t *testing.T) {
	p := newEndpoint(t, "a", 7)
	s := newTestbed(t, p)
	s.start()
	s.submit("first", "safe", 7)
	(<-p.calls).answer("200 OK")
	for i := range 4 { // each call is reset on a reused connection
		s.waitForCounter(fmt.Sprintf(" ok=%d ", i+1))
		s.submit(fmt.Sprint("lost", i), "safe", 7)
		(<-p.calls).drop()
		(<-p.calls).answer("200 OK")
	}
	s.waitForCounter(" ok=5 ")
	s.submit("kept", "safe", 7)
	kept := <-p.calls
	kept.answer("200 OK")
	s.waitForCounter(" ok=6 ")
	s.submit("fresh", "unsafe", 7)
	if fresh := <-p.calls; fresh.connNumber != kept.connNumber+1 {
		t.Errorf("on connection %d, the one before on %d", fresh.connNumber, kept.connNumber)
	}
}

// Idle connections are closed before the endpoint's keepalive ends, and a call that is cut off closes its connection.
func TestConnectionsCloseInTime(t *testing.T) {
	p := newEndpoint(t, "a", 7)
	s := newTestbed(t, p)
	s.set(1000000, "settings", "limits", "keepalive")
	s.start()
	s.submit("m1", "unsafe", 7)
	(<-p.calls).answer("200 OK")
	if got := <-p.ends; got != 1 {
		t.Errorf("connection %d ended first", got)
	}
	if res := s.client().send(request("m2", "unsafe", 7, 1500*time.Millisecond, "")); res.StatusCode != 202 {
		t.Fatal(res.Status)
	}
	silent := <-p.calls
	close(silent.next) // read on until the connection is closed
	if got := <-p.ends; got != 2 {
		t.Errorf("connection %d ended second", got)
	}
	if diff := cmp.Diff(deliveryReport{Message: "m2", Outcome: "given_up"}, <-s.reports); diff != "" {
		t.Error(diff)
	}
}

// An invalid configuration ends the program with a single error line.
func TestBadConfig(t *testing.T) {
	for name, c := range map[string]struct {
		damage func(*testbed)
		want   string
	}{
		"no file":      {func(s *testbed) { s.env = []string{"ROUTER_CONFIG=/nowhere"} }, "config: open /nowhere"},
		"no state":     {func(s *testbed) { s.env = []string{"ROUTER_STATE="} }, "config: ROUTER_STATE is not set"},
		"seed":         {func(s *testbed) { s.set("xyz", "seed") }, "config: seed"},
		"limits":       {func(s *testbed) { s.set(0, "limits", "sockets") }, "config: limits"},
		"descriptors":  {func(s *testbed) { s.set(48, "limits", "sockets") }, "config: limits: 48 descriptors are too few"},
		"a low limit":  {func(s *testbed) { s.files = 48 }, "config: limits: 48 descriptors are too few"},
		"disk":         {func(s *testbed) { s.set(0.01, "limits", "disk_mb") }, "wal: disk limit of 10000 bytes is too small for segments"},
		"settings":     {func(s *testbed) { s.set(0, "settings", "family-info", "calls-out") }, "Slots must be at least 1"},
		"known list":   {func(s *testbed) { s.set([]any{map[string]any{"name": ""}}, "known", "endpoints") }, "config: known"},
		"address used": {func(s *testbed) { s.set(s.address(), "listen") }, "address already in use"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestbed(t)
			c.damage(s)
			s.launch()
			err := <-s.exited
			text := s.log.String()
			if err == nil || strings.Count(text, "\n") != 1 || !strings.Contains(text, c.want) {
				t.Errorf("exit %v with\n%s", err, text)
			}
		})
	}
}

const healthz = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"

// Clients with requests are served during a flood of connections that send nothing or half a request.
func TestTooManyClients(t *testing.T) {
	s := newTestbed(t, newEndpoint(t, "a", 7))
	s.set(64, "limits", "sockets")
	s.start()
	c := s.client()
	// A message whose call is never answered is the clock of this test: its delivery report comes at its deadline.
	c.send(request("long enough for half a request", "unsafe", 7, 1500*time.Millisecond, ""))
	for i := range 200 {
		if c := s.client(); i%2 == 0 {
			io.WriteString(c.conn, "POST /api HTTP/1.1\r\n") // half a request
		}
	}
	<-s.reports
	res := s.client().send(request("m", "unsafe", 7, time.Second, ""))
	if res.StatusCode != 202 || !res.Close {
		t.Errorf("among silent connections: %s, closing %v", res.Status, res.Close)
	}
	s.waitForCounter("clients: connections=")
	if text := s.log.String(); strings.Contains(text, " silent=0 ") {
		t.Errorf("counters:\n%s", text)
	}
}

// Connections stay open while there are few. With more than a quarter of the limit in use they are closed after their
// answer: otherwise idle connections would keep new clients out.
func TestConnectionsStayOpenWhileFew(t *testing.T) {
	s := newTestbed(t, newEndpoint(t, "a", 7))
	s.set(74, "limits", "sockets") // of which 19 are for clients
	s.start()
	var got []bool
	for range 6 {
		got = append(got, s.client().send(healthz).Close)
	}
	if diff := cmp.Diff([]bool{false, false, false, false, true, true}, got); diff != "" {
		t.Errorf("closing:\n%s", diff)
	}
}

// A silent connection is closed in time, and an error response reaches a client that keeps sending before it reads.
func TestBadClients(t *testing.T) {
	s := newTestbed(t, newEndpoint(t, "a", 7))
	s.start()
	quiet := s.client()
	for name, raw := range map[string]string{
		"length":  fmt.Sprintf("Content-Length: %d\r\n\r\n", 60<<20),
		"chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", 60<<20),
	} {
		c := s.client()
		raw = "POST /api HTTP/1.1\r\n" + raw + strings.Repeat("x", 60<<20)
		if res := c.send(raw); res.StatusCode != 413 {
			t.Errorf("60 MB, %s: %s", name, res.Status)
		}
	}
	if _, err := quiet.r.ReadByte(); err != io.EOF {
		t.Errorf("a silent connection: %v", err)
	}
}

// A message whose id is held or was delivered is not sent again; an id that ended otherwise is refused.
func TestKnownID(t *testing.T) {
	p := newEndpoint(t, "a", 7)
	s := newTestbed(t, p)
	s.start()
	s.submit("m1", "unsafe", 7)
	c := <-p.calls
	s.submit("m1", "unsafe", 7)
	c.answer("200 OK")
	s.waitForCounter(" ok=1 ")
	s.submit("m1", "unsafe", 7)
	s.submit("m2", "unsafe", 7)
	if c = <-p.calls; c.id != "m2" {
		t.Errorf("%s was sent again", c.id)
	}
	c.answer("500 Error")
	<-s.reports
	if res := s.client().send(request("m2", "unsafe", 7, time.Second, "")); res.StatusCode != 409 {
		t.Errorf("an abandoned id: %s", res.Status)
	}
	s.waitForCounter("in: requests=5 taken=2 repeated=3 ")
}
