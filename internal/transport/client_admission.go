package transport

import "time"

// Admission and eviction of client connections, and their deadlines.

// shutDown closes the idle connections and gives the others shutdownGrace to finish the request that they have begun.
func (s *Clients) shutDown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shuttingDown = true
	for c := range s.conns {
		switch c.state {
		case stateReading, stateAnswering:
			_ = c.SetReadDeadline(time.Now().Add(shutdownGrace))
		case stateNew, stateIdle:
			_ = c.SetReadDeadline(time.Now())
		}
	}
}

// admit registers a new connection. It returns false if there is no room, in which case the connection has to be
// rejected. To make room it evicts, in this order, a connection that has sent nothing, one that has been idle for
// minIdleTime, or one whose request has been incomplete for minReadTime.
func (s *Clients) admit(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Accepted++
	c.stateSince = c.accepted
	_ = c.SetReadDeadline(c.accepted.Add(requestTimeout))
	room := len(s.conns)-s.closingConns-s.streamingConns < s.MaxConnections ||
		s.evict(stateNew, 0) || s.evict(stateIdle, minIdleTime) || s.evict(stateReading, minReadTime)
	s.conns[c] = struct{}{}
	if !room {
		s.counters.Rejected++
		s.closingConns++
		c.state = stateClosing
	}
	if len(s.conns)-s.streamingConns > s.MaxConnections+maxRejecting {
		_ = s.closeAnswered() || s.evict(stateClosing, 0) // may evict the new connection itself
	}
	return room
}

// freeDescriptor closes one connection to free a file descriptor: one that is closing and whose last answer the
// client has acknowledged, one that has sent nothing for minReadTime, or one that has been idle for minIdleTime. It
// closes no connection that is in use and none that was just accepted.
func (s *Clients) freeDescriptor() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.closeAnswered() || s.evict(stateNew, minReadTime) || s.evict(stateIdle, minIdleTime)
}

// closeAnswered closes a connection in stateClosing whose last answer is acknowledged and that has no unread input,
// so that the close does not reset it. The caller holds s.mu.
func (s *Clients) closeAnswered() bool {
	for c := range s.conns {
		if c.state != stateClosing || unacknowledgedBytes(c.Conn) != 0 {
			continue
		}
		if n, err := peek(c.Conn); n == 0 && !inconclusive(err) {
			s.remove(c)
			_ = c.Close()
			return true
		}
	}
	return false
}

// evict ends the connection that has been in the given state the longest, if it has been there for at least the given
// time. The caller holds s.mu. A connection in stateClosing is closed at once. Any other is moved to stateClosing and
// its own goroutine ends it gracefully: input that has already arrived is answered, and input that arrives during the
// close does not reset the connection.
func (s *Clients) evict(state connState, minTime time.Duration) bool {
	var oldest *clientConn
	for c := range s.conns {
		if c.state == state && (oldest == nil || c.stateSince.Before(oldest.stateSince)) {
			oldest = c
		}
	}
	if oldest == nil || time.Since(oldest.stateSince) < minTime {
		return false
	}
	switch state {
	case stateClosing:
		s.remove(oldest)
		_ = oldest.Close()
		return true
	case stateNew:
		s.counters.Silent++
	case stateIdle:
		s.counters.ClosedIdle++
	case stateReading:
		s.counters.Late++
	}
	s.adjustCount(stateClosing, 1)
	oldest.state, oldest.closeAfterAnswer = stateClosing, true
	_ = oldest.SetReadDeadline(time.Now())
	return true
}

// remove unregisters a connection. The caller holds s.mu.
func (s *Clients) remove(c *clientConn) {
	if _, known := s.conns[c]; known {
		s.adjustCount(c.state, -1)
	}
	delete(s.conns, c)
}

// adjustCount adds n to the counter of a state, if the state has one. The caller holds s.mu.
func (s *Clients) adjustCount(state connState, n int) {
	switch state {
	case stateClosing:
		s.closingConns += n
	case stateStreaming:
		s.streamingConns += n
	}
}

// setState sets a connection's state and its read deadline. It returns false if the connection has to be closed.
func (s *Clients) setState(c *clientConn, state connState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.conns[c]; !known || state == stateIdle && (s.shuttingDown || c.closeAfterAnswer) {
		return false
	}
	now := time.Now()
	deadline := now.Add(requestTimeout)
	switch {
	case s.shuttingDown || c.closeAfterAnswer:
		deadline = now.Add(shutdownGrace)
	case state == stateIdle && s.crowded():
		deadline = now.Add(minIdleTime)
	case state == stateIdle:
		deadline = now.Add(idleTimeout)
	case c.state == stateNew: // the first request: trickled bytes do not extend the deadline
		deadline = c.accepted.Add(requestTimeout)
	}
	if state == stateStreaming { // from here on the stream's own timeouts apply
		deadline = time.Time{}
	}
	s.adjustCount(c.state, -1)
	s.adjustCount(state, 1)
	c.state, c.stateSince = state, now
	return c.SetReadDeadline(deadline) == nil
}

// crowded reports whether so many connections are open that most of them must be idle. The caller holds s.mu. Clients
// limit the connections that they hold themselves, so idle connections that stay open would keep other requests out
// long before the limit is reached here.
func (s *Clients) crowded() bool {
	return len(s.conns)-s.streamingConns > s.MaxConnections/crowdedDivisor
}

// closesAfterAnswer reports whether a connection is closed after its next answer.
func (s *Clients) closesAfterAnswer(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shuttingDown || c.closeAfterAnswer || s.crowded()
}
