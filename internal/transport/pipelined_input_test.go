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

// Guards against a window that one call still fills while another message has it: the windows of a message that ends while its
// call is out are released with the call.
func TestWindowsAreReleasedWithTheirCall(t *testing.T) {
	streams := &Streams{WindowBytes: 1 << 10}
	upload := &Upload{streams: streams}
	upload.beginCall()
	upload.windows = append(upload.windows, streams.getWindow())
	upload.release()
	if held := streams.inUse.Load(); held != 1 {
		t.Errorf("%d windows in use while a call is out, want 1", held)
	}
	upload.endCall()
	upload.release()
	if held := streams.inUse.Load(); held != 0 {
		t.Errorf("%d windows in use after the call", held)
	}
}
