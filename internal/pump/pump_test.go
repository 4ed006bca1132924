package pump

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulleinbeam/internal/protocol"
)

// wire frames content as a peer would; cut leaves that many bytes of it out at the end.
func wire(content []byte, f protocol.Framing, trailers string, rng *rand.Rand) []byte {
	if f != protocol.Chunked {
		return content
	}
	var b []byte
	for len(content) > 0 {
		n := 1 + rng.IntN(min(len(content), 9000))
		b = append(protocol.AppendChunkHead(b, n), content[:n]...)
		b = append(b, "\r\n"...)
		content = content[n:]
	}
	return protocol.AppendLastChunk(b, []byte(trailers))
}

func newBody(t *rapid.T, f protocol.Framing, content []byte) *protocol.Body {
	body, err := protocol.NewBody(f, int64(len(content)), 1<<40)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// read decodes what a peer got with the standard library: content, and whether it passes for whole.
func read(got []byte, f protocol.Framing, length int) ([]byte, bool) {
	switch f {
	case protocol.Chunked:
		r := bytes.NewReader(got)
		content, err := io.ReadAll(httputil.NewChunkedReader(r))
		rest, _ := io.ReadAll(r)
		return content, err == nil && bytes.HasSuffix(got, []byte("\r\n")) && (len(rest) == 0 || bytes.HasSuffix(rest, []byte("\r\n")))
	case protocol.ByLength:
		return got, len(got) == length
	}
	return got, true
}

// Whatever way the bytes come and go, what a pipe writes is the head and the content in its framing, its window is never
// left, and a rewind writes the same again.
func TestPipeMovesAnySchedule(t *testing.T) {
	framings := []protocol.Framing{protocol.ByLength, protocol.Chunked, protocol.UntilClose}
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		content := make([]byte, rapid.SampledFrom([]int{0, 1, 100, MinWindowBytes - 1, MinWindowBytes, MinWindowBytes + 1, 3*MinWindowBytes + 17}).Draw(t, "size"))
		for i := range content {
			content[i] = byte(rng.Uint32())
		}
		in, out := rapid.SampledFrom(framings).Draw(t, "in"), rapid.SampledFrom(framings).Draw(t, "out")
		raw := wire(content, in, "X-T: 1\r\n", rng)
		early := rng.IntN(min(len(raw), 64<<10) + 1)
		behind := []byte("GET ")
		if in == protocol.UntilClose {
			behind = nil
		}
		source := append(bytes.Clone(raw), behind...)
		p, err := NewPipe(make([]byte, MinWindowBytes), newBody(t, in, content), nil, source[:early])
		if err != nil {
			t.Fatal(err)
		}
		source = source[early:]
		p.Start([]byte("HEAD"), out)
		var got []byte
		rewound := false
		for !p.Written() {
			if pieces := p.Out(); len(pieces) > 0 {
				total := 0
				for _, piece := range pieces {
					total += len(piece)
				}
				n := rng.IntN(total + 1)
				if rng.IntN(2) == 0 {
					n = total
				}
				got = append(got, bytes.Join(pieces, nil)[:n]...)
				p.Wrote(n)
			} else if space := p.Space(); space != nil {
				if len(space) > MinWindowBytes {
					t.Fatalf("room for %d bytes", len(space))
				}
				if len(source) == 0 {
					if !p.Finish() {
						t.Fatal("not whole at the source's end")
					}
					continue
				}
				n := copy(space, source[:min(len(source), 1+rng.IntN(len(space)))])
				source = source[n:]
				if err := p.Fill(n); err != nil {
					t.Fatal(err)
				}
			} else if !p.Written() {
				t.Fatal("nothing to do and not done")
			}
			if !rewound && rng.IntN(20) == 0 && p.Rewind() {
				rewound, got = true, nil
				p.Start([]byte("HEAD"), out)
			}
		}
		if !bytes.HasPrefix(got, []byte("HEAD")) {
			t.Fatalf("begins with %q", got[:min(len(got), 10)])
		}
		back, whole := read(got[4:], out, len(content))
		if !whole || !bytes.Equal(back, content) || p.Received() != int64(len(content)) {
			t.Fatalf("%d bytes of %d, whole %v", len(back), len(content), whole)
		}
		if p.Rewindable() && len(content) > MinWindowBytes {
			t.Fatal("kept more than the window")
		}
		if in != protocol.UntilClose && len(behind) > 0 && len(source) == 0 && !p.Surplus() {
			t.Fatal("what came behind the body was not noticed")
		}
		if out == protocol.Chunked && in == protocol.Chunked && !bytes.HasSuffix(got, []byte("0\r\nX-T: 1\r\n\r\n")) {
			t.Fatalf("trailers: %q", got[max(0, len(got)-30):])
		}
	})
}

// world plays both peers of an exchange by a random schedule.
type world struct {
	t        *rapid.T
	rng      *rand.Rand
	x        *Exchange
	now      time.Duration
	toSend   []byte // the client's
	sendsEnd bool   // then it closes
	answer   []byte // the endpoint's, from answerAt bytes of the call on
	answerAt int
	ends     bool // the endpoint closes behind its answer
	stalls   bool // it stops reading at answerAt
	resets   bool // it ends its connection there
	endpoint []byte
	client   []byte
	held     [2][]byte // what the driver holds unseen, by side
	settled  bool
	steps    int
}

var errBroken = errors.New("broken pipe")

// step plays one step of a side.
func (w *world) step(s Direction) bool {
	st := w.x.Next(s, w.now)
	n, err := 0, error(nil)
	unseen := st.Op == SpliceIn || st.Op == SpliceOut
	switch st.Op { // the driver moves bytes through room of its own
	case SpliceIn:
		if len(w.held[s]) > 0 || st.Limit > MinWindowBytes {
			w.t.Fatalf("%d bytes held, %d more to take", len(w.held[s]), st.Limit)
		}
		st.Op, st.Space = Read, make([]byte, st.Limit)
	case SpliceOut:
		if st.Limit != len(w.held[s]) {
			w.t.Fatalf("%d bytes held, %d to give", len(w.held[s]), st.Limit)
		}
		st.Op, st.Out = Write, [][]byte{w.held[s]}
	}
	from := st.Op
	switch {
	case st.Op == Stop:
		return false
	case st.Op == Begin:
	case st.Op == RecordDelivery:
		if len(w.client) > 0 {
			w.t.Fatal("the client heard before the delivery was booked")
		}
		w.settled = true
	case st.Op == Read && s == Up:
		if n = copy(st.Space, w.toSend); n == 0 && w.sendsEnd {
			err = io.EOF
		} else if n == 0 {
			w.now, err = max(w.now, st.Deadline), os.ErrDeadlineExceeded
		}
		if n > 1 {
			n = 1 + w.rng.IntN(n)
		}
		w.toSend = w.toSend[n:]
	case st.Op == Write && s == Up:
		all := bytes.Join(st.Out, nil)
		switch n = 1 + w.rng.IntN(len(all)); {
		case w.stalls && len(w.endpoint) >= w.answerAt:
			n, err = 0, os.ErrDeadlineExceeded
			w.now = max(w.now, st.Deadline)
		case w.resets && len(w.endpoint) >= w.answerAt:
			n, err = 0, errBroken
		}
		w.endpoint = append(w.endpoint, all[:n]...)
	case st.Op == Read && s == Down:
		switch ready := len(w.endpoint) >= w.answerAt; {
		case ready && w.resets:
			err = io.EOF
		case ready && len(w.answer) > 0:
			n = copy(st.Space, w.answer[:1+w.rng.IntN(len(w.answer))])
			w.answer = w.answer[n:]
		case ready && w.ends:
			err = io.EOF
		default:
			w.now, err = min(w.now+time.Millisecond, st.Deadline), os.ErrDeadlineExceeded
			if w.x.step[Up] == Stop {
				w.now = max(w.now, st.Deadline)
			}
		}
	case st.Op == Write && s == Down:
		if !w.settled {
			w.t.Fatal("an answer went to the client before its delivery was booked")
		}
		all := bytes.Join(st.Out, nil)
		n = 1 + w.rng.IntN(len(all))
		w.client = append(w.client, all[:n]...)
	}
	if unseen && from == Read {
		w.held[s] = append([]byte(nil), st.Space[:n]...)
	} else if unseen {
		w.held[s] = w.held[s][n:]
	}
	w.x.StepDone(s, n, err, w.now)
	return true
}

// Under any schedule an exchange ends; a call that was cut does not pass for whole, nor does an answer; and the client
// hears nothing before the delivery is booked.
func TestExchangeUnderAnySchedule(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		content := make([]byte, rapid.SampledFrom([]int{1, 1000, MinWindowBytes, 2*MinWindowBytes + 9, 4 * MinWindowBytes}).Draw(t, "size"))
		for i := range content {
			content[i] = byte(rng.Uint32())
		}
		back := bytes.Repeat([]byte("answer"), rapid.SampledFrom([]int{0, 1, 50000, 100000}).Draw(t, "answer"))
		f := rapid.SampledFrom([]protocol.Framing{protocol.ByLength, protocol.Chunked}).Draw(t, "framing")
		w := &world{t: t, rng: rng, toSend: wire(content, f, "", rng)}
		whole := len(w.toSend)
		cut := rapid.IntRange(0, 3).Draw(t, "client")
		if cut > 0 { // it sends a part, then closes or goes silent
			w.toSend, w.sendsEnd = w.toSend[:rng.IntN(whole)], cut == 1
			if cut == 3 {
				w.toSend = append(w.toSend[:len(w.toSend):len(w.toSend)], "\x00\x00\n\n\n"...)
			}
		}
		answerWhole := true
		switch rapid.IntRange(0, 7).Draw(t, "endpoint") {
		case 0:
			w.answer = []byte(head + "Transfer-Encoding: chunked\r\n\r\n" + string(wire(back, protocol.Chunked, "", rng)))
		case 1:
			w.answer = append([]byte(head+"Content-Length: "+strconv.Itoa(len(back))+"\r\n\r\n"), back...)
		case 2:
			w.answer, w.ends = append([]byte(head+"\r\n"), back...), true
		case 3:
			w.answer, w.ends = append([]byte(head+"Content-Length: "+strconv.Itoa(len(back)+1)+"\r\n\r\n"), back...), rng.IntN(2) == 0
			answerWhole = false
		case 4:
			w.answer = []byte("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
		case 5:
			w.answer = []byte("\x00\x01\r\n\r\n")
		case 6:
			w.stalls = true
		case 7:
			w.resets = true
		}
		if rng.IntN(2) == 0 {
			w.answerAt = rng.IntN(whole + 100)
		} else {
			w.answerAt = len("HEAD") + 1
			if f == protocol.ByLength {
				w.answerAt = len("HEAD") + whole
			}
		}
		up, err := NewPipe(make([]byte, MinWindowBytes), newBody(t, f, content), nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		up.Start([]byte("HEAD"), f)
		answers := protocol.NewAnswerParser(64 << 10)
		answers.Stream(protocol.StreamAnswered)
		w.x = New(Config{
			Request: up, Answers: answers, Window: func() []byte { return make([]byte, MinWindowBytes) }, MaxAnswerBytes: 1 << 30,
			IdleTimeout: time.Second, Deadline: time.Minute, Splice: rng.IntN(2) == 0,
		})
		for w.x.Outcome() == Running {
			if w.steps++; w.steps > 1_000_000 {
				t.Fatal("it does not end")
			}
			s := Up
			if w.x.Begun() && rng.IntN(2) == 0 {
				s = Down
			}
			if !w.step(s) && s == Up && !w.x.Begun() {
				t.Fatalf("stopped before it began: %v", w.x.Outcome())
			}
		}
		end := w.x.Outcome()
		if up.Written() != (len(w.endpoint) > 4 && wholeCall(w.endpoint[4:], f, len(content))) {
			t.Fatalf("%v: done %v with %d bytes at the endpoint", end, up.Written(), len(w.endpoint))
		}
		if sent := w.endpoint[min(4, len(w.endpoint)):]; f == protocol.ByLength && cut != 3 && !bytes.HasPrefix(content, sent) {
			t.Fatalf("%v: the endpoint has other bytes", end)
		}
		if (end == ClientGone || end == ClientStalled || end == ClientMalformed) && up.Written() {
			t.Fatalf("%v, and the endpoint has a whole call", end)
		}
		if w.settled && end != Delivered || w.x.AnswerStarted() && !w.settled {
			t.Fatalf("%v, settled %v", end, w.settled)
		}
		if end == Delivered && w.x.AnswerComplete() {
			if _, body, ok := strings.Cut(string(w.client), "\r\n\r\n"); !ok || !answerWhole {
				t.Fatalf("whole without a head, or from a part: %.80q", w.client)
			} else if strings.Contains(string(w.client), "chunked") {
				if got, ok := read([]byte(body), protocol.Chunked, 0); !ok || !bytes.Equal(got, back) {
					t.Fatalf("answer of %d bytes, %d wanted", len(got), len(back))
				}
			} else if body != string(back) {
				t.Fatalf("answer of %d bytes, %d wanted", len(body), len(back))
			}
		}
		if endpoint, client := w.x.Reusable(); (endpoint || client) && !up.Written() {
			t.Fatalf("%v: connections are kept behind half a call", end)
		}
		for w.step(Up) || w.step(Down) {
			t.Fatal("a step behind the end")
		}
		if w.x.Retryable() { // what another attempt would send is all that has come
			up.Rewind()
			up.Start(nil, protocol.UntilClose)
			if again := bytes.Join(up.Out(), nil); int64(len(again)) != up.Received() || cut != 3 && !bytes.HasPrefix(content, again) {
				t.Fatalf("%v: %d bytes kept of %d", end, len(again), up.Received())
			}
		}
	})
}

func wholeCall(b []byte, f protocol.Framing, length int) bool {
	_, whole := read(b, f, length)
	return whole && (f == protocol.ByLength || bytes.HasSuffix(b, []byte("0\r\n\r\n")))
}

// A read that ends together with the exchange is not lost to the next attempt.
func TestBytesThatCrossTheEndAreKept(t *testing.T) {
	body, err := protocol.NewBody(protocol.ByLength, 10, 100)
	if err != nil {
		t.Fatal(err)
	}
	up, err := NewPipe(make([]byte, MinWindowBytes), body, nil, []byte("abc"))
	if err != nil {
		t.Fatal(err)
	}
	up.Start(nil, protocol.ByLength)
	answers := protocol.NewAnswerParser(64 << 10)
	x := New(Config{Request: up, Answers: answers, IdleTimeout: time.Second, Deadline: time.Minute})
	x.Next(Up, 0)
	x.StepDone(Up, 0, nil, 0) // begun
	st := x.Next(Up, 0)
	x.StepDone(Up, len(st.Out[0]), nil, 0)
	reading := x.Next(Up, 0)
	copy(x.Next(Down, 0).Space, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
	if !x.StepDone(Down, len("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"), nil, 0) || x.Outcome() != Answered {
		t.Fatalf("%v", x.Outcome())
	}
	x.StepDone(Up, copy(reading.Space, "defg"), os.ErrDeadlineExceeded, 0)
	if !x.Retryable() || !up.Rewind() {
		t.Fatal("it can't be sent again")
	}
	if got := bytes.Join(up.Out(), nil); string(got) != "abcdefg" {
		t.Errorf("%q", got)
	}
}

// BenchmarkPipe moves bodies through a window without sockets: framing alone, with no allocation in the steady state.
func BenchmarkPipe(b *testing.B) {
	for name, out := range map[string]protocol.Framing{"length": protocol.ByLength, "chunked": protocol.Chunked} {
		b.Run(name, func(b *testing.B) {
			body, _ := protocol.NewBody(protocol.ByLength, 1<<60, 1<<60)
			p, _ := NewPipe(make([]byte, 256<<10), body, nil, nil)
			p.Start(nil, out)
			b.SetBytes(256 << 10)
			b.ReportAllocs()
			for b.Loop() {
				_ = p.Fill(len(p.Space()))
				n := 0
				for _, piece := range p.Out() {
					n += len(piece)
				}
				p.Wrote(n)
			}
		})
	}
}

// Bytes may go on unseen only when their length is told and goes on as it is, and the window was used up and written;
// what went so can't be sent again.
func TestBytesGoOnUnseen(t *testing.T) {
	const size = 4 * MinWindowBytes
	body, err := protocol.NewBody(protocol.ByLength, size, size)
	if err != nil {
		t.Fatal(err)
	}
	p, err := NewPipe(make([]byte, MinWindowBytes), body, nil, make([]byte, MinWindowBytes-1))
	if err != nil {
		t.Fatal(err)
	}
	p.Start(nil, protocol.ByLength)
	if p.SpliceLimit() != 0 {
		t.Error("before the window was written")
	}
	p.Out()
	p.Wrote(MinWindowBytes - 1)
	if p.SpliceLimit() != 0 || !p.Rewindable() {
		t.Error("while the window has room, so that all of it may be sent again")
	}
	if err := p.Fill(copy(p.Space(), "x")); err != nil {
		t.Fatal(err)
	}
	p.Out()
	p.Wrote(1)
	if n := p.SpliceLimit(); n != MinWindowBytes {
		t.Fatalf("%d bytes at once", n)
	}
	p.SplicedIn(100)
	if p.Rewindable() || p.Rewind() || p.Received() != MinWindowBytes+100 || len(p.Out()) != 0 {
		t.Errorf("kept %v, %d came", p.Rewindable(), p.Received())
	}
	p.SplicedOut(100)
	for p.SpliceLimit() > 0 {
		n := p.SpliceLimit()
		p.SplicedIn(n)
		p.SplicedOut(n)
	}
	for space := p.Space(); space != nil; space = p.Space() { // the rest is too little for that
		if err := p.Fill(min(len(space), int(body.Remaining()))); err != nil {
			t.Fatal(err)
		}
		n := 0
		for _, piece := range p.Out() {
			n += len(piece)
		}
		p.Wrote(n)
	}
	if p.Out(); !p.Written() || p.Received() != size {
		t.Errorf("done %v, %d came", p.Written(), p.Received())
	}
}
