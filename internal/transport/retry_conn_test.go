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

// flakyConn fails reads and writes with errors of the system call on an open connection.
type flakyConn struct {
	*net.TCPConn
	failingReads, failingWrites, failingShutdowns int // failures before the first success; a failing write writes a part first
}

var errFlaky = os.NewSyscallError("call", syscall.EHOSTUNREACH)

func (c *flakyConn) Read(b []byte) (int, error) {
	if c.failingReads--; c.failingReads >= 0 {
		return 0, errFlaky
	}
	return c.TCPConn.Read(b)
}

func (c *flakyConn) Write(b []byte) (int, error) {
	if c.failingWrites--; c.failingWrites >= 0 && len(b) > 1 {
		n, _ := c.TCPConn.Write(b[:len(b)/2])
		return n, errFlaky
	}
	return c.TCPConn.Write(b)
}

func (c *flakyConn) CloseWrite() error {
	if c.failingShutdowns--; c.failingShutdowns >= 0 {
		return errFlaky
	}
	return c.TCPConn.CloseWrite()
}

// Guards against answers that are lost or cut short because reads, writes and shutdowns of an open connection fail
// transiently, also where the client has already shut down its writing side.
func TestAnswerSurvivesTransientErrors(t *testing.T) {
	for name, halfClosed := range map[string]bool{"open": false, "client has shut down writing": true} {
		t.Run(name, func(t *testing.T) {
			client, conn := connPair(t)
			s := &Clients{Handler: hookHandler{}, MaxConnections: 4, conns: map[*clientConn]struct{}{}}
			c := &clientConn{retryConn: retryConn{&flakyConn{conn.(*net.TCPConn), 3, 3, 3}}}
			s.admit(c)
			if _, err := client.Write([]byte(submitRequest("a", "Connection: close\r\n"))); err != nil {
				t.Fatal(err)
			}
			if halfClosed {
				_ = client.(*net.TCPConn).CloseWrite()
			}
			served := make(chan struct{})
			go func() { defer close(served); s.serve(c) }()
			expectLastAnswer(t, client)
			_ = client.Close()
			<-served
		})
	}
}

// Guards against a request that was read in part and is never answered because the rest of it cannot be read.
func TestUnreadableRequestIsAnswered(t *testing.T) {
	client, conn := connPair(t)
	s := &Clients{Handler: hookHandler{}, MaxConnections: 4, conns: map[*clientConn]struct{}{}}
	c := &clientConn{retryConn: retryConn{&flakyConn{conn.(*net.TCPConn), 1 << 30, 0, 0}}}
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
