// Package cluster is the laboratory's fleet: real processes of the program on loopback addresses of their own, every pair's links
// through fault proxies that can be cut, stalled, slowed, reset or cut in the middle of a record, and faults of processes, folders and
// clocks beside them. What all sides see goes into one log of events, and the rules are held against that.
package cluster

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Way is what a fault proxy does to the bytes that go one way through it.
type Way struct {
	Stall  bool          // they wait, without a word, until this is over
	Delay  time.Duration // before each piece goes on,
	Jitter time.Duration // and up to so much more, by chance
	Rate   int64         // bytes a second; 0 is no bound
	Cut    int64         // the connection is reset once so many more bytes have gone; 0 is never
}

// FaultProxy carries the connections that one process makes to another.
type FaultProxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed chan struct{} // closed with each change
	ways    [2]Way        // there, and back
	refuse  bool
	conns   map[net.Conn]net.Conn
	rng     *rand.Rand
	carried [2]int64
	cuts    int
	wg      sync.WaitGroup
}

// There and Back are the two ways of a fault proxy.
const (
	There = 0
	Back  = 1
)

// NewFaultProxy listens on an address, with port 0 for any, and carries what comes to a target.
func NewFaultProxy(listen, target string, seed uint64) (*FaultProxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &FaultProxy{
		listener: l, target: target, changed: make(chan struct{}), conns: map[net.Conn]net.Conn{}, rng: rand.New(rand.NewPCG(seed, 3)),
	}
	r.wg.Go(r.accept)
	return r, nil
}

// Address is where it listens.
func (r *FaultProxy) Address() string { return r.listener.Addr().String() }

func (r *FaultProxy) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(in) })
	}
}

func (r *FaultProxy) serve(in net.Conn) {
	defer in.Close()
	r.mu.Lock()
	refuse := r.refuse
	r.mu.Unlock()
	if refuse {
		reset(in)
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		reset(in)
		return
	}
	defer out.Close()
	r.mu.Lock()
	r.conns[in] = out
	refuse = r.refuse // it may have been closed, or cut, while this dialled
	r.mu.Unlock()
	if refuse {
		reset(in)
		reset(out)
	}
	var both sync.WaitGroup
	both.Go(func() { r.pump(There, out, in) })
	both.Go(func() { r.pump(Back, in, out) })
	both.Wait()
	r.mu.Lock()
	delete(r.conns, in)
	r.mu.Unlock()
}

// reset has the other side see a reset rather than an end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// pump moves bytes one way, as the way is at the moment, until either side ends.
func (r *FaultProxy) pump(way int, to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !r.pass(way, to, buf[:n]) {
			reset(to)
			reset(from)
			return
		}
		if err != nil {
			if err == io.EOF {
				if r.wait(way, to) {
					_ = to.(*net.TCPConn).CloseWrite()
				}
				return
			}
			reset(to)
			return
		}
	}
}

// pass moves one piece; false says that the connection is to be reset.
func (r *FaultProxy) pass(way int, to net.Conn, b []byte) bool {
	for len(b) > 0 {
		if !r.wait(way, to) {
			return false
		}
		r.mu.Lock()
		w := &r.ways[way]
		n, last := len(b), false
		if w.Cut > 0 {
			if int64(n) >= w.Cut {
				n, last = int(w.Cut), true
				w.Cut = 0
				r.cuts++
			} else {
				w.Cut -= int64(n)
			}
		}
		pause := w.Delay
		if w.Jitter > 0 {
			pause += time.Duration(r.rng.Int64N(int64(w.Jitter)))
		}
		if w.Rate > 0 {
			pause += time.Duration(float64(n) / float64(w.Rate) * float64(time.Second))
		}
		r.carried[way] += int64(n)
		r.mu.Unlock()
		if pause > 0 {
			time.Sleep(pause) // a fault's own time, not a test's
		}
		if _, err := to.Write(b[:n]); err != nil || last {
			return false
		}
		b = b[n:]
	}
	return true
}

// wait holds a way's bytes while it stalls; false says that the connection was given up meanwhile.
func (r *FaultProxy) wait(way int, to net.Conn) bool {
	for {
		r.mu.Lock()
		stall, changed := r.ways[way].Stall, r.changed
		_, known := r.conns[to]
		for in, out := range r.conns {
			known = known || in == to || out == to
		}
		r.mu.Unlock()
		if !known {
			return false
		}
		if !stall {
			return true
		}
		<-changed
	}
}

// Set changes what happens one way.
func (r *FaultProxy) Set(way int, w Way) {
	r.mu.Lock()
	r.ways[way] = w
	r.note()
	r.mu.Unlock()
}

// note wakes those who wait; r.mu is held.
func (r *FaultProxy) note() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Refuse resets new connections and, with drop, those there are.
func (r *FaultProxy) Refuse(on, drop bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refuse = on; drop {
		for in, out := range r.conns {
			reset(in)
			reset(out)
			delete(r.conns, in)
		}
	}
	r.note()
}

// Carried is how many bytes went each way.
func (r *FaultProxy) Carried() (there, back int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.carried[There], r.carried[Back]
}

// Cuts is how many connections were reset in the middle of what they carried.
func (r *FaultProxy) Cuts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts
}

// Close ends it with all its connections.
func (r *FaultProxy) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.ways = [2]Way{}
	r.mu.Unlock()
	r.Refuse(true, true)
	r.wg.Wait()
}
