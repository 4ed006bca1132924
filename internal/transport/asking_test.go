package transport

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mulleinbeam/internal/protocol"
)

const askWithin = 10 * time.Second

// learns plays a release that starts a fleet at once, and discovery that takes so many calls a second (and a few at once),
// of which refused ones count. It tells how many know the list by the end.
func learns(asking func(chance func() float64) PollSchedule, forwarders int, perSecond, atOnce float64, end time.Duration) int {
	rng := rand.New(rand.NewPCG(1, 2))
	type forwarder struct {
		PollSchedule
		at       time.Duration
		failures int
		knows    bool
	}
	fleet := make([]forwarder, forwarders)
	for i := range fleet {
		fleet[i].PollSchedule = asking(rng.Float64)
		fleet[i].at = fleet[i].start() + time.Duration(i)*time.Microsecond
	}
	left, last, know := atOnce, time.Duration(0), 0
	for {
		next := -1
		for i, f := range fleet {
			if !f.knows && (next < 0 || f.at < fleet[next].at) {
				next = i
			}
		}
		if next < 0 || fleet[next].at > end {
			return know
		}
		f := &fleet[next]
		left = min(atOnce, left+perSecond*(f.at-last).Seconds())
		last = f.at
		if left >= 1 {
			f.knows = true
			know++
		} else {
			f.failures++
			f.at += f.again(f.failures, 0, false)
		}
		left = max(left-1, -perSecond) // what is refused keeps it busy, for a second at most
	}
}

func TestAFleetThatStartsAtOnceLearnsTheList(t *testing.T) {
	asking := func(n int) func(func() float64) PollSchedule {
		return func(chance func() float64) PollSchedule { return NewPollSchedule(n, askWithin, chance) }
	}
	for _, n := range []int{20, 80, 200} {
		perSecond := max(10, float64(n)/8) // each is to ask once in ten seconds, at least
		if got := learns(asking(n), n, perSecond, perSecond, 30*time.Second); got != n {
			t.Errorf("%d of %d forwarders learned the list", got, n)
		}
		// The stand-in does what it is for: on the fixed beat most never learn it.
		beat := func(func() float64) PollSchedule { return PollSchedule{} }
		if got := learns(beat, n, perSecond, perSecond, 30*time.Second); got > n/2 {
			t.Errorf("on a fixed beat %d of %d learned it: discovery was not overbooked", got, n)
		}
	}
}

func TestAskingByFleet(t *testing.T) {
	chance := func(v float64) func() float64 { return func() float64 { return v } }
	for _, n := range []int{-1, 0, 1, 2, 3, manyForwarders - 1} {
		if a := NewPollSchedule(n, askWithin, nil); a.start() != 0 || a.again(1, 0, false) != retryPause || a.again(1000, 0, false) != retryPause {
			t.Errorf("%d forwarders don't ask as few do", n)
		}
	}
	if a := NewPollSchedule(80, 0, nil); a.start() != 0 || a.again(5, 0, false) != retryPause {
		t.Error("where the list comes by itself, nothing is spread")
	}
	for _, n := range []int{manyForwarders, 80, 1000, 1 << 40} {
		for _, v := range []float64{0, 0.5, 1} {
			a := NewPollSchedule(n, askWithin, chance(v))
			if s := a.start(); s < 0 || s > askWithin/2 {
				t.Errorf("%d forwarders: the first call after %v", n, s)
			}
			for _, failures := range []int{0, 1, 2, 10, 1 << 30} {
				if p := a.again(failures, 0, false); p < retryPause || p > 2*askWithin {
					t.Errorf("%d forwarders, %d failures: a pause of %v", n, failures, p)
				}
			}
		}
	}
}

// Discovery that is busy has not forgotten the version: asking it for the whole list would cost it the more. One that says
// that there is no such version is asked for the whole list.
func TestWhatIsAskedAfterARefusal(t *testing.T) {
	for status, since := range map[int]string{503: "7", 410: ""} {
		asked := make(chan string, 2)
		discovery := partner(t, func(conn net.Conn, r *http.Request) {
			select {
			case asked <- r.URL.Query().Get("since"):
			default: // a third one is of no interest
			}
			fmt.Fprintf(conn, "HTTP/1.1 %d no\r\nContent-Length: 0\r\n\r\n", status)
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		d := Discovery{
			Address: NewAddress(discovery), KnownVersion: 7, Logger: zerolog.Nop(),
			OnList: func(protocol.List) { t.Error("a refusal taught a list") },
		}
		go func() { ended <- d.Watch(ctx) }()
		if first, second := <-asked, <-asked; first != "7" || second != since {
			t.Errorf("%d: asked since %q, then %q; want 7, then %q", status, first, second, since)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// Whatever becomes of a call to discovery, and whatever a fleet's settings say, the next one starts so soon that a change is
// learned toldWithin after discovery had it and could be reached, and movedWithin after a move; see Asking's proof.
func TestToldInTime(t *testing.T) {
	if callMost+retryPause > nextWithin || listMost+retryPause > movedNext || callMost-watchSlack < time.Second {
		t.Fatalf("a call may last %v, one for the whole list %v", callMost, listMost)
	}
	chances := []float64{0, 0.3, 1}
	for _, forwarders := range []int{0, 1, manyForwarders - 1, manyForwarders, 20, 80, 300, 100_000, 1 << 40} {
		for _, within := range []time.Duration{0, 1, 200 * time.Millisecond, askWithin, time.Hour} {
			for _, chance := range chances {
				a := NewPollSchedule(forwarders, within, func() float64 { return chance })
				if s := a.start(); s > nextWithin {
					t.Errorf("%d forwarders, %v: the first call %v behind the start", forwarders, within, s)
				}
				// A call is refused at once, finds no connection, breaks on the way, or stays silent to its end.
				for _, took := range []time.Duration{0, 40 * time.Millisecond, agentConnect, listMost, 4 * time.Second, callMost} {
					for _, failures := range []int{1, 2, 3, 9, 1 << 30} {
						if next := took + a.again(failures, took, false); next > nextWithin {
							t.Errorf("%d forwarders, %v: a call that failed within %v is followed by one %v behind its start",
								forwarders, within, took, next)
						}
						if next := took + a.again(failures, took, true); took <= listMost && next > movedNext {
							t.Errorf("%d forwarders, %v: behind a move, a call that failed within %v is followed by one %v behind its start",
								forwarders, within, took, next)
						}
					}
				}
			}
		}
	}
}

// A version that discovery does not know any more costs no pause, however long pauses are: the whole list is asked for at once.
func TestAForgottenVersionCostsNoPause(t *testing.T) {
	const list = `{"index":3,"snapshot":true,"endpoints":[]}`
	discovery := partner(t, func(conn net.Conn, r *http.Request) {
		if r.URL.Query().Get("since") == "7" {
			fmt.Fprint(conn, "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n")
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	})
	ctx, cancel := context.WithCancel(context.Background())
	learned, ended := make(chan protocol.List, 1), make(chan error, 1)
	d := Discovery{
		Address: NewAddress(discovery), KnownVersion: 7, Logger: zerolog.Nop(),
		Schedule: PollSchedule{first: time.Hour, most: time.Hour, chance: func() float64 { return 0 }},
		OnList: func(l protocol.List) {
			select {
			case learned <- l:
			default: // once is enough
			}
		},
	}
	go func() { ended <- d.Watch(ctx) }()
	select {
	case l := <-learned:
		if l.Index != 3 {
			t.Errorf("learned %+v", l)
		}
	case <-time.After(nextWithin * 8 / 10): // the shortest pause that there would be
		t.Error("a pause stands between a forgotten version and the whole list")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Discovery that goes away, sends half a list, noise or a refusal, many times over, teaches nothing: the list held stands until
// a whole one comes, which is then learned once.
func TestAFleetOutlastsBadDiscovery(t *testing.T) {
	const list = `{"index":9,"snapshot":true,"endpoints":[{"name":"s","address":"127.0.0.1:1","group":3,"status":"SERVING"}]}`
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	bad := []string{
		"", "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n", whole[:len(whole)/2], whole[:len(whole)-1], "\x00\xff\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"index\"",
	}
	const times = 12
	var calls atomic.Int64
	discovery := partner(t, func(conn net.Conn, _ *http.Request) {
		answer := whole
		if i := int(calls.Add(1)) - 1; i < times {
			answer = bad[i%len(bad)]
		}
		_, _ = conn.Write([]byte(answer))
		conn.Close()
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	learned := make(chan protocol.List, 100)
	d := Discovery{
		Address: NewAddress(discovery), KnownVersion: 7, Logger: zerolog.Nop(),
		Schedule: NewPollSchedule(80, 20*time.Millisecond, rand.New(rand.NewPCG(1, 2)).Float64), // pauses of retryPause
		OnList:   func(list protocol.List) { learned <- list },
	}
	ended := make(chan error, 1)
	go func() { ended <- d.Watch(ctx) }()
	if first := <-learned; first.Index != 9 || len(first.Endpoints) != 1 {
		t.Errorf("learned %+v", first)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
