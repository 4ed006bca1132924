package lab

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// SlowClients are clients that connect at once and send one request each, piece by piece. They may stop before its end and stay.
type SlowClients struct {
	Clients     int
	Fields      int           // short header fields beside those of a message
	EndlessHead bool          // further fields are sent until the end, in place of a body
	BodyBytes   int           // length of the message's body
	Chunked     bool          // the body is sent in chunks, one for each piece
	SentBytes   int           // bytes of the body that are sent before the client stops; 0 sends all
	PieceBytes  int           // bytes that are written at once
	Interval    time.Duration // between two pieces
	Patience    time.Duration // from a client's connect: how long it waits for an answer or a close
}

// SlowResult says what slow clients saw.
type SlowResult struct {
	Answered int64 // an answer came within the client's patience
	Closed   int64 // the connection was closed or reset without one
	Neither  int64 // neither came in time
}

// slowBurstNumber is the request number of slow clients, so that their ids differ from those of bursts.
const slowBurstNumber = 1 << 20

// Run plays the clients and returns once all have ended.
func (s SlowClients) Run(address string, destination int) (total SlowResult) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for number := range s.Clients {
		group.Go(func() {
			counter := s.play(address, destination, number, &total)
			mu.Lock()
			defer mu.Unlock()
			*counter++
		})
	}
	group.Wait()
	return total
}

// play plays one client and returns the counter of what it saw.
func (s SlowClients) play(address string, destination, number int, total *SlowResult) *int64 {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return &total.Closed
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(s.Patience))
	stopped, written := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(written)
		s.write(conn, destination, number, stopped)
	}()
	_, err = readStatus(bufio.NewReader(conn))
	close(stopped)
	_ = conn.SetWriteDeadline(time.Now())
	<-written
	switch timeout, isNet := err.(net.Error); {
	case err == nil || err == errClosedByServer:
		return &total.Answered
	case isNet && timeout.Timeout():
		return &total.Neither
	}
	return &total.Closed
}

// write writes the request piece by piece until it is whole, or stopped is closed.
func (s SlowClients) write(conn net.Conn, destination, number int, stopped <-chan struct{}) {
	pieces := time.NewTicker(s.Interval)
	defer pieces.Stop()
	text := s.head(destination, number)
	for left := s.content(); ; {
		if _, err := conn.Write([]byte(text)); err != nil {
			return
		}
		select {
		case <-stopped:
			return
		case <-pieces.C:
		}
		switch {
		case s.EndlessHead:
			text = strings.Repeat("a: b\r\n", max(1, s.PieceBytes/len("a: b\r\n")))
		case left == 0:
			return
		default:
			n := min(left, s.PieceBytes)
			left -= n
			text = s.piece(n, left == 0 && s.SentBytes == 0)
		}
	}
}

// content returns how many bytes of the body are sent.
func (s SlowClients) content() int {
	if s.SentBytes > 0 {
		return s.SentBytes
	}
	return s.BodyBytes
}

// piece returns n bytes of the body in its framing, with the end of a chunked one if they are the last.
func (s SlowClients) piece(n int, last bool) string {
	content := strings.Repeat("b", n)
	if !s.Chunked {
		return content
	}
	content = fmt.Sprintf("%x\r\n%s\r\n", n, content)
	if last {
		content += "0\r\n\r\n"
	}
	return content
}

// head returns the head of a client's request, without its end if it is endless.
func (s SlowClients) head(destination, number int) string {
	message := Handover{
		ID: fmt.Sprintf("slow-%d-%d", number, slowBurstNumber), Class: "safe", Destination: destination, Left: 6 * time.Second,
		Body: Content{Size: int64(s.BodyBytes)}, Chunked: s.Chunked,
	}
	head := strings.TrimSuffix(message.Head(), "\r\n") + strings.Repeat("a: b\r\n", s.Fields)
	if s.EndlessHead {
		return head
	}
	return head + "\r\n"
}
