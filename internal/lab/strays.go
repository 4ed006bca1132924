package lab

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// StrayKind is what a peer writes on a connection without a request.
type StrayKind int

// The kinds of strays.
const (
	StrayCopy           StrayKind = iota // the latest answer once more
	StrayHalf                            // the first half of the latest answer
	StrayDelivered                       // an answer with 200 that belongs to no request
	StrayRefusal                         // an answer with 503 that belongs to no request
	StrayTimeout                         // an answer with 408, as servers write it before they close an idle connection
	StrayOver                            // an answer with 410 that belongs to no request
	StrayNoAttemptsLeft                  // an answer with 504 that belongs to no request
	StrayWait                            // an answer with 429 that belongs to no request
	StrayError                           // an answer with 500 that belongs to no request
)

// strayTexts are the kinds whose text does not depend on the latest answer.
var strayTexts = map[StrayKind]string{
	StrayDelivered:      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	StrayRefusal:        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	StrayTimeout:        "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n",
	StrayOver:           "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
	StrayNoAttemptsLeft: "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n",
	StrayWait:           "HTTP/1.1 429 Too Many Requests\r\nX-RateLimit-Wait-Ms: 20\r\nContent-Length: 0\r\n\r\n",
	StrayError:          "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
}

// Strays makes a peer write bytes that belong to no request, some time after some of its answers. Its methods are safe
// for concurrent use.
type Strays struct {
	Share          float64       // share of the answers that are followed by a stray
	MinLag, MaxLag time.Duration // bounds of the time between the answer and the stray
	Kinds          []StrayKind   // one is drawn for each stray; none means copies

	mu      sync.Mutex
	rng     *rand.Rand
	written int
	longest time.Duration // longest time between an answer and its stray
	missed  int
}

// lagTolerance is how much later than MaxLag a stray is still written. On a busy machine timers fire later than that, and
// the fault would be another than the one that was asked for.
const lagTolerance = 5 * time.Millisecond

// NewStrays returns strays drawn from a seed.
func NewStrays(seed uint64, share float64, minLag, maxLag time.Duration, kinds ...StrayKind) *Strays {
	return &Strays{Share: share, MinLag: minLag, MaxLag: maxLag, Kinds: kinds, rng: rand.New(rand.NewPCG(seed, 50))}
}

// Written returns how many strays were written.
func (s *Strays) Written() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written
}

// Missed returns how many strays were not written because the machine was too busy to write them in time.
func (s *Strays) Missed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.missed
}

// LongestLag returns the longest time that has passed between an answer and its stray.
func (s *Strays) LongestLag() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longest
}

// Draw decides whether an answer is followed by a stray, and if so by which and how much later.
func (s *Strays) Draw() (kind StrayKind, lag time.Duration, drawn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rng.Float64() >= s.Share {
		return 0, 0, false
	}
	if len(s.Kinds) > 0 {
		kind = s.Kinds[s.rng.IntN(len(s.Kinds))]
	}
	return kind, s.MinLag + time.Duration(s.rng.Float64()*float64(s.MaxLag-s.MinLag)), true
}

// text returns the bytes of a stray after an answer.
func (k StrayKind) text(answer []byte) []byte {
	switch k {
	case StrayCopy:
		return answer
	case StrayHalf:
		return answer[:len(answer)/2]
	}
	return []byte(strayTexts[k])
}

// Wrap returns the connection with strays behind the answers that are written to it. A nil Strays changes nothing.
func (s *Strays) Wrap(conn net.Conn) net.Conn {
	if s == nil {
		return conn
	}
	return &strayConn{Conn: conn, strays: s}
}

// strayConn writes strays behind answers. An answer is a write that begins with a status line.
type strayConn struct {
	net.Conn
	strays *Strays
	mu     sync.Mutex // held for each write, so that no stray splits an answer
}

// Write implements net.Conn.
func (c *strayConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes.HasPrefix(b, []byte("HTTP/1.1 ")) {
		if kind, lag, drawn := c.strays.Draw(); drawn {
			c.writeLater(kind.text(bytes.Clone(b)), lag)
		}
	}
	return c.Conn.Write(b)
}

// writeLater writes a stray after a time, unless the connection is closed by then.
func (c *strayConn) writeLater(stray []byte, lag time.Duration) {
	answeredAt := time.Now()
	time.AfterFunc(lag, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.strays.mu.Lock()
		defer c.strays.mu.Unlock()
		if time.Since(answeredAt) > c.strays.MaxLag+lagTolerance {
			c.strays.missed++
			return
		}
		if _, err := c.Conn.Write(stray); err != nil {
			return
		}
		c.strays.written++
		c.strays.longest = max(c.strays.longest, time.Since(answeredAt))
	})
}

// strayListener wraps the connections that it accepts.
type strayListener struct {
	net.Listener
	strays *Strays
}

// Accept implements net.Listener.
func (l strayListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.strays.Wrap(conn), nil
}

// NetConn returns the connection below, as tls.Conn does.
func (c *strayConn) NetConn() net.Conn { return c.Conn }
