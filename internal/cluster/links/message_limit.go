package links

import (
	"errors"
	"net"
)

// maxMessageBytes bounds a message: twice the most that a voter's disk holds. gob itself takes up to a gibibyte.
const maxMessageBytes = 64 << 20

// ErrMessageSize is the error of reading from a peer that sends a message over the limit.
var ErrMessageSize = errors.New("links: message too large")

// limitedConn is a connection whose messages from the peer are limited in size.
type limitedConn struct {
	net.Conn
	messages messageLimit
}

func limitMessages(conn net.Conn) net.Conn {
	return &limitedConn{Conn: conn, messages: messageLimit{limit: maxMessageBytes}}
}

// Read implements net.Conn.
func (c *limitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if limitErr := c.messages.pass(b[:n]); limitErr != nil {
		return 0, limitErr
	}
	return n, err
}

// messageLimit follows the messages of a gob stream. A message begins with its length: one byte below 128, or the negated
// number of bytes that follow, with the length in them, most significant first (encoding/gob, "Encoding Details").
type messageLimit struct {
	limit       int
	left        int // bytes left of the current message
	lengthBytes int // bytes left of the current message's length
	length      int // as far as its bytes were read
}

// pass follows the next bytes of the stream. It returns ErrMessageSize once a message over the limit begins.
func (m *messageLimit) pass(b []byte) error {
	for len(b) > 0 {
		if m.left > 0 {
			n := min(m.left, len(b))
			m.left -= n
			b = b[n:]
			continue
		}
		first := b[0]
		b = b[1:]
		switch {
		case m.lengthBytes > 0:
			m.length = m.length<<8 | int(first)
			m.lengthBytes--
		case first < 128:
			m.length = int(first)
		default:
			m.length, m.lengthBytes = 0, -int(int8(first))
		}
		if m.lengthBytes > 8 || m.length > m.limit {
			return ErrMessageSize
		}
		if m.lengthBytes == 0 {
			m.left = m.length
		}
	}
	return nil
}
