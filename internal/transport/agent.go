package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mulleinbeam/internal/protocol"
)

const (
	agentConnect = time.Second
	mostList     = 4 << 20                // bytes of discovery's list
	watchSlack   = 750 * time.Millisecond // a watch's answer is waited for so much longer than the watch may wait
	retryPause   = 50 * time.Millisecond
	reportFor    = 500 * time.Millisecond // an answer to a report
	reportMost   = 200                    // notices in one report
	flushFor     = 300 * time.Millisecond // for the last report, after the end
	readyAgain   = 500 * time.Millisecond // the pause between two tries of a connection that no report needs yet
)

// Address is where discovery's agent is reached. It may move while the program runs; whoever follows it then learns so
// at once.
type Address struct {
	mu    sync.Mutex
	at    string
	epoch context.Context // ends when the address moves
	move  context.CancelFunc
	proof net.Conn // that Reach has opened; the watch goes on with it
	since time.Time
}

// NewAddress is an address that has not moved yet.
func NewAddress(at string) *Address {
	a := &Address{}
	a.Move(at)
	return a
}

// Move sets another address and cuts short what waits for the old one; false says that it stays where it is.
func (a *Address) Move(to string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.at == to {
		return false
	}
	if a.move != nil {
		a.move()
	}
	a.at = to
	a.epoch, a.move = context.WithCancel(context.Background())
	return true
}

// MoveIfReachable moves to an address once a connection to it has come up, which the watch goes on with. Without one it gives an error
// and the old address stands, since a mistyped or dead one would leave this forwarder with a list that only grows old. False
// says that the address stays where it is.
func (a *Address) MoveIfReachable(ctx context.Context, to string) (bool, error) {
	a.mu.Lock()
	stays := a.at == to
	a.mu.Unlock()
	if stays {
		return false, nil
	}
	dialer := net.Dialer{Timeout: agentConnect}
	conn, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		return false, fmt.Errorf("transport: discovery: %w", err)
	}
	a.drop()
	a.mu.Lock()
	a.proof, a.since = conn, time.Now()
	a.mu.Unlock()
	return a.Move(to), nil
}

// proven hands Reach's connection over, unless it has been left so long that the other side may have given it up.
func (a *Address) proven(at string) net.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.proof == nil || a.at != at || time.Since(a.since) > agentConnect {
		return nil
	}
	conn := a.proof
	a.proof = nil
	return conn
}

// drop closes what nobody has taken over.
func (a *Address) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.proof != nil {
		_ = a.proof.Close()
		a.proof = nil
	}
}

// moved is closed when the address moves.
func (a *Address) moved() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch.Done()
}

// follow gives the address and a context that ends with ctx or when the address moves; release frees it.
func (a *Address) follow(ctx context.Context) (at string, here context.Context, release func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	here, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(a.epoch, cancel)
	return a.at, here, func() { stop(); cancel() }
}

// agent is a connection to discovery's agent on this machine, opened when needed. One goroutine uses it.
type agent struct {
	address string
	conn    net.Conn
	parser  *protocol.Parser
}

// at turns to an address; true says that it is another one than before.
func (a *agent) at(address string) bool {
	if a.address == address {
		return false
	}
	a.close()
	a.address = address
	return true
}

// adopt goes on with a connection that is open already; nil is none.
func (a *agent) adopt(conn net.Conn) {
	if conn != nil {
		a.conn, a.parser = conn, protocol.NewAnswerParser(mostList)
	}
}

// connect opens a connection unless one is open.
func (a *agent) connect(ctx context.Context) error {
	if a.conn != nil {
		return nil
	}
	dialer := net.Dialer{Timeout: agentConnect}
	conn, err := dialer.DialContext(ctx, "tcp", a.address)
	if err != nil {
		return fmt.Errorf("transport: discovery: %w", err)
	}
	a.adopt(conn)
	return nil
}

// do sends a request and waits for its answer. After an error the next call opens a new connection.
func (a *agent) do(ctx context.Context, request []byte, wait time.Duration) (*protocol.Message, error) {
	if err := a.connect(ctx); err != nil {
		return nil, err
	}
	conn := a.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	m, err := a.exchange(request, wait)
	if !stop() || err != nil || m.Close { // one that ctx has closed is of no further use, answered or not
		a.close()
	}
	if err != nil {
		return nil, fmt.Errorf("transport: discovery: %w", err)
	}
	return m, nil
}

func (a *agent) exchange(request []byte, wait time.Duration) (*protocol.Message, error) {
	if err := a.conn.SetDeadline(time.Now().Add(wait)); err != nil {
		return nil, err
	}
	if _, err := a.conn.Write(request); err != nil {
		return nil, err
	}
	for {
		m, err := a.parser.Next()
		if m != nil || err != nil {
			return m, err
		}
		n, err := a.conn.Read(a.parser.Space())
		if a.parser.Commit(n); err != nil && n == 0 {
			if m := a.parser.Finish(errors.Is(err, io.EOF)); m != nil {
				return m, nil
			}
			return nil, err
		}
	}
}

func (a *agent) close() {
	if a.conn != nil {
		_ = a.conn.Close()
		a.conn = nil
	}
}

// Discovery watches discovery's list.
type Discovery struct {
	Address      *Address
	KnownVersion int64 // the version known; below zero for none
	Schedule     PollSchedule
	OnList       func(protocol.List)
	Logger       zerolog.Logger
}

// Watch passes on every change until ctx ends. While discovery is silent it keeps asking; nothing waits for it. When
// the address moves, it turns there at once and asks for the whole list: versions are the old address's own.
func (d *Discovery) Watch(ctx context.Context) error {
	a := &agent{}
	defer a.close()
	defer d.Address.drop()
	failing, moved := 0, false
	pause(ctx, d.Schedule.start())
	for ctx.Err() == nil {
		at, here, release := d.Address.follow(ctx)
		if first := a.address == ""; a.at(at) {
			if !first {
				d.KnownVersion, moved, failing = -1, true, 0
			}
			a.adopt(d.Address.proven(at))
		}
		started := time.Now()
		list, err := d.next(here, a)
		switch {
		case here.Err() != nil && err != nil: // the end, or another address
		case err != nil:
			if failing++; failing == 1 {
				d.Logger.Warn().Str("part", "discovery").Err(err).Msg("no answer, the list held stands")
			}
			pause(here, d.Schedule.again(failing, time.Since(started), moved))
		default:
			if failing > 0 || moved {
				d.Logger.Info().Str("part", "discovery").Str("address", at).Int64("version", list.Index).Msg("answers")
			}
			failing, moved = 0, false
			d.KnownVersion = list.Index
			if list.Snapshot || len(list.Endpoints) > 0 {
				d.OnList(list)
			}
		}
		release()
	}
	return nil
}

// pause waits, but no longer than ctx.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// next makes one call: a watch, or one for the whole list, which has nothing to wait for.
func (d *Discovery) next(ctx context.Context, a *agent) (protocol.List, error) {
	started, most := time.Now(), callMost
	if d.KnownVersion < 0 {
		most = listMost
	}
	if err := a.connect(ctx); err != nil {
		return protocol.List{}, err
	}
	left := most - time.Since(started)
	m, err := a.do(ctx, protocol.AppendWatch(nil, a.address, d.KnownVersion, max(0, left-watchSlack)), left)
	if err != nil {
		return protocol.List{}, err
	}
	switch status := m.Status(); {
	case status == 200:
		return protocol.ParseList(m.Body)
	case status < 500 && d.KnownVersion >= 0: // a version that it does not know any more: the whole list; one that is busy may know it
		d.KnownVersion = -1
		return d.next(ctx, a)
	default:
		return protocol.List{}, fmt.Errorf("transport: discovery answered %d", status)
	}
}

// Reporter sends notices to the platform until each is acknowledged.
type Reporter struct {
	Address *Address
	Logger  zerolog.Logger

	failing bool // Run's goroutine only
	mu      sync.Mutex
	queue   []PendingReport
	wake    chan struct{}
}

// PendingReport is a notice with what to do once it is acknowledged.
type PendingReport struct {
	protocol.DeliveryReport
	OnAcknowledged func()
	MaySend        func() (now, never bool) // asked just before it is sent; nil: it may be
}

// NewReporter reports to discovery's agent.
func NewReporter(address *Address, logger zerolog.Logger) *Reporter {
	return &Reporter{Address: address, Logger: logger, wake: make(chan struct{}, 1)}
}

// Add queues a notice.
func (r *Reporter) Add(p PendingReport) {
	r.mu.Lock()
	r.queue = append(r.queue, p)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run reports until ctx ends, and then for a moment what is left. When the address moves, what was not acknowledged
// goes to the new one.
func (r *Reporter) Run(ctx context.Context) error {
	a := &agent{}
	defer a.close()
	for {
		moved := r.Address.moved()
		again := r.prepare(ctx, a)
		select {
		case <-r.wake:
		case <-moved:
			continue
		case <-again:
			continue
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushFor)
			defer cancel()
			for r.report(last, a) {
			}
			return nil
		}
		for r.report(ctx, a) {
		}
	}
}

// prepare opens the connection before there is a report, so that one that is due is not held up by a connect that fails for a moment. It
// gives when to try again; nil is not.
func (r *Reporter) prepare(ctx context.Context, a *agent) (again <-chan time.Time) {
	at, here, release := r.Address.follow(ctx)
	defer release()
	a.at(at)
	if a.connect(here) != nil {
		return time.After(readyAgain)
	}
	return nil
}

// batch puts those that may be sent now in front of the queue, and gives them; held says that others have to wait.
func (r *Reporter) batch() (batch []PendingReport, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var later []PendingReport
	for i, p := range r.queue {
		if len(batch) == reportMost {
			later = append(later, r.queue[i:]...)
			break
		}
		now, never := true, false
		if p.MaySend != nil {
			now, never = p.MaySend()
		}
		switch {
		case never:
		case now:
			batch = append(batch, p)
		default:
			later, held = append(later, p), true
		}
	}
	if len(batch) < len(r.queue) && (held || len(batch)+len(later) < len(r.queue)) {
		r.queue = append(append(make([]PendingReport, 0, len(batch)+len(later)), batch...), later...)
	}
	return batch, held
}

// report sends what is queued; true says that there may be more to do.
func (r *Reporter) report(ctx context.Context, a *agent) bool {
	batch, held := r.batch()
	if len(batch) == 0 && held && ctx.Err() == nil {
		pause(ctx, retryPause)
		return true
	}
	if len(batch) == 0 || ctx.Err() != nil {
		return false
	}
	notices := make([]protocol.DeliveryReport, len(batch))
	for i, p := range batch {
		notices[i] = p.DeliveryReport
	}
	at, here, release := r.Address.follow(ctx)
	defer release()
	a.at(at)
	request, err := protocol.AppendReport(nil, at, notices)
	var m *protocol.Message
	if err == nil {
		m, err = a.do(here, request, reportFor)
	}
	if err == nil && m.Status() != 204 {
		err = fmt.Errorf("transport: report answered %d", m.Status())
	}
	if err != nil {
		if here.Err() == nil && !r.failing {
			r.failing = true
			r.Logger.Warn().Str("part", "notices").Int("notices", len(batch)).Err(err).Msg("not acknowledged, sent again")
		}
		pause(here, retryPause)
		return true
	}
	if r.failing {
		r.failing = false
		r.Logger.Info().Str("part", "notices").Msg("acknowledged again")
	}
	r.mu.Lock()
	r.queue = r.queue[len(batch):] // batch has put them in front
	if len(r.queue) == 0 {
		r.queue = nil // the array goes with the notices
	}
	r.mu.Unlock()
	for _, p := range batch {
		p.OnAcknowledged()
	}
	return true
}
