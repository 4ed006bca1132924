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

// frameContent frames content as a peer would, split into random chunks with Chunked.
func frameContent(content []byte, f protocol.Framing, trailers string, rng *rand.Rand) []byte {
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

// decodeFramed decodes what a peer received with the standard library. It returns the content and whether the peer
// would take it for complete.
func decodeFramed(got []byte, f protocol.Framing, length int) ([]byte, bool) {
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

// For any sequence of partial reads and writes, a pipe must write the head and the content in its framing, stay within
// its window, and write the same again after Rewind.
func TestPipeUnderRandomSchedule(t *testing.T) {
	framings := []protocol.Framing{protocol.ByLength, protocol.Chunked, protocol.UntilClose}
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		content := make([]byte, rapid.SampledFrom([]int{0, 1, 100, MinWindowBytes - 1, MinWindowBytes, MinWindowBytes + 1, 3*MinWindowBytes + 17}).Draw(t, "size"))
		for i := range content {
			content[i] = byte(rng.Uint32())
		}
		in, out := rapid.SampledFrom(framings).Draw(t, "in"), rapid.SampledFrom(framings).Draw(t, "out")
		raw := frameContent(content, in, "X-T: 1\r\n", rng)
		buffered := rng.IntN(min(len(raw), 64<<10) + 1)
		following := []byte("GET ")
		if in == protocol.UntilClose {
			following = nil
		}
		source := append(bytes.Clone(raw), following...)
		p, err := NewPipe(make([]byte, MinWindowBytes), newBody(t, in, content), nil, source[:buffered])
		if err != nil {
			t.Fatal(err)
		}
		source = source[buffered:]
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
					t.Fatalf("space of %d bytes", len(space))
				}
				if len(source) == 0 {
					if !p.Finish() {
						t.Fatal("body incomplete at the end of the source")
					}
					continue
				}
				n := copy(space, source[:min(len(source), 1+rng.IntN(len(space)))])
				source = source[n:]
				if err := p.Fill(n); err != nil {
					t.Fatal(err)
				}
			} else if !p.Written() {
				t.Fatal("no step is possible before the body is written")
			}
			if !rewound && rng.IntN(20) == 0 && p.Rewind() {
				rewound, got = true, nil
				p.Start([]byte("HEAD"), out)
			}
		}
		if !bytes.HasPrefix(got, []byte("HEAD")) {
			t.Fatalf("output starts with %q", got[:min(len(got), 10)])
		}
		decoded, complete := decodeFramed(got[4:], out, len(content))
		if !complete || !bytes.Equal(decoded, content) || p.Received() != int64(len(content)) {
			t.Fatalf("%d bytes of %d, complete %v", len(decoded), len(content), complete)
		}
		if p.Rewindable() && len(content) > MinWindowBytes {
			t.Fatal("rewindable with more content than the window")
		}
		if in != protocol.UntilClose && len(following) > 0 && len(source) == 0 && !bytes.Equal(p.Surplus(), following) {
			t.Fatal("bytes after the body were not reported as surplus")
		}
		if out == protocol.Chunked && in == protocol.Chunked && !bytes.HasSuffix(got, []byte("0\r\nX-T: 1\r\n\r\n")) {
			t.Fatalf("trailers: %q", got[max(0, len(got)-30):])
		}
	})
}

// exchangeSim simulates both peers of an exchange with a random schedule.
type exchangeSim struct {
	test     *rapid.T
	rng      *rand.Rand
	exchange *Exchange
	now      time.Duration
	toSend   []byte // the client's remaining bytes
	sendsEnd bool   // then the client closes its connection
	answer   []byte // the endpoint's, sent once answerAt bytes of the call are received
	answerAt int
	ends     bool // the endpoint closes its connection after the answer
	stalls   bool // the endpoint stops reading at answerAt
	resets   bool // the endpoint closes its connection at answerAt
	endpoint []byte
	client   []byte
	held     [2][]byte // spliced bytes that the driver holds, by direction
	recorded bool
	steps    int
}

var errBrokenPipe = errors.New("broken pipe")

// step simulates one step of a direction.
func (w *exchangeSim) step(direction Direction) bool {
	step := w.exchange.Next(direction, w.now)
	n, err := 0, error(nil)
	splice := step.Op == SpliceIn || step.Op == SpliceOut
	switch step.Op { // the driver splices through a buffer of its own
	case SpliceIn:
		if len(w.held[direction]) > 0 || step.Limit > MinWindowBytes {
			w.test.Fatalf("%d bytes held, %d more to splice in", len(w.held[direction]), step.Limit)
		}
		step.Op, step.Space = Read, make([]byte, step.Limit)
	case SpliceOut:
		if step.Limit != len(w.held[direction]) {
			w.test.Fatalf("%d bytes held, %d to splice out", len(w.held[direction]), step.Limit)
		}
		step.Op, step.Out = Write, [][]byte{w.held[direction]}
	}
	op := step.Op
	switch {
	case step.Op == Stop:
		return false
	case step.Op == Begin:
	case step.Op == RecordDelivery:
		if len(w.client) > 0 {
			w.test.Fatal("bytes were sent to the client before the delivery was recorded")
		}
		w.recorded = true
	case step.Op == Read && direction == Up:
		if n = copy(step.Space, w.toSend); n == 0 && w.sendsEnd {
			err = io.EOF
		} else if n == 0 {
			w.now, err = max(w.now, step.Deadline), os.ErrDeadlineExceeded
		}
		if n > 1 {
			n = 1 + w.rng.IntN(n)
		}
		w.toSend = w.toSend[n:]
	case step.Op == Write && direction == Up:
		all := bytes.Join(step.Out, nil)
		switch n = 1 + w.rng.IntN(len(all)); {
		case w.stalls && len(w.endpoint) >= w.answerAt:
			n, err = 0, os.ErrDeadlineExceeded
			w.now = max(w.now, step.Deadline)
		case w.resets && len(w.endpoint) >= w.answerAt:
			n, err = 0, errBrokenPipe
		}
		w.endpoint = append(w.endpoint, all[:n]...)
	case step.Op == Read && direction == Down:
		switch ready := len(w.endpoint) >= w.answerAt; {
		case ready && w.resets:
			err = io.EOF
		case ready && len(w.answer) > 0:
			n = copy(step.Space, w.answer[:1+w.rng.IntN(len(w.answer))])
			w.answer = w.answer[n:]
		case ready && w.ends:
			err = io.EOF
		default:
			w.now, err = min(w.now+time.Millisecond, step.Deadline), os.ErrDeadlineExceeded
			if w.exchange.currentOp[Up] == Stop {
				w.now = max(w.now, step.Deadline)
			}
		}
	case step.Op == Wait:
		w.now = min(w.now+time.Millisecond, max(w.now, step.Deadline))
	case step.Op == Write && direction == Down:
		if !w.recorded {
			w.test.Fatal("the answer was sent to the client before the delivery was recorded")
		}
		all := bytes.Join(step.Out, nil)
		n = 1 + w.rng.IntN(len(all))
		w.client = append(w.client, all[:n]...)
	}
	if splice && op == Read {
		w.held[direction] = append([]byte(nil), step.Space[:n]...)
	} else if splice {
		w.held[direction] = w.held[direction][n:]
	}
	w.exchange.StepDone(direction, n, err, w.now)
	return true
}

// Under any schedule an exchange must end, a truncated call or answer must not be taken for a complete one, and the
// client must get no byte of the answer before the delivery is recorded.
func TestExchangeUnderRandomSchedule(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		content := make([]byte, rapid.SampledFrom([]int{1, 1000, MinWindowBytes, 2*MinWindowBytes + 9, 4 * MinWindowBytes}).Draw(t, "size"))
		for i := range content {
			content[i] = byte(rng.Uint32())
		}
		answerBody := bytes.Repeat([]byte("answer"), rapid.SampledFrom([]int{0, 1, 50000, 100000}).Draw(t, "answer"))
		framing := rapid.SampledFrom([]protocol.Framing{protocol.ByLength, protocol.Chunked}).Draw(t, "framing")
		sim := &exchangeSim{test: t, rng: rng, toSend: frameContent(content, framing, "", rng)}
		wireSize := len(sim.toSend)
		clientFault := rapid.IntRange(0, 3).Draw(t, "client")
		if clientFault > 0 { // the client sends a part, then closes, goes silent or sends garbage
			sim.toSend, sim.sendsEnd = sim.toSend[:rng.IntN(wireSize)], clientFault == 1
			if clientFault == 3 {
				sim.toSend = append(sim.toSend[:len(sim.toSend):len(sim.toSend)], "\x00\x00\n\n\n"...)
			}
		}
		answerComplete := true
		switch rapid.IntRange(0, 7).Draw(t, "endpoint") {
		case 0:
			sim.answer = []byte(head + "Transfer-Encoding: chunked\r\n\r\n" + string(frameContent(answerBody, protocol.Chunked, "", rng)))
		case 1:
			sim.answer = append([]byte(head+"Content-Length: "+strconv.Itoa(len(answerBody))+"\r\n\r\n"), answerBody...)
		case 2:
			sim.answer, sim.ends = append([]byte(head+"\r\n"), answerBody...), true
		case 3:
			sim.answer, sim.ends = append([]byte(head+"Content-Length: "+strconv.Itoa(len(answerBody)+1)+"\r\n\r\n"), answerBody...), rng.IntN(2) == 0
			answerComplete = false
		case 4:
			sim.answer = []byte("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
		case 5:
			sim.answer = []byte("\x00\x01\r\n\r\n")
		case 6:
			sim.stalls = true
		case 7:
			sim.resets = true
		}
		if rng.IntN(2) == 0 {
			sim.answerAt = rng.IntN(wireSize + 100)
		} else {
			sim.answerAt = len("HEAD") + 1
			if framing == protocol.ByLength {
				sim.answerAt = len("HEAD") + wireSize
			}
		}
		request, err := NewPipe(make([]byte, MinWindowBytes), newBody(t, framing, content), nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Start([]byte("HEAD"), framing)
		answers := protocol.NewAnswerParser(64 << 10)
		answers.Stream(protocol.StreamAnswered)
		sim.exchange = New(Config{
			Request: request, Answers: answers, Window: func() []byte { return make([]byte, MinWindowBytes) }, MaxAnswerBytes: 1 << 30,
			IdleTimeout: time.Second, Deadline: time.Minute, Splice: rng.IntN(2) == 0,
		})
		for sim.exchange.Outcome() == Running {
			if sim.steps++; sim.steps > 1_000_000 {
				t.Fatal("the exchange does not end")
			}
			direction := Up
			if sim.exchange.Begun() && rng.IntN(2) == 0 {
				direction = Down
			}
			if !sim.step(direction) && direction == Up && !sim.exchange.Begun() {
				t.Fatalf("stopped before it began: %v", sim.exchange.Outcome())
			}
		}
		outcome := sim.exchange.Outcome()
		if request.Written() != (len(sim.endpoint) > 4 && isCompleteCall(sim.endpoint[4:], framing, len(content))) {
			t.Fatalf("%v: written %v with %d bytes at the endpoint", outcome, request.Written(), len(sim.endpoint))
		}
		if sent := sim.endpoint[min(4, len(sim.endpoint)):]; framing == protocol.ByLength && clientFault != 3 && !bytes.HasPrefix(content, sent) {
			t.Fatalf("%v: the endpoint received other bytes than the client sent", outcome)
		}
		if (outcome == ClientGone || outcome == ClientStalled || outcome == ClientMalformed) && request.Written() {
			t.Fatalf("%v, but the endpoint has the complete call", outcome)
		}
		if sim.recorded && outcome != Delivered || sim.exchange.AnswerStarted() && !sim.recorded {
			t.Fatalf("%v, delivery recorded %v", outcome, sim.recorded)
		}
		if outcome == Delivered && sim.exchange.AnswerComplete() {
			if _, body, ok := strings.Cut(string(sim.client), "\r\n\r\n"); !ok || !answerComplete {
				t.Fatalf("truncated answer taken for complete: %.80q", sim.client)
			} else if strings.Contains(string(sim.client), "chunked") {
				if got, ok := decodeFramed([]byte(body), protocol.Chunked, 0); !ok || !bytes.Equal(got, answerBody) {
					t.Fatalf("answer of %d bytes, %d wanted", len(got), len(answerBody))
				}
			} else if body != string(answerBody) {
				t.Fatalf("answer of %d bytes, %d wanted", len(body), len(answerBody))
			}
		}
		if endpoint, client := sim.exchange.Reusable(); (endpoint || client) && !request.Written() {
			t.Fatalf("%v: connections are reusable after an incomplete call", outcome)
		}
		for sim.step(Up) || sim.step(Down) {
			t.Fatal("a step after the end of the exchange")
		}
		if sim.exchange.Retryable() { // a retry must send all content received so far
			request.Rewind()
			request.Start(nil, protocol.UntilClose)
			if again := bytes.Join(request.Out(), nil); int64(len(again)) != request.Received() || clientFault != 3 && !bytes.HasPrefix(content, again) {
				t.Fatalf("%v: %d bytes buffered of %d", outcome, len(again), request.Received())
			}
		}
	})
}

func isCompleteCall(call []byte, framing protocol.Framing, length int) bool {
	_, complete := decodeFramed(call, framing, length)
	return complete && (framing == protocol.ByLength || bytes.HasSuffix(call, []byte("0\r\n\r\n")))
}

// Bytes of the request that are read while the exchange ends must not be lost for a retry.
func TestBytesReadDuringEndAreKept(t *testing.T) {
	body, err := protocol.NewBody(protocol.ByLength, 10, 100)
	if err != nil {
		t.Fatal(err)
	}
	request, err := NewPipe(make([]byte, MinWindowBytes), body, nil, []byte("abc"))
	if err != nil {
		t.Fatal(err)
	}
	request.Start(nil, protocol.ByLength)
	answers := protocol.NewAnswerParser(64 << 10)
	exchange := New(Config{Request: request, Answers: answers, IdleTimeout: time.Second, Deadline: time.Minute})
	exchange.Next(Up, 0)
	exchange.StepDone(Up, 0, nil, 0) // begun
	step := exchange.Next(Up, 0)
	exchange.StepDone(Up, len(step.Out[0]), nil, 0)
	reading := exchange.Next(Up, 0)
	copy(exchange.Next(Down, 0).Space, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
	if !exchange.StepDone(Down, len("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"), nil, 0) || exchange.Outcome() != Answered {
		t.Fatalf("%v", exchange.Outcome())
	}
	exchange.StepDone(Up, copy(reading.Space, "defg"), os.ErrDeadlineExceeded, 0)
	if !exchange.Retryable() || !request.Rewind() {
		t.Fatal("the message can't be retried")
	}
	if got := bytes.Join(request.Out(), nil); string(got) != "abcdefg" {
		t.Errorf("%q", got)
	}
}

// BenchmarkPipe moves bodies through a window without sockets. It measures the framing alone, which must not allocate
// in the steady state.
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

// Bytes may be spliced only if the body is forwarded with its Content-Length and the window was filled and written. A
// pipe with spliced bytes must not be rewindable.
func TestSpliceLimit(t *testing.T) {
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
		t.Error("splice allowed before the window was written")
	}
	p.Out()
	p.Wrote(MinWindowBytes - 1)
	if p.SpliceLimit() != 0 || !p.Rewindable() {
		t.Error("splice allowed or not rewindable while the window has space")
	}
	if err := p.Fill(copy(p.Space(), "x")); err != nil {
		t.Fatal(err)
	}
	p.Out()
	p.Wrote(1)
	if n := p.SpliceLimit(); n != MinWindowBytes {
		t.Fatalf("splice limit of %d bytes", n)
	}
	p.SplicedIn(100)
	if p.Rewindable() || p.Rewind() || p.Received() != MinWindowBytes+100 || len(p.Out()) != 0 {
		t.Errorf("rewindable %v, %d received", p.Rewindable(), p.Received())
	}
	p.SplicedOut(100)
	for p.SpliceLimit() > 0 {
		n := p.SpliceLimit()
		p.SplicedIn(n)
		p.SplicedOut(n)
	}
	for space := p.Space(); space != nil; space = p.Space() { // the remainder is too short to splice
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
		t.Errorf("written %v, %d received", p.Written(), p.Received())
	}
}
