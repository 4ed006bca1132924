// Package cluster runs a fleet of real processes of the program, each on its own loopback address. The links between them go through
// fault proxies, which can partition, stall, slow or reset a link or cut it in the middle of a record. Faults of processes, folders
// and clocks are injected as well. The events that all parties observe go into one log, against which the rules are checked.
package cluster

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Way is the set of faults that a fault proxy applies to the bytes of one direction.
type Way struct {
	Stall  bool          // bytes are held silently until Stall is cleared
	Delay  time.Duration // added before each chunk is forwarded
	Jitter time.Duration // upper bound of a random addition to Delay
	Rate   int64         // bytes per second; 0 means unlimited
	Cut    int64         // the connection is reset after this many more bytes; 0 means never
}

// FaultProxy is a TCP proxy that injects faults into the connections from one process to another.
type FaultProxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed chan struct{} // closed and replaced on each change
	ways    [2]Way        // indexed by There and Back
	refuse  bool
	conns   map[net.Conn]net.Conn
	rng     *rand.Rand
	carried [2]int64
	cuts    int
	wg      sync.WaitGroup
}

// There and Back are the two directions of a fault proxy: to the target, and from it.
const (
	There = 0
	Back  = 1
)

// NewFaultProxy listens on an address, where port 0 selects a free port, and forwards its connections to target.
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

// Address returns the address that the proxy listens on.
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
	refuse = r.refuse // the proxy may have been closed, or its connections refused, during the dial
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

// reset closes a connection so that the other side sees a TCP reset rather than an end of stream.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// pump forwards the bytes of one direction under its current faults until either side closes.
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

// pass forwards one chunk; it returns false if the connection has to be reset.
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
			time.Sleep(pause) // the injected delay; no test waits on it
		}
		if _, err := to.Write(b[:n]); err != nil || last {
			return false
		}
		b = b[n:]
	}
	return true
}

// wait blocks while a direction is stalled; it returns false if the connection was dropped meanwhile.
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

// Set replaces the faults of one direction.
func (r *FaultProxy) Set(way int, w Way) {
	r.mu.Lock()
	r.ways[way] = w
	r.notifyChanged()
	r.mu.Unlock()
}

// notifyChanged wakes the goroutines that wait for a change. The caller holds r.mu.
func (r *FaultProxy) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Refuse sets whether new connections are reset and, with drop, resets the open ones.
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
	r.notifyChanged()
}

// Carried returns the number of bytes forwarded in each direction.
func (r *FaultProxy) Carried() (there, back int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.carried[There], r.carried[Back]
}

// Cuts returns the number of connections reset by Way.Cut.
func (r *FaultProxy) Cuts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts
}

// Close stops the proxy and resets all its connections.
func (r *FaultProxy) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.ways = [2]Way{}
	r.mu.Unlock()
	r.Refuse(true, true)
	r.wg.Wait()
}
