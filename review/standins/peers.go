//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// roundTrip sends a request on a new connection and returns the status and the fields of the answer.
func roundTrip(address, request string, wait time.Duration) (status int, header http.Header, err error) {
	conn, err := net.DialTimeout("tcp", address, wait)
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, nil, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, answer.Header, nil
}

// message is a message as its client handed it in.
type message struct {
	id, class string
	member    *member
	sentAt    time.Duration
	left      time.Duration
	status    int // of the answer; 0 if there was none within 400 ms
}

// handIn hands a message in as a client does, and waits 400 ms for the answer.
func (s *site) handIn(m *member, id, class string, left time.Duration, size int) *message {
	msg := &message{id: id, class: class, member: m, sentAt: s.rec.now(), left: left}
	key := ""
	if class == "record-extract" {
		key = "Idempotency-Key: key-" + id + "\r\n"
	}
	request := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout-Ms: %d\r\n%sContent-Length: %d\r\nX-Addressing: dest=%d\r\n\r\n%s",
		id, class, left.Milliseconds(), key, size, destinationNumber, strings.Repeat("x", size))
	status, _, err := roundTrip(m.listen, request, 400*time.Millisecond)
	msg.status = status
	s.rec.note("client: %s (%s) handed in at %s: answered %d %v", id, class, m.name, status, errorText(err))
	return msg
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// call is a call that an endpoint received.
type call struct {
	endpoint, id string
	from         *member
	at           time.Duration // when its last byte came
	over         time.Duration // when its answer was written or its connection ended; 0 while it is out
	status       int           // of its answer; 0 if its connection ended first
}

// endpoint is an endpoint of the destination. It has a listener for each forwarder, so that its record says who called.
type endpoint struct {
	site      *site
	name      string
	listeners []net.Listener
	mu        sync.Mutex
	calls     []*call
	conns     map[net.Conn]bool
	// answer decides on a call: after how long it is answered, and with what. A status of 0 is no answer.
	answer func(c *call) (after time.Duration, status int)
}

func openEndpoint(s *site, name string, members int) (*endpoint, error) {
	p := &endpoint{site: s, name: name, conns: map[net.Conn]bool{}}
	p.answer = func(*call) (time.Duration, int) { return 120 * time.Millisecond, 200 }
	for i := range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		p.listeners = append(p.listeners, l)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				p.mu.Lock()
				p.conns[conn] = true
				p.mu.Unlock()
				go p.serve(conn, i)
			}
		}()
	}
	return p, nil
}

func (p *endpoint) serve(conn net.Conn, from int) {
	defer func() {
		_ = conn.Close()
		p.mu.Lock()
		delete(p.conns, conn)
		p.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		c := &call{endpoint: p.name, id: request.Header.Get("X-Request-ID"), from: p.site.members[from], at: p.site.rec.now()}
		p.mu.Lock()
		p.calls = append(p.calls, c)
		answer := p.answer
		p.mu.Unlock()
		p.site.rec.note("endpoint %s: call of %s from %s", p.name, c.id, c.from.name)
		ended := make(chan struct{})
		go func() { // the connection ends, or brings the next request, which comes after the answer
			_, _ = reader.Peek(1)
			close(ended)
		}()
		after, status := answer(c)
		gone := false
		if status == 0 {
			<-ended
			gone = true
		} else {
			select {
			case <-ended:
				gone = true
			case <-time.After(after):
			}
		}
		if gone {
			// A call that has begun goes on: its effect is the same as if its answer had been written.
			p.mu.Lock()
			c.over = p.site.rec.now()
			p.mu.Unlock()
			p.site.rec.note("endpoint %s: call of %s from %s: connection ended without an answer", p.name, c.id, c.from.name)
			return
		}
		p.mu.Lock()
		c.over, c.status = p.site.rec.now(), status
		p.mu.Unlock()
		p.site.rec.note("endpoint %s: call of %s from %s: answered %d", p.name, c.id, c.from.name, status)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status)); err != nil {
			return
		}
		<-ended
	}
}

// setAnswer changes how calls are answered from now on.
func (p *endpoint) setAnswer(f func(c *call) (time.Duration, int)) {
	p.mu.Lock()
	p.answer = f
	p.mu.Unlock()
}

// limit makes the endpoint take so many calls a second, and up to as many at once as come in 300 ms; others get 503. Refused
// calls use the limit up as well.
func (p *endpoint) limit(rate float64) {
	tokens, last := rate*0.3, p.site.rec.now()
	var mu sync.Mutex
	p.setAnswer(func(*call) (time.Duration, int) {
		mu.Lock()
		defer mu.Unlock()
		now := p.site.rec.now()
		tokens, last = min(rate*0.3, tokens+rate*(now-last).Seconds()), now
		if tokens--; tokens < 0 {
			tokens = max(tokens, -rate*0.1)
			return time.Millisecond, 503
		}
		return 120 * time.Millisecond, 200
	})
}

// all returns the calls so far.
func (p *endpoint) all() []call {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []call
	for _, c := range p.calls {
		out = append(out, *c)
	}
	return out
}

func (p *endpoint) close() {
	for _, l := range p.listeners {
		_ = l.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

// notice is a notice to the platform.
type notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	at      time.Duration
	from    *member
}

// agent is the platform's agent on a forwarder's machine. Its list does not change.
type agent struct {
	site     *site
	index    int
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	notices  []notice
}

func openAgent(s *site, index int) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{site: s, index: index, listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("since") != "41" {
			_ = json.NewEncoder(w).Encode(a.listed())
			return
		}
		ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		select {
		case <-time.After(time.Duration(min(ms, 60000)) * time.Millisecond):
			fmt.Fprint(w, `{"index":41,"snapshot":false,"endpoints":[]}`)
		case <-r.Context().Done():
		}
	})
	mux.HandleFunc("POST /reports", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		for line := range bytes.Lines(body) {
			n := notice{at: s.rec.now(), from: s.members[index]}
			if json.Unmarshal(line, &n) != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			s.rec.note("platform: notice of %s: %s %s", n.from.name, n.Message, n.Outcome)
			a.mu.Lock()
			a.notices = append(a.notices, n)
			a.mu.Unlock()
		}
		w.WriteHeader(http.StatusNoContent)
	})
	a.server = &http.Server{Handler: mux}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

func (a *agent) address() string { return a.listener.Addr().String() }

func (a *agent) close() { _ = a.server.Close() }

// listed returns the list of endpoints in discovery's form.
func (a *agent) listed() map[string]any {
	var entries []any
	for i, p := range a.site.endpoints {
		entries = append(entries, map[string]any{
			"name": p.name, "address": p.listeners[a.index].Addr().String(), "zone": []string{"budova-a", "budova-b"}[i%2],
			"type": "grand-partenaire", "group": destinationNumber, "status": "SERVING", "weight": 10.0, "since_ms": 0,
		})
	}
	return map[string]any{"index": 41, "snapshot": true, "endpoints": entries}
}

// allNotices returns the notices of all forwarders.
func (s *site) allNotices() (out []notice) {
	for _, m := range s.members {
		m.agent.mu.Lock()
		out = append(out, m.agent.notices...)
		m.agent.mu.Unlock()
	}
	return out
}

// proxy is a link between two members: it delays what it carries.
type proxy struct {
	listener net.Listener
	target   string
	delay    time.Duration
	mu       sync.Mutex
	closed   bool
	conns    map[net.Conn]bool
}

func openProxy(target string, delay time.Duration) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, delay: delay, conns: map[net.Conn]bool{}}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(in)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// reset closes a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// register adds a connection; it returns false once the link is closed.
func (p *proxy) register(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) serve(in net.Conn) {
	defer reset(in)
	if !p.register(in) {
		return
	}
	time.Sleep(2 * p.delay) // the handshake
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer reset(out)
	if !p.register(out) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.carry(out, in) })
	both.Go(func() { p.carry(in, out) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

// carry carries one direction; each piece arrives after the delay, however many are on their way.
func (p *proxy) carry(to, from net.Conn) {
	type piece struct {
		due time.Time
		b   []byte
		end error
	}
	way := make(chan piece, 4096)
	go func() {
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			way <- piece{time.Now().Add(p.delay), b[:n], err}
			if err != nil {
				return
			}
		}
	}()
	for x := range way {
		time.Sleep(time.Until(x.due))
		if len(x.b) > 0 {
			if _, err := to.Write(x.b); err != nil {
				reset(from)
				return
			}
		}
		if errors.Is(x.end, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if x.end != nil {
			reset(to)
			return
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.conns {
		reset(c)
	}
}
