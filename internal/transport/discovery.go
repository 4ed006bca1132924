package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"mulleinbeam/internal/protocol"
)

const (
	agentConnectTimeout = time.Second
	maxListBytes        = 4 << 20                // of the discovery list
	watchMargin         = 750 * time.Millisecond // added to a watch's own wait time to await its answer
	retryDelay          = 50 * time.Millisecond
	reportTimeout       = 500 * time.Millisecond // for an answer to a report
	maxReportBatch      = 200                    // delivery reports in one request
	flushTimeout        = 300 * time.Millisecond // for the last reports after the shutdown
	reconnectDelay      = 500 * time.Millisecond // between two attempts to open a connection that no report needs yet
)

// Address is the address of the discovery agent. It may change while the program runs; those who use it through
// follow or moved learn of the change at once.
type Address struct {
	mu          sync.Mutex
	current     string
	untilMoved  context.Context // done when the address changes
	cancelMoved context.CancelFunc
	probe       net.Conn // opened by MoveIfReachable; the watch continues on it
	probedAt    time.Time
}

// NewAddress returns an Address with an initial value.
func NewAddress(address string) *Address {
	a := &Address{}
	a.Move(address)
	return a
}

// Move changes the address and cancels what waits for the old one. It returns false if the address is unchanged.
func (a *Address) Move(to string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == to {
		return false
	}
	if a.cancelMoved != nil {
		a.cancelMoved()
	}
	a.current = to
	a.untilMoved, a.cancelMoved = context.WithCancel(context.Background())
	return true
}

// MoveIfReachable changes the address once a connection to the new one has been established; the watch continues on
// that connection. If the connection fails, it returns an error and keeps the old address, since a mistyped or dead
// address would leave this forwarder with an ever older list. It returns false if the address is unchanged.
func (a *Address) MoveIfReachable(ctx context.Context, to string) (bool, error) {
	a.mu.Lock()
	unchanged := a.current == to
	a.mu.Unlock()
	if unchanged {
		return false, nil
	}
	dialer := net.Dialer{Timeout: agentConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		return false, fmt.Errorf("transport: discovery: %w", err)
	}
	a.closeProbe()
	a.mu.Lock()
	a.probe, a.probedAt = conn, time.Now()
	a.mu.Unlock()
	return a.Move(to), nil
}

// takeProbe returns the connection that MoveIfReachable opened, unless it has been unused for so long that the other
// side may have closed it.
func (a *Address) takeProbe(address string) net.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.probe == nil || a.current != address || time.Since(a.probedAt) > agentConnectTimeout {
		return nil
	}
	conn := a.probe
	a.probe = nil
	return conn
}

// closeProbe closes that connection if it was not taken.
func (a *Address) closeProbe() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.probe != nil {
		_ = a.probe.Close()
		a.probe = nil
	}
}

// moved returns a channel that is closed when the address changes.
func (a *Address) moved() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.untilMoved.Done()
}

// follow returns the address and a context that is done when ctx is or when the address changes. release frees the
// context.
func (a *Address) follow(ctx context.Context) (address string, untilMoved context.Context, release func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	untilMoved, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(a.untilMoved, cancel)
	return a.current, untilMoved, func() { stop(); cancel() }
}

// agentConn is a connection to the discovery agent, opened on demand. It is used by one goroutine.
type agentConn struct {
	address string
	conn    net.Conn
	parser  *protocol.Parser
	reused  bool           // an answer was read on the connection
	logger  zerolog.Logger // with the part that uses it
}

// setAddress changes the address and closes the connection to the old one. It returns false if the address is
// unchanged.
func (a *agentConn) setAddress(address string) bool {
	if a.address == address {
		return false
	}
	a.close()
	a.address = address
	return true
}

// use continues on a connection that is already open; nil is ignored.
func (a *agentConn) use(conn net.Conn) {
	if conn != nil {
		a.conn, a.parser, a.reused = conn, protocol.NewAnswerParser(maxListBytes), false
	}
}

// closeIfUnusable closes a connection on which something has arrived that was not asked for, or that has ended: what
// follows a request on it could be another request's answer.
func (a *agentConn) closeIfUnusable() {
	if a.conn == nil {
		return
	}
	received, err := peek(a.conn)
	if a.parser.Idle() && (errors.Is(err, syscall.EAGAIN) || inconclusive(err)) {
		return
	}
	if received > 0 || !a.parser.Idle() {
		a.logger.Warn().Bool("reused", a.reused).Msg("stray bytes, opening another connection")
	}
	a.close()
}

// connect opens a connection unless one is open and usable.
func (a *agentConn) connect(ctx context.Context) error {
	if a.closeIfUnusable(); a.conn != nil {
		return nil
	}
	dialer := net.Dialer{Timeout: agentConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", a.address)
	if err != nil {
		return fmt.Errorf("transport: discovery: %w", err)
	}
	a.use(conn)
	return nil
}

// roundTrip sends a request and waits for its answer. After an error the next call opens a new connection.
func (a *agentConn) roundTrip(ctx context.Context, request []byte, wait time.Duration) (*protocol.Message, error) {
	if err := a.connect(ctx); err != nil {
		return nil, err
	}
	conn := a.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	m, err := a.exchange(request, wait)
	if !stop() || err != nil || m.Close { // a connection that ctx has closed is unusable even if the answer arrived
		a.close()
	}
	if err != nil {
		return nil, fmt.Errorf("transport: discovery: %w", err)
	}
	a.reused = true
	return m, nil
}

func (a *agentConn) exchange(request []byte, wait time.Duration) (*protocol.Message, error) {
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

func (a *agentConn) close() {
	if a.conn != nil {
		_ = a.conn.Close()
		a.conn = nil
	}
}

// Discovery watches the discovery list.
type Discovery struct {
	Address      *Address
	KnownVersion int64 // version of the list that is held; negative for none
	Schedule     PollSchedule
	OnList       func(protocol.List)
	Logger       zerolog.Logger
}

// Watch passes every change to OnList until ctx is done. While discovery does not answer, Watch retries and the
// forwarder keeps the list that it has; nothing waits for an answer. When the address changes, Watch switches to it at
// once and requests the whole list, since versions are valid only at the address that issued them.
func (d *Discovery) Watch(ctx context.Context) error {
	a := &agentConn{logger: d.Logger.With().Str("part", "discovery").Logger()}
	defer a.close()
	defer d.Address.closeProbe()
	failing, moved := 0, false
	pause(ctx, d.Schedule.startDelay())
	for ctx.Err() == nil {
		address, untilMoved, release := d.Address.follow(ctx)
		if initial := a.address == ""; a.setAddress(address) {
			if !initial {
				d.KnownVersion, moved, failing = -1, true, 0
			}
			a.use(d.Address.takeProbe(address))
		}
		started := time.Now()
		list, err := d.fetch(untilMoved, a)
		switch {
		case untilMoved.Err() != nil && err != nil: // shutdown, or the address has changed
		case err != nil:
			if failing++; failing == 1 {
				d.Logger.Warn().Str("part", "discovery").Err(err).Msg("no answer, keeping the current list")
			}
			pause(untilMoved, d.Schedule.delayAfter(failing, time.Since(started), moved))
		default:
			if failing > 0 || moved {
				d.Logger.Info().Str("part", "discovery").Str("address", address).Int64("version", list.Index).Msg("answers")
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

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// fetch makes one call: a watch, or a request for the whole list, which does not wait for a change.
func (d *Discovery) fetch(ctx context.Context, a *agentConn) (protocol.List, error) {
	started, timeout := time.Now(), callTimeout
	if d.KnownVersion < 0 {
		timeout = listCallTimeout
		if a.reused { // changes that a watch asked for would be taken for the whole list
			a.close()
		}
	}
	if err := a.connect(ctx); err != nil {
		return protocol.List{}, err
	}
	remaining, reused := timeout-time.Since(started), a.reused
	m, err := a.roundTrip(ctx, protocol.AppendWatch(nil, a.address, d.KnownVersion, max(0, remaining-watchMargin)), remaining)
	if err != nil {
		return protocol.List{}, err
	}
	switch status := m.Status(); {
	case status == 200:
		list, err := protocol.ParseList(m.Body)
		if err == nil && reused && d.KnownVersion >= 0 {
			d.checkRepeated(list, a)
		}
		return list, err
	case status < 500 && d.KnownVersion >= 0: // unknown version; after 5xx it may still be known
		d.KnownVersion = -1
		return d.fetch(ctx, a)
	default:
		return protocol.List{}, fmt.Errorf("transport: discovery answered %d", status)
	}
}

// checkRepeated closes a connection whose answer, behind others, is not newer than the list that is held: it may be the
// answer of an earlier request once more. The list is used, since an agent may count anew; if it was an earlier one, the
// next request, on another connection and from its version on, brings the newest at once.
func (d *Discovery) checkRepeated(list protocol.List, a *agentConn) {
	older := list.Index < d.KnownVersion
	if older {
		a.logger.Warn().Int64("version", list.Index).Int64("held", d.KnownVersion).Msg("older list, asking again on another connection")
	}
	if older || list.Index == d.KnownVersion && (list.Snapshot || len(list.Endpoints) > 0) {
		a.close()
	}
}

// Reporter sends delivery reports to the platform until each is acknowledged.
type Reporter struct {
	Address *Address
	Logger  zerolog.Logger

	failing bool // used by Run's goroutine only
	mu      sync.Mutex
	queue   []PendingReport
	wake    chan struct{}
}

// PendingReport is a delivery report with a callback for its acknowledgement.
type PendingReport struct {
	protocol.DeliveryReport
	OnAcknowledged func()
	MaySend        func() (now, never bool) // called just before the report is sent; nil permits it
}

// NewReporter returns a Reporter that sends to the discovery agent.
func NewReporter(address *Address, logger zerolog.Logger) *Reporter {
	return &Reporter{Address: address, Logger: logger, wake: make(chan struct{}, 1)}
}

// Add queues a delivery report.
func (r *Reporter) Add(p PendingReport) {
	r.mu.Lock()
	r.queue = append(r.queue, p)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run sends reports until ctx is done, and then for up to flushTimeout those that are left. When the address changes,
// unacknowledged reports go to the new one.
func (r *Reporter) Run(ctx context.Context) error {
	a := &agentConn{logger: r.Logger.With().Str("part", "notices").Logger()}
	defer a.close()
	for {
		moved := r.Address.moved()
		retry := r.preconnect(ctx, a)
		select {
		case <-r.wake:
		case <-moved:
			continue
		case <-retry:
			continue
		case <-ctx.Done():
			flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
			defer cancel()
			for r.report(flushCtx, a) {
			}
			return nil
		}
		for r.report(ctx, a) {
		}
	}
}

// preconnect opens the connection before there is a report, so that a transient connect failure does not delay one.
// It returns a channel that fires when to try again, or nil if no retry is needed.
func (r *Reporter) preconnect(ctx context.Context, a *agentConn) (retry <-chan time.Time) {
	address, untilMoved, release := r.Address.follow(ctx)
	defer release()
	a.setAddress(address)
	if a.connect(untilMoved) != nil {
		return time.After(reconnectDelay)
	}
	return nil
}

// nextBatch moves the reports that may be sent now to the front of the queue and returns them. waiting reports whether
// others have to wait.
func (r *Reporter) nextBatch() (batch []PendingReport, waiting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var later []PendingReport
	for i, p := range r.queue {
		if len(batch) == maxReportBatch {
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
			later, waiting = append(later, p), true
		}
	}
	if len(batch) < len(r.queue) && (waiting || len(batch)+len(later) < len(r.queue)) {
		r.queue = append(append(make([]PendingReport, 0, len(batch)+len(later)), batch...), later...)
	}
	return batch, waiting
}

// report sends one batch from the queue. It returns true if there may be more to do.
func (r *Reporter) report(ctx context.Context, a *agentConn) bool {
	batch, waiting := r.nextBatch()
	if len(batch) == 0 && waiting && ctx.Err() == nil {
		pause(ctx, retryDelay)
		return true
	}
	if len(batch) == 0 || ctx.Err() != nil {
		return false
	}
	reports := make([]protocol.DeliveryReport, len(batch))
	for i, p := range batch {
		reports[i] = p.DeliveryReport
	}
	address, untilMoved, release := r.Address.follow(ctx)
	defer release()
	a.setAddress(address)
	request, err := protocol.AppendReport(nil, address, reports)
	var answer *protocol.Message
	if err == nil {
		answer, err = a.roundTrip(untilMoved, request, reportTimeout)
		a.close() // an acknowledgement that comes twice would acknowledge the next batch as well
	}
	if err == nil && answer.Status() != 204 {
		err = fmt.Errorf("transport: report answered %d", answer.Status())
	}
	if err != nil {
		if untilMoved.Err() == nil && !r.failing {
			r.failing = true
			r.Logger.Warn().Str("part", "notices").Int("notices", len(batch)).Err(err).Msg("not acknowledged, retrying")
		}
		pause(untilMoved, retryDelay)
		return true
	}
	if r.failing {
		r.failing = false
		r.Logger.Info().Str("part", "notices").Msg("acknowledged again")
	}
	r.mu.Lock()
	r.queue = r.queue[len(batch):] // nextBatch has moved them to the front
	if len(r.queue) == 0 {
		r.queue = nil // frees the array along with the reports
	}
	r.mu.Unlock()
	for _, p := range batch {
		p.OnAcknowledged()
	}
	return true
}
