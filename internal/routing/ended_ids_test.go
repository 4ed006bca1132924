package routing

import (
	"testing"
	"testing/synctest"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
)

// Guards against memory that grows with the ids of messages that have ended, and against one connection that leaves no room for the
// others: at the bound new messages are refused, those of the connection with the most first, until ids expire.
func TestEndedIDsHaveABound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const room = 10
		journal, err := wal.Open(t.TempDir(), wal.Options{MaxBytes: 3e6}, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		r, s, end := runConfig(t, journal, func(c *Config) { c.EndedIDBytes = room * endedIDBytes })
		defer end()
		accepted := 0
		submit := func(onConnection int) VerdictKind {
			m := message("")
			m.ID, m.ConnectionAccepted = string(rune('a'+accepted)), onConnection
			verdict := r.Accept(m)
			if verdict.Kind == Accepted {
				accepted++
				(<-s.calls).Begin()
				s.results <- Result{Outcome: mb.OK, Status: 200}
				synctest.Wait()
			}
			return verdict.Kind
		}
		own := 0
		for submit(own) == Accepted {
			own++
		}
		if own != room/2 {
			t.Errorf("one connection had %d of %d accepted, want half", own, room)
		}
		for submit(0) == Accepted {
		}
		if accepted != room || r.Counters().EndedIDBytes > room*(endedIDBytes+1) {
			t.Errorf("%d were accepted, %d bytes are held", accepted, r.Counters().EndedIDBytes)
		}
		time.Sleep(2 * time.Minute)
		if got := submit(own); got != Accepted {
			t.Errorf("after the ids expired: verdict kind %d", got)
		}
	})
}
