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
	mostList     = 4 << 20         // bytes of discovery's list
	watchFor     = 4 * time.Second // how long one watch call may wait
	watchSlack   = time.Second     // and how much longer its answer is waited for
	retryPause   = 50 * time.Millisecond
	reportFor    = 500 * time.Millisecond // an answer to a report
	reportMost   = 200                    // notices in one report
	flushFor     = 300 * time.Millisecond // for the last report, after the end
)

// Address is where discovery's agent is reached. It may move while the program runs; whoever follows it then learns so
// at once.
type Address struct {
	mu    sync.Mutex
	at    string
	epoch context.Context // ends when the address moves
	move  context.CancelFunc
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

// do sends a request and waits for its answer. After an error the next call opens a new connection.
func (a *agent) do(ctx context.Context, request []byte, wait time.Duration) (*protocol.Message, error) {
	if a.conn == nil {
		dialer := net.Dialer{Timeout: agentConnect}
		conn, err := dialer.DialContext(ctx, "tcp", a.address)
		if err != nil {
			return nil, fmt.Errorf("transport: discovery: %w", err)
		}
		a.conn, a.parser = conn, protocol.NewAnswerParser(mostList)
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
			if m := a.parser.End(errors.Is(err, io.EOF)); m != nil {
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

// Directory watches discovery's list.
type Directory struct {
	Address *Address
	Since   int64 // the version known; below zero for none
	Asking  Asking
	Learn   func(protocol.Directory)
	Logger  zerolog.Logger
}

// Watch passes on every change until ctx ends. While discovery is silent it keeps asking; nothing waits for it. When
// the address moves, it turns there at once and asks for the whole list: versions are the old address's own.
func (d *Directory) Watch(ctx context.Context) error {
	a := &agent{}
	defer a.close()
	failing, moved := 0, false
	pause(ctx, d.Asking.start())
	for ctx.Err() == nil {
		at, here, release := d.Address.follow(ctx)
		if first := a.address == ""; a.at(at) && !first {
			d.Since, moved = -1, true
		}
		list, err := d.next(here, a)
		switch {
		case here.Err() != nil && err != nil: // the end, or another address
		case err != nil:
			if failing++; failing == 1 {
				d.Logger.Warn().Str("part", "directory").Err(err).Msg("no answer, the list held stands")
			}
			pause(here, d.Asking.again(failing))
		default:
			if failing > 0 || moved {
				d.Logger.Info().Str("part", "directory").Str("address", at).Int64("version", list.Index).Msg("answers")
			}
			failing, moved = 0, false
			d.Since = list.Index
			if list.Whole || len(list.Providers) > 0 {
				d.Learn(list)
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

func (d *Directory) next(ctx context.Context, a *agent) (protocol.Directory, error) {
	request := protocol.AppendWatch(nil, a.address, d.Since, watchFor)
	m, err := a.do(ctx, request, watchFor+watchSlack)
	if err != nil {
		return protocol.Directory{}, err
	}
	if m.Status() != 200 {
		if m.Status() < 500 { // a version that it does not know any more: the whole list; one that is busy may know it
			d.Since = -1
		}
		return protocol.Directory{}, fmt.Errorf("transport: discovery answered %d", m.Status())
	}
	return protocol.ParseDirectory(m.Body)
}

// Reporter sends notices to the platform until each is acknowledged.
type Reporter struct {
	Address *Address
	Logger  zerolog.Logger

	failing bool // Run's goroutine only
	mu      sync.Mutex
	queue   []Pending
	wake    chan struct{}
}

// Pending is a notice with what to do once it is acknowledged.
type Pending struct {
	protocol.Notice
	Done func()
}

// NewReporter reports to discovery's agent.
func NewReporter(address *Address, logger zerolog.Logger) *Reporter {
	return &Reporter{Address: address, Logger: logger, wake: make(chan struct{}, 1)}
}

// Add queues a notice.
func (r *Reporter) Add(p Pending) {
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
		select {
		case <-r.wake:
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

// report sends what is queued; true says that there may be more to do.
func (r *Reporter) report(ctx context.Context, a *agent) bool {
	r.mu.Lock()
	batch := append([]Pending(nil), r.queue[:min(len(r.queue), reportMost)]...)
	r.mu.Unlock()
	if len(batch) == 0 || ctx.Err() != nil {
		return false
	}
	notices := make([]protocol.Notice, len(batch))
	for i, p := range batch {
		notices[i] = p.Notice
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
	if r.queue = r.queue[len(batch):]; len(r.queue) == 0 {
		r.queue = nil // the array goes with the notices
	}
	r.mu.Unlock()
	for _, p := range batch {
		p.Done()
	}
	return true
}
