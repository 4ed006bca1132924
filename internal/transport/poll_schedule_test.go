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

const callWithin = 10 * time.Second

// countLearned simulates a release that starts a fleet at once, and a discovery that serves perSecond calls a second
// with bursts of atOnce, where refused calls count as well. It returns how many forwarders have the list by the end.
func countLearned(newSchedule func(chance func() float64) PollSchedule, forwarders int, perSecond, atOnce float64, end time.Duration) int {
	rng := rand.New(rand.NewPCG(1, 2))
	type forwarder struct {
		PollSchedule
		at       time.Duration
		failures int
		knows    bool
	}
	fleet := make([]forwarder, forwarders)
	for i := range fleet {
		fleet[i].PollSchedule = newSchedule(rng.Float64)
		fleet[i].at = fleet[i].startDelay() + time.Duration(i)*time.Microsecond
	}
	capacity, last, learned := atOnce, time.Duration(0), 0
	for {
		next := -1
		for i, f := range fleet {
			if !f.knows && (next < 0 || f.at < fleet[next].at) {
				next = i
			}
		}
		if next < 0 || fleet[next].at > end {
			return learned
		}
		f := &fleet[next]
		capacity = min(atOnce, capacity+perSecond*(f.at-last).Seconds())
		last = f.at
		if capacity >= 1 {
			f.knows = true
			learned++
		} else {
			f.failures++
			f.at += f.delayAfter(f.failures, 0, false)
		}
		capacity = max(capacity-1, -perSecond) // refused calls keep discovery busy, for a second at most
	}
}

func TestSimultaneousStartGetsTheList(t *testing.T) {
	newSchedule := func(n int) func(func() float64) PollSchedule {
		return func(chance func() float64) PollSchedule { return NewPollSchedule(n, callWithin, chance) }
	}
	for _, n := range []int{20, 80, 200} {
		perSecond := max(10, float64(n)/8) // each forwarder calls at least once in ten seconds
		if got := countLearned(newSchedule(n), n, perSecond, perSecond, 30*time.Second); got != n {
			t.Errorf("%d of %d forwarders learned the list", got, n)
		}
		// Checks the simulation itself: at a fixed interval most forwarders never get the list.
		fixedInterval := func(func() float64) PollSchedule { return PollSchedule{} }
		if got := countLearned(fixedInterval, n, perSecond, perSecond, 30*time.Second); got > n/2 {
			t.Errorf("at a fixed interval %d of %d learned it: discovery was not overloaded", got, n)
		}
	}
}

func TestPollScheduleByFleetSize(t *testing.T) {
	random := func(v float64) func() float64 { return func() float64 { return v } }
	for _, n := range []int{-1, 0, 1, 2, 3, largeFleet - 1} {
		if a := NewPollSchedule(n, callWithin, nil); a.startDelay() != 0 || a.delayAfter(1, 0, false) != retryDelay || a.delayAfter(1000, 0, false) != retryDelay {
			t.Errorf("a fleet of %d forwarders delays its calls", n)
		}
	}
	if a := NewPollSchedule(80, 0, nil); a.startDelay() != 0 || a.delayAfter(5, 0, false) != retryDelay {
		t.Error("calls are delayed although the list is pushed")
	}
	for _, n := range []int{largeFleet, 80, 1000, 1 << 40} {
		for _, v := range []float64{0, 0.5, 1} {
			a := NewPollSchedule(n, callWithin, random(v))
			if s := a.startDelay(); s < 0 || s > callWithin/2 {
				t.Errorf("%d forwarders: the first call after %v", n, s)
			}
			for _, failures := range []int{0, 1, 2, 10, 1 << 30} {
				if p := a.delayAfter(failures, 0, false); p < retryDelay || p > 2*callWithin {
					t.Errorf("%d forwarders, %d failures: a delay of %v", n, failures, p)
				}
			}
		}
	}
}

// An overloaded discovery still knows the version, and requesting the whole list would cost it more. A discovery that
// reports an unknown version is asked for the whole list.
func TestCallAfterDiscoveryError(t *testing.T) {
	for status, since := range map[int]string{503: "7", 410: ""} {
		versions := make(chan string, 2)
		discovery := startEndpoint(t, func(conn net.Conn, r *http.Request) {
			select {
			case versions <- r.URL.Query().Get("since"):
			default: // further calls do not matter
			}
			fmt.Fprintf(conn, "HTTP/1.1 %d no\r\nContent-Length: 0\r\n\r\n", status)
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		d := Discovery{
			Address: NewAddress(discovery), KnownVersion: 7, Logger: zerolog.Nop(),
			OnList: func(protocol.List) { t.Error("an error answer was reported as a list") },
		}
		go func() { ended <- d.Watch(ctx) }()
		if first, second := <-versions, <-versions; first != "7" || second != since {
			t.Errorf("%d: asked since %q, then %q; want 7, then %q", status, first, second, since)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// Whatever becomes of a call to discovery, and whatever the fleet's settings are, the next one starts so soon that a
// change is learned updateWithin after discovery had it and could be reached, and updateWithinAfterMove after a move;
// see the bounds in poll_schedule.go.
func TestUpdateWithinBounds(t *testing.T) {
	if callTimeout+retryDelay > maxCallInterval || listCallTimeout+retryDelay > maxCallIntervalAfterMove || callTimeout-watchMargin < time.Second {
		t.Fatalf("a call may last %v, one for the whole list %v", callTimeout, listCallTimeout)
	}
	chances := []float64{0, 0.3, 1}
	for _, forwarders := range []int{0, 1, largeFleet - 1, largeFleet, 20, 80, 300, 100_000, 1 << 40} {
		for _, within := range []time.Duration{0, 1, 200 * time.Millisecond, callWithin, time.Hour} {
			for _, chance := range chances {
				a := NewPollSchedule(forwarders, within, func() float64 { return chance })
				if s := a.startDelay(); s > maxCallInterval {
					t.Errorf("%d forwarders, %v: the first call %v after the start", forwarders, within, s)
				}
				// A call is refused at once, cannot connect, breaks, or gets no answer until its timeout.
				for _, took := range []time.Duration{0, 40 * time.Millisecond, agentConnectTimeout, listCallTimeout, 4 * time.Second, callTimeout} {
					for _, failures := range []int{1, 2, 3, 9, 1 << 30} {
						if next := took + a.delayAfter(failures, took, false); next > maxCallInterval {
							t.Errorf("%d forwarders, %v: a call that failed within %v is followed by one %v after its start",
								forwarders, within, took, next)
						}
						if next := took + a.delayAfter(failures, took, true); took <= listCallTimeout && next > maxCallIntervalAfterMove {
							t.Errorf("%d forwarders, %v: after a move, a call that failed within %v is followed by one %v after its start",
								forwarders, within, took, next)
						}
					}
				}
			}
		}
	}
}

// A version that discovery no longer knows causes no delay, however long the configured delays are: the whole list is
// requested at once.
func TestUnknownVersionRequestsListAtOnce(t *testing.T) {
	const list = `{"index":3,"snapshot":true,"endpoints":[]}`
	discovery := startEndpoint(t, func(conn net.Conn, r *http.Request) {
		if r.URL.Query().Get("since") == "7" {
			fmt.Fprint(conn, "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n")
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	})
	ctx, cancel := context.WithCancel(context.Background())
	received, ended := make(chan protocol.List, 1), make(chan error, 1)
	d := Discovery{
		Address: NewAddress(discovery), KnownVersion: 7, Logger: zerolog.Nop(),
		Schedule: PollSchedule{initialDelay: time.Hour, maxDelay: time.Hour, random: func() float64 { return 0 }},
		OnList: func(l protocol.List) {
			select {
			case received <- l:
			default: // once is enough
			}
		},
	}
	go func() { ended <- d.Watch(ctx) }()
	select {
	case l := <-received:
		if l.Index != 3 {
			t.Errorf("learned %+v", l)
		}
	case <-time.After(maxCallInterval * 8 / 10): // the shortest delay that there could be
		t.Error("the whole list was not requested right after an unknown version")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A discovery that disappears, sends half a list, garbage or an error many times over changes nothing: the current
// list is kept until a complete one arrives, which is then reported once.
func TestBadDiscoveryAnswersAreIgnored(t *testing.T) {
	const list = `{"index":9,"snapshot":true,"endpoints":[{"name":"s","address":"127.0.0.1:1","group":3,"status":"SERVING"}]}`
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	bad := []string{
		"", "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n", whole[:len(whole)/2], whole[:len(whole)-1], "\x00\xff\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"index\"",
	}
	const times = 12
	var calls atomic.Int64
	discovery := startEndpoint(t, func(conn net.Conn, _ *http.Request) {
		answer := whole
		if i := int(calls.Add(1)) - 1; i < times {
			answer = bad[i%len(bad)]
		}
		_, _ = conn.Write([]byte(answer))
		conn.Close()
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	received := make(chan protocol.List, 100)
	d := Discovery{
		Address: NewAddress(discovery), KnownVersion: 7, Logger: zerolog.Nop(),
		Schedule: NewPollSchedule(80, 20*time.Millisecond, rand.New(rand.NewPCG(1, 2)).Float64), // delays of retryDelay
		OnList:   func(list protocol.List) { received <- list },
	}
	ended := make(chan error, 1)
	go func() { ended <- d.Watch(ctx) }()
	if first := <-received; first.Index != 9 || len(first.Endpoints) != 1 {
		t.Errorf("learned %+v", first)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
