package transport

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"mulleinbeam/internal/protocol"
)

// deadlineContext has a deadline but is never done, like a context whose timer fires late.
type deadlineContext struct {
	context.Context
	at time.Time
}

func (c deadlineContext) Deadline() (time.Time, bool) { return c.at, true }

// dialOKEndpoint starts an endpoint that answers each call with 200, and returns a connection to it.
func dialOKEndpoint(t *testing.T, endpoints *Endpoints) *endpointConn {
	t.Helper()
	return dialEndpoint(t, endpoints, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
}

// dialEndpoint starts an endpoint that writes an answer to each call and closes the connection, and returns a connection
// to it.
func dialEndpoint(t *testing.T, endpoints *Endpoints, answer string) *endpointConn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = conn.Write([]byte(answer))
		}
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return endpoints.opened("p", listener.Addr().String(), retryConn{conn})
}

// An endpoint may treat its answer as too late once the timeout that it was told has passed. So an answer that is
// read after that time is discarded, even if the call's own timer has not fired yet, and its connection is not
// reused.
func TestAnswerAfterDeadlineIsDiscarded(t *testing.T) {
	for name, c := range map[string]struct {
		deadline time.Time
		end      CallOutcome
		idle     int
	}{
		"in time": {time.Now().Add(time.Hour), Answered, 1},
		"late":    {time.Now().Add(-time.Microsecond), Abandoned, 0},
	} {
		endpoints := NewEndpoints(time.Minute, time.Second, 1)
		v, _ := endpoints.exchange(deadlineContext{context.Background(), c.deadline}, dialOKEndpoint(t, endpoints), Call{Call: protocol.Call{ID: "i", Host: "h"}})
		if v.outcome != c.end || (v.reply.Status == 200) != (c.end == Answered) || endpoints.Counters().Idle != c.idle {
			t.Errorf("%s: outcome %v, status %d, %d idle connections", name, v.outcome, v.reply.Status, endpoints.Counters().Idle)
		}
		endpoints.Close()
	}
}

// Guards against a message that is called again since its end was read late, or with a part of it missing.
func TestEndOfMessageCountsHoweverItIsRead(t *testing.T) {
	for name, c := range map[string]struct {
		answer   string
		deadline time.Time
		status   int
	}{
		"over, late":              {"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", time.Now().Add(-time.Microsecond), 410},
		"over, cut short":         {"HTTP/1.1 410 Gone\r\nContent-Length: 9\r\n\r\nhalf", time.Now().Add(time.Hour), 410},
		"over, first line alone":  {"HTTP/1.1 410 Gone\r\n", time.Now().Add(time.Hour), 410},
		"no attempts, late":       {"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n", time.Now().Add(-time.Microsecond), 504},
		"no attempts, cut, late":  {"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 9\r\n\r\nhalf", time.Now().Add(-time.Microsecond), 504},
		"no attempts, surplus":    {"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", time.Now().Add(time.Hour), 504},
		"over, bytes of no reply": {"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\nrest", time.Now().Add(time.Hour), 410},
	} {
		endpoints := NewEndpoints(time.Minute, time.Second, 1)
		call := Call{Call: protocol.Call{ID: "i", Host: "h"}}
		v, _ := endpoints.exchange(deadlineContext{context.Background(), c.deadline}, dialEndpoint(t, endpoints, c.answer), call)
		if v.outcome != Answered || v.reply.Status != c.status {
			t.Errorf("%s: outcome %v, status %d", name, v.outcome, v.reply.Status)
		}
		endpoints.Close()
	}
}
