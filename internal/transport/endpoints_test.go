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

// deadlineContext has a deadline and never ends by itself: a timer that fires late.
type deadlineContext struct {
	context.Context
	at time.Time
}

func (c deadlineContext) Deadline() (time.Time, bool) { return c.at, true }

// okEndpoint starts an endpoint that answers each call 200, and gives a connection to it.
func okEndpoint(t *testing.T) *endpointConn {
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
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &endpointConn{lastingConn: lastingConn{conn}, name: "p", address: listener.Addr().String()}
}

// An endpoint may take its answer for too late once the time that it was told is over. So an answer that is read behind that time is
// none, also where the call's own timer has not fired yet, and its connection carries no other call.
func TestAnAnswerBehindTheToldTimeIsNotTaken(t *testing.T) {
	for name, c := range map[string]struct {
		deadline time.Time
		end      CallOutcome
		idle     int
	}{
		"in time": {time.Now().Add(time.Hour), Answered, 1},
		"late":    {time.Now().Add(-time.Microsecond), Abandoned, 0},
	} {
		endpoints := NewEndpoints(time.Minute, time.Second, 1)
		reply, end, _ := endpoints.exchange(deadlineContext{context.Background(), c.deadline}, okEndpoint(t), protocol.Call{ID: "i", Host: "h"})
		if end != c.end || (reply.Status == 200) != (c.end == Answered) || endpoints.Counters().Idle != c.idle {
			t.Errorf("%s: end %v, status %d, %d idle connections", name, end, reply.Status, endpoints.Counters().Idle)
		}
		endpoints.Close()
	}
}
