package pump

import (
	"os"
	"testing"
	"time"

	"mulleinbeam/internal/protocol"
)

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// answeredDuringWrite returns an exchange whose endpoint has answered 200 while the write of the request's end is not reported.
func answeredDuringWrite(t *testing.T, deadline time.Duration) (x *Exchange, unreported int) {
	t.Helper()
	body, err := protocol.NewBody(protocol.ByLength, 4, 100)
	if err != nil {
		t.Fatal(err)
	}
	request, err := NewPipe(make([]byte, MinWindowBytes), body, nil, []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Start([]byte("HEAD"), protocol.ByLength)
	answers := protocol.NewAnswerParser(64 << 10)
	answers.Stream(protocol.StreamAnswered)
	x = New(Config{
		Request: request, Answers: answers, Window: func() []byte { return make([]byte, MinWindowBytes) }, MaxAnswerBytes: 1 << 20,
		IdleTimeout: time.Hour, Deadline: deadline,
	})
	x.Next(Up, 0)
	x.StepDone(Up, 0, nil, 0) // Begin
	for _, piece := range x.Next(Up, 0).Out {
		unreported += len(piece)
	}
	step := x.Next(Down, 0)
	x.StepDone(Down, copy(step.Space, wholeAnswer), nil, time.Millisecond)
	if step = x.Next(Down, time.Millisecond); step.Op != Wait {
		t.Fatalf("operation %d behind an answer during the write, want Wait", step.Op)
	}
	return x, unreported
}

// finishDown runs the direction to the client to its end, and fails if the answer is written before the delivery is recorded.
func finishDown(t *testing.T, x *Exchange, now time.Duration) {
	t.Helper()
	recorded := false
	for step := x.Next(Down, now); step.Op != Stop; step = x.Next(Down, now) {
		n := 0
		switch step.Op {
		case RecordDelivery:
			recorded = true
		case Write:
			if !recorded {
				t.Fatal("the answer is written before the delivery is recorded")
			}
			for _, piece := range step.Out {
				n += len(piece)
			}
		}
		x.StepDone(Down, n, nil, now)
	}
}

// Guards against a connection that closes behind an answer to a whole request: the answer was read before the write of the
// request's end was reported, and counted as early.
func TestAnswerDuringLastWriteIsNotEarly(t *testing.T) {
	x, unreported := answeredDuringWrite(t, time.Hour)
	x.StepDone(Up, unreported, nil, 2*time.Millisecond)
	x.StepDone(Down, 0, nil, 2*time.Millisecond)
	finishDown(t, x, 2*time.Millisecond)
	if endpoint, client := x.Reusable(); !endpoint || !client || x.Outcome() != Delivered {
		t.Errorf("%v, the connections are reusable: %v, %v", x.Outcome(), endpoint, client)
	}
}

// An answer that really came early is passed on all the same, after a short wait, and closes the connections.
func TestEarlyAnswerWaitsShortly(t *testing.T) {
	x, _ := answeredDuringWrite(t, time.Hour)
	x.StepDone(Down, 0, nil, writtenTimeout/2)
	if step := x.Next(Down, writtenTimeout/2); step.Op != Wait {
		t.Errorf("operation %d after half of the time", step.Op)
	}
	now := 2 * writtenTimeout
	x.StepDone(Down, 0, nil, now)
	finishDown(t, x, now)
	if endpoint, client := x.Reusable(); endpoint || client || x.Outcome() != Delivered {
		t.Errorf("%v, the connections are reusable: %v, %v", x.Outcome(), endpoint, client)
	}
}

// A delivery that is known stays one: an abort during the wait does not take it back, and at the deadline the answer is not
// passed on before it is recorded.
func TestHeldAnswerIsADelivery(t *testing.T) {
	x, _ := answeredDuringWrite(t, time.Hour)
	if x.Abort(Aborted); x.Outcome() != Delivered {
		t.Errorf("aborted during the wait: %v", x.Outcome())
	}
	const deadline = 10 * time.Millisecond
	x, _ = answeredDuringWrite(t, deadline)
	x.StepDone(Up, 0, os.ErrDeadlineExceeded, deadline)
	x.StepDone(Down, 0, nil, deadline)
	finishDown(t, x, deadline)
	if x.Outcome() != Delivered {
		t.Errorf("at the deadline: %v", x.Outcome())
	}
}
