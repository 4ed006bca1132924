package routing

import (
	"runtime"
	"testing"
	"time"
	"weak"

	mb "mulleinbeam"
)

// Guards against memory that grows while the platform acknowledges no reports: a message that waits only for that has no more
// use for its body, and the journal has given its room to others.
func TestReportedMessagesHoldNoBody(t *testing.T) {
	for name, end := range map[string]func(r *Router, s fakeTransport){
		"failed call":    func(_ *Router, s fakeTransport) { <-s.calls; s.results <- Result{Outcome: mb.Failed} },
		"cancelled call": func(_ *Router, s fakeTransport) { <-s.calls }, // its time is up
	} {
		t.Run(name, func(t *testing.T) {
			r, s, _ := newRouter(t)
			m := message("m")
			m.TimeLeft = 300 * time.Millisecond
			m.Body = make([]byte, 60_000)
			body := weak.Make(&m.Body[0])
			if got := r.Accept(m); got.Kind != Accepted {
				t.Fatalf("verdict %+v", got)
			}
			m.Body = nil
			end(r, s)
			report := <-s.reports
			for range 200 { // the goroutine of the call has to end
				r.Counters()
				if runtime.GC(); body.Value() == nil {
					break
				}
			}
			if body.Value() != nil {
				t.Error("the body of a reported message is still in memory")
			}
			runtime.KeepAlive(report.Done)
		})
	}
}
