package transport

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"mulleinbeam/internal/protocol"
)

// flakyConn fails reads and writes with errors of the system call, on a connection that lives.
type flakyConn struct {
	*net.TCPConn
	reads, writes, shutdowns int // that fail before one works; a write that fails comes behind one that wrote a part
}

var errFlaky = os.NewSyscallError("call", syscall.EHOSTUNREACH)

func (c *flakyConn) Read(b []byte) (int, error) {
	if c.reads--; c.reads >= 0 {
		return 0, errFlaky
	}
	return c.TCPConn.Read(b)
}

func (c *flakyConn) Write(b []byte) (int, error) {
	if c.writes--; c.writes >= 0 && len(b) > 1 {
		n, _ := c.TCPConn.Write(b[:len(b)/2])
		return n, errFlaky
	}
	return c.TCPConn.Write(b)
}

func (c *flakyConn) CloseWrite() error {
	if c.shutdowns--; c.shutdowns >= 0 {
		return errFlaky
	}
	return c.TCPConn.CloseWrite()
}

// Guards against answers that are missing or cut short because reads, writes and shutdowns of a living connection fail for a moment,
// also where the client has ended its sending already.
func TestAnAnswerOutlastsFailingCalls(t *testing.T) {
	for name, half := range map[string]bool{"open": false, "client has ended its sending": true} {
		t.Run(name, func(t *testing.T) {
			client, conn := ends(t)
			s := &Clients{Handler: actingHandler{}, MaxConnections: 4, conns: map[*clientConn]struct{}{}}
			c := &clientConn{lastingConn: lastingConn{&flakyConn{conn.(*net.TCPConn), 3, 3, 3}}}
			s.admit(c)
			if _, err := client.Write([]byte(handIn("a", "Connection: close\r\n"))); err != nil {
				t.Fatal(err)
			}
			if half {
				_ = client.(*net.TCPConn).CloseWrite()
			}
			served := make(chan struct{})
			go func() { defer close(served); s.serve(c) }()
			wantsLast(t, client)
			_ = client.Close()
			<-served
		})
	}
}

// Guards against a request that was read in part and is never answered, because the rest of it cannot be read.
func TestARequestThatCannotBeReadIsAnswered(t *testing.T) {
	client, conn := ends(t)
	s := &Clients{Handler: actingHandler{}, MaxConnections: 4, conns: map[*clientConn]struct{}{}}
	c := &clientConn{lastingConn: lastingConn{&flakyConn{conn.(*net.TCPConn), 1 << 30, 0, 0}}}
	s.admit(c)
	parser := protocol.NewRequestParser(protocol.MaxBodyBytes)
	parser.Commit(copy(parser.Space(), "POST /api HTTP/1.1\r\n"))
	served := make(chan struct{})
	go func() { defer close(served); s.serveFrom(c, parser) }()
	res, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil || res.StatusCode != 503 || !res.Close {
		t.Errorf("answered %v, %v", res, err)
	}
	_ = client.Close()
	<-served
}
