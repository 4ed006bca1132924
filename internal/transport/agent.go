package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"time"

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

// agent is a connection to discovery's agent on this machine, opened when needed. One goroutine uses it.
type agent struct {
	address string
	conn    net.Conn
	parser  *protocol.Parser
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
	defer stop()
	m, err := a.exchange(request, wait)
	if err != nil || m.Close {
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
			if m := a.parser.End(); m != nil && !m.Cut && errors.Is(err, io.EOF) {
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
	Address string
	Since   int64 // the version known; below zero for none
	Learn   func(protocol.Directory)
	Logger  *log.Logger
}

// Watch passes on every change until ctx ends. While discovery is silent it keeps asking; nothing waits for it.
func (d *Directory) Watch(ctx context.Context) error {
	a := &agent{address: d.Address}
	defer a.close()
	failing := false
	for ctx.Err() == nil {
		list, err := d.next(ctx, a)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			if !failing {
				d.Logger.Printf("directory: no answer, the list held stands: %v", err)
			}
			failing = true
			select {
			case <-time.After(retryPause):
			case <-ctx.Done():
			}
			continue
		}
		if failing {
			d.Logger.Printf("directory: answers again, version %d", list.Index)
		}
		failing = false
		d.Since = list.Index
		if list.Whole || len(list.Providers) > 0 {
			d.Learn(list)
		}
	}
	return nil
}

func (d *Directory) next(ctx context.Context, a *agent) (protocol.Directory, error) {
	request := protocol.AppendWatch(nil, d.Address, d.Since, watchFor)
	m, err := a.do(ctx, request, watchFor+watchSlack)
	if err != nil {
		return protocol.Directory{}, err
	}
	if m.Status() != 200 {
		d.Since = -1 // a version that it does not know any more: the whole list
		return protocol.Directory{}, fmt.Errorf("transport: discovery answered %d", m.Status())
	}
	return protocol.ParseDirectory(m.Body)
}

// Reporter sends notices to the platform until each is acknowledged.
type Reporter struct {
	Address string
	Logger  *log.Logger

	mu    sync.Mutex
	queue []Pending
	wake  chan struct{}
}

// Pending is a notice with what to do once it is acknowledged.
type Pending struct {
	protocol.Notice
	Done func()
}

// NewReporter reports to discovery's agent.
func NewReporter(address string, logger *log.Logger) *Reporter {
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

// Run reports until ctx ends, and then once more what is left.
func (r *Reporter) Run(ctx context.Context) error {
	a := &agent{address: r.Address}
	defer a.close()
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushFor)
			defer cancel()
			r.report(last, a)
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
	request, err := protocol.AppendReport(nil, r.Address, notices)
	var m *protocol.Message
	if err == nil {
		m, err = a.do(ctx, request, reportFor)
	}
	if err == nil && m.Status() != 204 {
		err = fmt.Errorf("transport: report answered %d", m.Status())
	}
	if err != nil {
		if ctx.Err() == nil {
			r.Logger.Printf("notices: %d not acknowledged, sent again: %v", len(batch), err)
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
		return true
	}
	r.mu.Lock()
	r.queue = r.queue[len(batch):]
	r.mu.Unlock()
	for _, p := range batch {
		p.Done()
	}
	return true
}
