package routing

import (
	"testing"

	mb "mulleinbeam"
)

// Guards against an unsafe message that runs twice: its client left before its answer could be written, while the call was out, and
// the id came again on another connection (report cf1004, picture c).
func TestIDOfCancelledMessageThatMayHaveRun(t *testing.T) {
	for class, want := range map[string]VerdictKind{"unsafe": AlreadyEnded, "safe": Accepted} {
		t.Run(class, func(t *testing.T) {
			r, s, _ := newRouter(t)
			m := message("m")
			m.Class = class
			if got := r.Accept(m); got.Kind != Accepted {
				t.Fatalf("verdict %+v", got)
			}
			if call := <-s.calls; !call.Begin() {
				t.Fatal("the call did not begin")
			}
			r.CancelMessage("m")
			if got := r.Accept(m); got.Kind != want {
				t.Errorf("the same id again: verdict %+v, want kind %d", got, want)
			}
		})
	}
}

// A cancelled message whose call never began is accepted again.
func TestIDOfCancelledMessageThatNeverRan(t *testing.T) {
	r, s, _ := newRouter(t)
	if got := r.Accept(message("m")); got.Kind != Accepted {
		t.Fatalf("verdict %+v", got)
	}
	call := <-s.calls
	r.CancelMessage("m")
	if call.Begin() {
		t.Error("a call of a cancelled message began")
	}
	s.results <- Result{Outcome: mb.NotSent}
	if got := r.Accept(message("m")); got.Kind != Accepted {
		t.Errorf("the same id again: verdict %+v", got)
	}
}
