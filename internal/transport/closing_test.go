package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"mulleinbeam/internal/protocol"
)

// Two events that cross at the end of a client's connection. The order is made: by a handler that acts while a request is with it,
// and by a connection whose time is up just when it is told so.

// actingHandler takes on all that is handed in, and acts first.
type actingHandler struct{ act func() }

func (d actingHandler) Accept(protocol.Submission) (*protocol.Refusal, func()) {
	if d.act != nil {
		d.act()
	}
	return nil, nil
}

func (actingHandler) Stream(protocol.Submission, *Upload) (*protocol.Refusal, <-chan StreamEnd) {
	return &protocol.Refusal{Status: 503, Close: true}, nil
}

// handIn is a request for a message, with further lines in its head.
func handIn(id, lines string) string {
	return "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: c\r\nX-Timeout-Ms: 9000\r\n" +
		"X-Addressing: dest=1\r\nContent-Length: 0\r\n" + lines + "\r\n"
}

// wantsLast reads one answer, which has to say 202 and be the last, and the connection's end, which may not be a reset.
func wantsLast(t *testing.T, client net.Conn) {
	t.Helper()
	r := bufio.NewReader(client)
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != 202 || !res.Close {
		t.Errorf("answered %s, last: %v", res.Status, res.Close)
	}
	if n, err := io.Copy(io.Discard, r); n != 0 || err != nil {
		t.Errorf("behind the last answer: %d bytes, %v", n, err)
	}
}

// A connection that ends with its answer ends in order whatever the client still sends: a close over unread bytes would reset
// it, and the 202 could go with that. So it is where the client asks for the end, where the forwarder is told to stop while the
// request is being answered, and where there are too many connections.
func TestALastAnswerOutlastsWhatStillComes(t *testing.T) {
	for name, c := range map[string]struct {
		most  int
		lines string
		stops bool
	}{
		"asked for": {100, "Connection: close\r\n", false},
		"stopping":  {100, "", true},
		"crowded":   {1, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			leave, stop := context.WithCancel(t.Context())
			s := &Clients{MaxConnections: c.most}
			s.Handler = actingHandler{func() {
				if c.stops {
					stop()
					for left := false; !left; { // it is told in a goroutine of its own
						s.mu.Lock()
						left = s.leaving
						s.mu.Unlock()
					}
				}
			}}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ctx, end := context.WithCancel(t.Context())
			served := make(chan error, 1)
			go func() { served <- s.Serve(ctx, leave, l) }()
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(client, handIn("a", c.lines)+strings.Repeat("x", 200<<10)); err != nil {
				t.Fatal(err)
			}
			wantsLast(t, client)
			client.Close()
			stop()
			end()
			if err := <-served; err != nil {
				t.Error(err)
			}
		})
	}
}

// timedOut is a connection whose time is up at its first read, once it is told so, whatever has come by then.
type timedOut struct {
	*net.TCPConn
	up chan struct{}
}

func (c *timedOut) Read(b []byte) (int, error) {
	if c.up != nil {
		<-c.up
		c.up = nil
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(b)
}

// A request that has come when its connection's time is up is answered as the last one: the time may be the resting one's, the
// place may be wanted for others, or the forwarder may have been told to stop.
func TestARequestThatCrossesTheEndOfItsTimeIsAnswered(t *testing.T) {
	for name, cut := range map[string]func(*Clients, *clientConn){
		"its own time":     func(*Clients, *clientConn) {},
		"others' place":    func(s *Clients, _ *clientConn) { s.mu.Lock(); s.drop(silent, 0); s.mu.Unlock() },
		"told to stop":     func(s *Clients, _ *clientConn) { s.leave() },
		"both, one by one": func(s *Clients, _ *clientConn) { s.mu.Lock(); s.drop(silent, 0); s.mu.Unlock(); s.leave() },
	} {
		t.Run(name, func(t *testing.T) {
			client, conn := ends(t)
			gate := &timedOut{conn.(*net.TCPConn), make(chan struct{})}
			s := &Clients{Handler: actingHandler{}, MaxConnections: 4, conns: map[*clientConn]struct{}{}}
			c := &clientConn{lastingConn: lastingConn{gate}}
			s.admit(c)
			served := make(chan struct{})
			up := gate.up
			go func() { defer close(served); s.serve(c) }()
			fmt.Fprint(client, handIn("a", ""))
			for n := 0; n == 0; { // it has come
				n, _ = peek(conn)
			}
			cut(s, c)
			close(up)
			wantsLast(t, client)
			client.Close()
			<-served
			if s.endings != 0 || len(s.conns) != 0 {
				t.Errorf("booked as ending %d, open %d", s.endings, len(s.conns))
			}
		})
	}
}

// Bytes that ask for nothing buy no time: whoever sends empty lines on and on is ended like one that is silent.
func TestEmptyLinesBuyNoTime(t *testing.T) {
	client, conn := ends(t)
	l := &lines{TCPConn: conn.(*net.TCPConn)}
	s := &Clients{Handler: actingHandler{}, MaxConnections: 4, conns: map[*clientConn]struct{}{}}
	c := &clientConn{lastingConn: lastingConn{l}}
	s.admit(c)
	served := make(chan struct{})
	go func() { defer close(served); s.serve(c) }()
	fmt.Fprint(client, "\r\n\r\n") // never read: more is always waiting
	if n, err := io.Copy(io.Discard, client); n != 0 || err != nil {
		t.Errorf("answered %d bytes, %v", n, err)
	}
	client.Close()
	<-served
	if l.times > 3 {
		t.Errorf("its time was up %d times", l.times)
	}
}

// lines is a connection on which an empty line comes just before each time that its time is up.
type lines struct {
	*net.TCPConn
	reads, times int
}

func (l *lines) Read(b []byte) (int, error) {
	if l.reads++; l.reads%2 == 0 {
		return copy(b, "\r\n"), nil
	}
	if l.times++; l.times > 100 {
		return 0, io.EOF
	}
	return 0, os.ErrDeadlineExceeded
}
