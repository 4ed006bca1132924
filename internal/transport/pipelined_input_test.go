package transport

import "testing"

// Requests that were read behind long bodies are parsed in the order in which they came, and count until they were read.
func TestPipelinedInputKeepsOrderAndRoom(t *testing.T) {
	streams := &Streams{MaxPipelinedBytes: 10}
	first := streams.reservePipelined(6)
	first.unread = []byte("abcdef")
	if streams.reservePipelined(5) != nil {
		t.Error("room for 11 bytes of 10")
	}
	if n := first.read(make([]byte, 2)); n != 2 {
		t.Errorf("read %d bytes", n)
	}
	second := streams.reservePipelined(3) // what was read of the first with the next long body, and does not belong to it
	second.unread = []byte("xyz")
	merged := first.after(second)
	space := make([]byte, 16)
	if got := string(space[:merged.read(space)]); got != "xyzcdef" || !merged.empty() {
		t.Errorf("read %q, empty %v", got, merged.empty())
	}
	if held := streams.pipelined.Load(); held != 0 {
		t.Errorf("%d bytes are still reserved", held)
	}
	var none *pipelinedInput
	if none.release(); !none.empty() || none.after(nil) != nil {
		t.Error("no input is not empty")
	}
}
