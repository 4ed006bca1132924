package links

import (
	"bytes"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// Whatever the sizes of messages and reads, the limit follows the stream, and only a message over the limit ends it.
func TestMessageLimitFollowsStream(t *testing.T) {
	const largest = 70_000
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	for size := 1; size <= largest; size = size*3 + 1 {
		if err := encoder.Encode(bytes.Repeat([]byte("x"), size)); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		limit int
		want  error
	}{{1 << 20, nil}, {20_000, ErrMessageSize}} {
		for _, piece := range []int{1, 7, 4096, 1 << 20} {
			m := messageLimit{limit: c.limit}
			var err error
			for rest := stream.Bytes(); len(rest) > 0 && err == nil; rest = rest[min(piece, len(rest)):] {
				err = m.pass(rest[:min(piece, len(rest))])
			}
			if !errors.Is(err, c.want) {
				t.Errorf("limit %d in pieces of %d: %v", c.limit, piece, err)
			}
		}
	}
}

// Guards against memory that grows with what a peer announces: a server took messages of up to a gibibyte.
func TestServerRefusesHugeMessages(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- Serve(listener, map[string]any{"Slow": SlowService{}}) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte{0xfc, 0x3f, 0, 0, 0}); err != nil { // a length of 1,008 MiB
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("after the length: %v", err)
	}
	_ = listener.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
