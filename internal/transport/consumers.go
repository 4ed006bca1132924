// Package transport has the thin drivers that read and write sockets for the state machines of package protocol: the
// consumers' listener, the providers' connections, discovery's watch and the notices. It decides nothing.
package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"mulleinbeam/internal/protocol"
)

const (
	idleFor     = 90 * time.Second // a consumer's connection between requests
	requestFor  = 5 * time.Second  // a request from its first byte to its last
	answerFor   = 5 * time.Second  // the writing of an answer
	graceFor    = 300 * time.Millisecond
	overloadGap = 50 * time.Millisecond // between two accepts that failed
)

// Desk decides on what consumers hand in.
type Desk interface {
	// Take answers a handover; a nil Rejection says that it is taken on. The handover's slices are the caller's.
	Take(h protocol.Handover) *protocol.Rejection
	// Withdraw tells that the consumer of a message that was taken on could not be told so.
	Withdraw(id string)
}

// Consumers serves the clients' side.
type Consumers struct {
	Desk Desk
	Most int // connections at once

	mu      sync.Mutex
	conns   map[net.Conn]bool // true while idle
	leaving bool
}

// Serve accepts connections until ctx ends. When leave ends, which comes first, connections end with their next answer
// and idle ones at once: a request that crosses that comes again on a new connection, which is still answered.
func (s *Consumers) Serve(ctx, leave context.Context, listener net.Listener) error {
	s.mu.Lock()
	s.conns = map[net.Conn]bool{}
	s.mu.Unlock()
	var group errgroup.Group
	defer context.AfterFunc(leave, s.leave)()
	defer context.AfterFunc(ctx, func() {
		_ = listener.Close()
		s.leave()
	})()
	var failed error
	for {
		conn, err := listener.Accept()
		if err == nil {
			group.Go(func() error { s.serve(conn); return nil })
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, net.ErrClosed) {
			failed = fmt.Errorf("transport: accept: %w", err)
			break
		}
		select { // out of descriptors, or a connection that broke at once
		case <-time.After(overloadGap):
		case <-ctx.Done():
		}
	}
	return errors.Join(failed, group.Wait())
}

// leave closes the idle connections and gives the others a moment to finish what they have begun.
func (s *Consumers) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for conn, idle := range s.conns {
		until := time.Now()
		if !idle {
			until = until.Add(graceFor)
		}
		_ = conn.SetReadDeadline(until)
	}
}

// mark books a connection's state and sets how long its next bytes may take; false says that it has to end.
func (s *Consumers) mark(conn net.Conn, idle bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.conns[conn]
	if !known && len(s.conns) >= s.Most || known && idle && s.leaving {
		return false
	}
	s.conns[conn] = idle
	wait := requestFor
	switch {
	case s.leaving:
		wait = graceFor
	case idle:
		wait = idleFor
	}
	return conn.SetReadDeadline(time.Now().Add(wait)) == nil
}

// last says whether connections end with their next answer.
func (s *Consumers) last() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *Consumers) serve(conn net.Conn) {
	defer conn.Close()
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	if !s.mark(conn, true) {
		s.answer(conn, 0, &protocol.Rejection{Status: 503, Reason: "too many connections", RetryAfter: time.Second, Close: true})
		return
	}
	parser, idle := protocol.NewRequestParser(protocol.MostBody), true
	for {
		m, err := parser.Next()
		if err != nil {
			s.answer(conn, 0, protocol.Unreadable(err))
			return
		}
		if m != nil {
			if !s.request(conn, m) {
				return
			}
			if parser.Idle() {
				if idle = true; !s.mark(conn, true) {
					return
				}
			}
			continue
		}
		if parser.Continue() {
			if _, err := conn.Write([]byte(protocol.GoOn)); err != nil {
				return
			}
		}
		n, err := conn.Read(parser.Space())
		parser.Commit(n)
		if n > 0 && idle {
			if idle = false; !s.mark(conn, false) {
				return
			}
		}
		if err != nil && n == 0 {
			if timeout := (net.Error)(nil); !parser.Idle() && errors.As(err, &timeout) && timeout.Timeout() {
				s.answer(conn, 0, &protocol.Rejection{Status: 408, Reason: "request not complete in time", Close: true})
			}
			return
		}
	}
}

// request answers one request; false ends the connection.
func (s *Consumers) request(conn net.Conn, m *protocol.Message) bool {
	asked, handover, rejection := protocol.ReadRequest(m)
	status := 200
	if asked == protocol.AskHandover && rejection == nil {
		status = 202
		rejection = s.Desk.Take(handover)
	}
	taken := status == 202 && rejection == nil
	last := m.Close || rejection != nil && rejection.Close || s.last()
	if !s.answerTo(conn, status, rejection, last) {
		if taken {
			s.Desk.Withdraw(string(handover.ID))
		}
		return false
	}
	return !last
}

func (s *Consumers) answer(conn net.Conn, status int, r *protocol.Rejection) {
	s.answerTo(conn, status, r, true)
	if tcp, ok := conn.(*net.TCPConn); ok { // what was not read would reset the connection under the answer
		_ = tcp.CloseWrite()
		_ = tcp.SetReadDeadline(time.Now().Add(graceFor))
		rest := make([]byte, 4096)
		for range 64 {
			if _, err := tcp.Read(rest); err != nil {
				return
			}
		}
	}
}

func (s *Consumers) answerTo(conn net.Conn, status int, r *protocol.Rejection, last bool) bool {
	if conn.SetWriteDeadline(time.Now().Add(answerFor)) != nil {
		return false
	}
	_, err := conn.Write(protocol.AppendAnswer(make([]byte, 0, 160), status, r, last))
	return err == nil
}
