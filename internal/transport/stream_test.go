package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"

	"mulleinbeam/internal/protocol"
	"mulleinbeam/internal/pump"
)

// connPair returns a pair of connected sockets.
func connPair(t testing.TB) (a, b net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if a, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if b, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); b.Close() })
	return a, b
}

// startEndpoint listens and passes each request to serve.
func startEndpoint(t testing.TB, serve func(net.Conn, *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReaderSize(conn, 256<<10)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					serve(conn, req)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// newStreamCall returns a call to an address with a long message of the given length that arrives on conn.
func newStreamCall(conn net.Conn, address string, length int64) StreamCall {
	body, _ := protocol.NewBody(protocol.ByLength, length, length)
	return StreamCall{
		Call: Call{Call: protocol.Call{ID: "m", Host: address}, Name: "p", Address: address, Begin: func() bool { return true }},
		Upload: &Upload{
			streams: &Streams{MaxBodyBytes: 1 << 60, IdleTimeout: time.Minute, WindowBytes: 256 << 10}, conn: conn, body: body, length: length,
			closesClient: func() bool { return false },
		},
		RecordDelivery: func() bool { return true },
	}
}

// A cancelled call has closed its connection and ended its goroutines by the time it returns.
func TestCancelledStreamReleasesResources(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) }) // runs after all other cleanups
	ctx, cancel := context.WithCancel(t.Context())
	closed := make(chan error, 1)
	address := startEndpoint(t, func(conn net.Conn, req *http.Request) {
		_, _ = io.CopyN(io.Discard, req.Body, 1)
		cancel()
		_, err := io.Copy(io.Discard, req.Body)
		closed <- err
	})
	client, conn := connPair(t)
	go func() { _, _ = client.Write(make([]byte, 1<<20)) }()
	endpoints := NewEndpoints(time.Minute, time.Second, 8)
	r := endpoints.Stream(ctx, newStreamCall(conn, address, 2<<20))
	if r.Outcome != pump.Aborted || !r.Begun || r.Sent || r.Retryable {
		t.Errorf("%v, %+v", r.Outcome, r)
	}
	if err := <-closed; err == nil {
		t.Error("the endpoint received a complete body")
	}
	if got := endpoints.Counters(); got.Idle != 0 {
		t.Errorf("%d connections are kept", got.Idle)
	}
	client.Close()
	conn.Close()
}

// BenchmarkStream streams 1 MiB per operation over loopback sockets. One-time allocations of a run are divided by the
// number of operations; none grows with the bytes.
func BenchmarkStream(b *testing.B) {
	address := startEndpoint(b, func(conn net.Conn, req *http.Request) {
		_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, req.Body, make([]byte, 256<<10))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	client, conn := connPair(b)
	piece := make([]byte, 1<<20)
	b.SetBytes(int64(len(piece)))
	b.ReportAllocs()
	b.ResetTimer()
	go func() {
		for range b.N {
			if _, err := client.Write(piece); err != nil {
				return
			}
		}
	}()
	if r := NewEndpoints(time.Minute, time.Second, 8).Stream(b.Context(), newStreamCall(conn, address, int64(b.N)<<20)); r.Outcome != pump.Delivered {
		b.Fatal(r.Outcome)
	}
}
