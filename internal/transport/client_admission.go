package transport

import "time"

// Which of the clients' connections stay, and for how long.

// leave closes the idle connections and gives the others a moment to finish what they have begun.
func (s *Clients) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for c := range s.conns {
		switch c.at {
		case asking, answering:
			_ = c.SetReadDeadline(time.Now().Add(graceFor))
		case silent, idle:
			_ = c.SetReadDeadline(time.Now())
		}
	}
}

// admit books a new connection; false says that there is no room for it and it is to be turned away. Who gives way to
// it is one that has asked for nothing, one that has been idle for long enough, or one whose request does not come on.
func (s *Clients) admit(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Accepted++
	c.since = c.accepted
	_ = c.SetReadDeadline(c.accepted.Add(requestFor))
	room := len(s.conns)-s.endings-s.passings < s.MaxConnections || s.drop(silent, 0) || s.drop(idle, idleLeast) || s.drop(asking, askLeast)
	s.conns[c] = struct{}{}
	if !room {
		s.counters.Rejected++
		s.endings++
		c.at = ending
	}
	if len(s.conns)-s.passings > s.MaxConnections+overflow {
		_ = s.closeAnswered() || s.drop(ending, 0) // perhaps this very one
	}
	return room
}

// freeDescriptor ends a connection that nobody misses: one that has its last answer and nothing more to say, or one that has rested
// for long enough. None that is in use gives way, nor one that is just coming.
func (s *Clients) freeDescriptor() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.closeAnswered() || s.drop(silent, askLeast) || s.drop(idle, idleLeast)
}

// closeAnswered closes a connection at its end whose last answer has arrived and on which nothing more has come, so that the close does not
// reset it; s.mu is held.
func (s *Clients) closeAnswered() bool {
	for c := range s.conns {
		if c.at != ending || unacknowledged(c.Conn) != 0 {
			continue
		}
		if n, err := peek(c.Conn); n == 0 && !unclear(err) {
			s.forget(c)
			_ = c.Close()
			return true
		}
	}
	return false
}

// drop ends the connection that has been at something the longest, and for so long at least; s.mu is held. One that is at its
// end already is closed. Any other is booked as one that is, and its goroutine ends it in order: what has come on it is
// answered, and what crosses the end does not reset it.
func (s *Clients) drop(at standing, least time.Duration) bool {
	var oldest *clientConn
	for c := range s.conns {
		if c.at == at && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	if oldest == nil || time.Since(oldest.since) < least {
		return false
	}
	switch at {
	case ending:
		s.forget(oldest)
		_ = oldest.Close()
		return true
	case silent:
		s.counters.Silent++
	case idle:
		s.counters.ClosedIdle++
	case asking:
		s.counters.Late++
	}
	s.tally(ending, 1)
	oldest.at, oldest.closing = ending, true
	_ = oldest.SetReadDeadline(time.Now())
	return true
}

// forget takes a connection out of the books; s.mu is held.
func (s *Clients) forget(c *clientConn) {
	if _, known := s.conns[c]; known {
		s.tally(c.at, -1)
	}
	delete(s.conns, c)
}

// tally books a connection among those that count apart; s.mu is held.
func (s *Clients) tally(at standing, n int) {
	switch at {
	case ending:
		s.endings += n
	case passing:
		s.passings += n
	}
}

// mark books what a connection is at and sets how long its next bytes may take; false says that it has to end.
func (s *Clients) mark(c *clientConn, at standing) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.conns[c]; !known || at == idle && (s.leaving || c.closing) {
		return false
	}
	now := time.Now()
	until := now.Add(requestFor)
	switch {
	case s.leaving || c.closing:
		until = now.Add(graceFor)
	case at == idle && s.crowded():
		until = now.Add(idleLeast)
	case at == idle:
		until = now.Add(idleFor)
	case c.at == silent: // its first request: trickled bytes buy no time
		until = c.accepted.Add(requestFor)
	}
	if at == passing { // from here on its exchange sets how long it may take
		until = time.Time{}
	}
	s.tally(c.at, -1)
	s.tally(at, 1)
	c.at, c.since = at, now
	return c.SetReadDeadline(until) == nil
}

// crowded says that many connections are open, most of them surely idle; s.mu is held. Clients have a bound of their own
// on what they hold, so those that stay keep others from asking long before room is short here.
func (s *Clients) crowded() bool { return len(s.conns)-s.passings > s.MaxConnections/crowdShare }

// closesNext says whether a connection ends with its next answer.
func (s *Clients) closesNext(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving || c.closing || s.crowded()
}
