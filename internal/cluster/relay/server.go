package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/links"
)

// Config is a relay's.
type Config struct {
	Listen string // host:port that members dial
	Voters []controlplane.Voter
	Logger zerolog.Logger
}

const (
	batchEvery   = 20 * time.Millisecond  // between the beginnings of two batches, at the least
	pollEvery    = 100 * time.Millisecond // the same while no member asks
	batchFor     = time.Second            // how long the voters' answer to a batch is waited for
	answerFor    = 300 * time.Millisecond // how long a member's renewal waits: less than the member's own patience
	commandFor   = 700 * time.Millisecond // the same of its commands
	reportEvery  = time.Minute
	mostCommands = 64 // under way at once; others are sent elsewhere
)

// Server drives a Core. Its methods may be called from any goroutine.
type Server struct {
	cfg      Config
	listener net.Listener
	peers    *links.Peers
	client   *controlplane.Client
	wake     chan struct{}
	commands chan struct{} // one for each under way

	mu      sync.Mutex
	core    *Core
	ticket  Ticket
	replies map[Ticket]chan controlplane.Response
	voters  []controlplane.Voter // that the client was told of
	reports reports

	token string // tells this process from other relays
	began time.Time
}

// Open listens; nothing runs yet. An address in use is an error.
func Open(cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	peers := &links.Peers{}
	return &Server{
		cfg: cfg, listener: listener, peers: peers, client: controlplane.NewClient(cfg.Voters, peers.At, "", nil), wake: make(chan struct{}, 1),
		commands: make(chan struct{}, mostCommands), core: NewCore(), replies: map[Ticket]chan controlplane.Response{},
		token: fmt.Sprintf("relay %016x", rand.Uint64()), began: time.Now(),
	}, nil
}

// Address is where it listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return links.Serve(s.listener, map[string]any{"Council": RPC{s, ctx}}) })
	group.Go(func() error { s.ask(ctx); return nil })
	group.Go(func() error { s.report(ctx); return nil })
	group.Go(func() error {
		<-ctx.Done()
		err := s.listener.Close()
		s.peers.Close()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		return err
	})
	if err := group.Wait(); err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	return nil
}

// ask sends one batch behind the other.
func (s *Server) ask(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		more := s.askOnce(ctx)
		if more {
			continue
		}
		poll := time.NewTimer(time.Until(began.Add(pollEvery)))
		select {
		case <-s.wake:
			gap := time.NewTimer(time.Until(began.Add(batchEvery)))
			select {
			case <-gap.C:
			case <-ctx.Done():
			}
			gap.Stop()
		case <-poll.C:
		case <-ctx.Done():
		}
		poll.Stop()
	}
}

// askOnce sends a batch and gives its replies; true says that there is more to ask for at once.
func (s *Server) askOnce(ctx context.Context) (more bool) {
	s.mu.Lock()
	req, some := s.core.Batch()
	if len(req.Batch) > 0 {
		req.Relay, req.Summary = s.token, s.reports.summary(time.Since(s.began))
	}
	s.mu.Unlock()
	if !some {
		return false
	}
	call, cancel := context.WithTimeout(ctx, batchFor)
	r, err := s.client.Do(call, req)
	cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.core.Ready()
	if err != nil {
		s.reply(s.core.Failed())
	} else {
		s.reply(s.core.Answered(r))
	}
	if voters := s.core.Voters(); !slices.Equal(voters, s.voters) {
		s.voters = voters
		s.client.UpdateVoters(voters)
	}
	if !was && s.core.Ready() {
		s.cfg.Logger.Info().Str("part", "relay").Uint64("revision", s.core.Revision()).Msg("has all that is decided, and serves")
	}
	return s.core.More()
}

// reply hands replies to those who wait for them; s.mu is held. One that nobody waits for any more is dropped.
func (s *Server) reply(replies []Reply) {
	for _, r := range replies {
		if to := s.replies[r.Ticket]; to != nil {
			to <- r.Response // it has room for one
			delete(s.replies, r.Ticket)
		}
	}
}

// renew waits for the reply to a member's renewal.
func (s *Server) renew(ctx context.Context, req controlplane.Request) controlplane.Response {
	s.mu.Lock()
	s.ticket++
	mine := s.ticket
	answer := make(chan controlplane.Response, 1)
	s.replies[mine] = answer
	s.reply(s.core.Renew(mine, req))
	if req.Report != nil {
		s.reports.take(time.Since(s.began), *req.Renew, *req.Report)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	late := time.NewTimer(answerFor)
	defer late.Stop()
	select {
	case r := <-answer:
		return r
	case <-late.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.replies, mine)
	return refusal()
}

// command carries a command, or an operator's question, to the leader. What has been decided is told from the mirror.
func (s *Server) command(ctx context.Context, req controlplane.Request) controlplane.Response {
	select {
	case s.commands <- struct{}{}:
		defer func() { <-s.commands }()
	default:
		return refusal()
	}
	call, cancel := context.WithTimeout(ctx, commandFor)
	defer cancel()
	r, err := s.client.Do(call, controlplane.Request{Command: req.Command, Rollout: req.Rollout})
	if err != nil {
		return refusal()
	}
	r.Leader = s.client.Leader()
	if req.Watch != nil {
		s.mu.Lock()
		r.Changes = s.core.Read(req.Watch).Changes
		s.mu.Unlock()
	}
	return r
}

// report logs the counters now and then.
func (s *Server) report(ctx context.Context) {
	every := time.NewTicker(reportEvery)
	defer every.Stop()
	for {
		select {
		case <-every.C:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		n, revision := s.core.Counters(), s.core.Revision()
		s.mu.Unlock()
		s.cfg.Logger.Info().Str("part", "relay").Uint64("revision", revision).Uint64("renewals", n.Renewals).Uint64("batches", n.Batches).
			Uint64("failed", n.Failed).Uint64("replaced", n.Replaced).Uint64("malformed", n.Malformed).Msg("counters")
	}
}

// RPC is what members call; it is registered under the voters' name, so that members ask both alike.
type RPC struct {
	s   *Server
	ctx context.Context // of the server's Run
}

// Ask answers a request.
func (c RPC) Ask(req controlplane.Request, out *controlplane.Response) error {
	switch {
	case req.Command != nil, req.Rollout:
		*out = c.s.command(c.ctx, req)
	case req.Renew != nil:
		*out = c.s.renew(c.ctx, req)
	default:
		c.s.mu.Lock()
		defer c.s.mu.Unlock()
		*out = c.s.core.Read(req.Watch)
	}
	return nil
}
