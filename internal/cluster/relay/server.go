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

// Config is the configuration of a relay.
type Config struct {
	Listen string // host:port to listen at, for members
	Voters []controlplane.Voter
	Logger zerolog.Logger
}

const (
	batchInterval    = 20 * time.Millisecond  // minimum time between the starts of two batches
	pollInterval     = 100 * time.Millisecond // maximum time between the starts of two batches, if no member renews
	batchTimeout     = time.Second            // how long to wait for the answer of the voters
	renewalTimeout   = 300 * time.Millisecond // how long a member's renewal waits for its reply; shorter than the member's own timeout
	commandTimeout   = 700 * time.Millisecond // the same for commands of members
	countersInterval = time.Minute
	maxCommands      = 64 // limit of concurrent commands; others are told to try elsewhere
)

// Server runs a Core. Its methods may be called from any goroutine.
type Server struct {
	cfg             Config
	listener        net.Listener
	peers           *links.Peers
	client          *controlplane.Client
	wake            chan struct{} // a renewal is pending
	runningCommands chan struct{} // one token per command in progress

	mu            sync.Mutex
	core          *Core
	lastTicket    Ticket
	replyChannels map[Ticket]chan controlplane.Response
	knownVoters   []controlplane.Voter // last given to the client
	reports       memberReports

	token     string // identifies this process among the relays
	startedAt time.Time
}

// Open starts listening, and fails if the address is in use. The server serves once Run is called.
func Open(cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	peers := &links.Peers{}
	return &Server{
		cfg: cfg, listener: listener, peers: peers, client: controlplane.NewClient(cfg.Voters, peers.At, "", nil), wake: make(chan struct{}, 1),
		runningCommands: make(chan struct{}, maxCommands), core: NewCore(), replyChannels: map[Ticket]chan controlplane.Response{},
		token: fmt.Sprintf("relay %016x", rand.Uint64()), startedAt: time.Now(),
	}, nil
}

// Address returns the address at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return links.Serve(s.listener, map[string]any{"Council": RPC{s, ctx}}) })
	group.Go(func() error { s.sendBatches(ctx); return nil })
	group.Go(func() error { s.logCounters(ctx); return nil })
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

// sendBatches sends batches to the voters, one at a time.
func (s *Server) sendBatches(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		more := s.sendBatch(ctx)
		if more {
			continue
		}
		poll := time.NewTimer(time.Until(began.Add(pollInterval)))
		select {
		case <-s.wake:
			gap := time.NewTimer(time.Until(began.Add(batchInterval)))
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

// sendBatch sends a batch and delivers its replies. It reports whether there is more to read at once.
func (s *Server) sendBatch(ctx context.Context) (more bool) {
	s.mu.Lock()
	req, ok := s.core.Batch()
	if len(req.Batch) > 0 {
		req.Relay, req.Summary = s.token, s.reports.summary(time.Since(s.startedAt))
	}
	s.mu.Unlock()
	if !ok {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, batchTimeout)
	r, err := s.client.Do(callCtx, req)
	cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	wasReady := s.core.Ready()
	if err != nil {
		s.deliverReplies(s.core.Failed())
	} else {
		s.deliverReplies(s.core.Answered(r))
	}
	if voters := s.core.Voters(); !slices.Equal(voters, s.knownVoters) {
		s.knownVoters = voters
		s.client.UpdateVoters(voters)
	}
	if !wasReady && s.core.Ready() {
		s.cfg.Logger.Info().Str("part", "relay").Uint64("revision", s.core.Revision()).Msg("control plane state is complete, serving members")
	}
	return s.core.More()
}

// deliverReplies sends replies to the waiting requests and drops those whose request has timed out. s.mu must be
// held.
func (s *Server) deliverReplies(replies []Reply) {
	for _, r := range replies {
		if channel := s.replyChannels[r.Ticket]; channel != nil {
			channel <- r.Response // buffered
			delete(s.replyChannels, r.Ticket)
		}
	}
}

// renew handles a member's renewal and waits for its reply.
func (s *Server) renew(ctx context.Context, req controlplane.Request) controlplane.Response {
	s.mu.Lock()
	s.lastTicket++
	ticket := s.lastTicket
	reply := make(chan controlplane.Response, 1)
	s.replyChannels[ticket] = reply
	s.deliverReplies(s.core.Renew(ticket, req))
	if req.Report != nil {
		s.reports.record(time.Since(s.startedAt), *req.Renew, *req.Report)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	timeout := time.NewTimer(renewalTimeout)
	defer timeout.Stop()
	select {
	case r := <-reply:
		return r
	case <-timeout.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.replyChannels, ticket)
	return noLeaderResponse()
}

// forwardCommand sends a command or a rollout request to the leader. Committed changes come from the mirror.
func (s *Server) forwardCommand(ctx context.Context, req controlplane.Request) controlplane.Response {
	select {
	case s.runningCommands <- struct{}{}:
		defer func() { <-s.runningCommands }()
	default:
		return noLeaderResponse()
	}
	callCtx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	r, err := s.client.Do(callCtx, controlplane.Request{Command: req.Command, Rollout: req.Rollout})
	if err != nil {
		return noLeaderResponse()
	}
	r.Leader = s.client.Leader()
	if req.Watch != nil {
		s.mu.Lock()
		r.Changes = s.core.Read(req.Watch).Changes
		s.mu.Unlock()
	}
	return r
}

// logCounters logs the counters periodically.
func (s *Server) logCounters(ctx context.Context) {
	every := time.NewTicker(countersInterval)
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

// RPC is the service for members. It is registered under the name that voters use, so that members call both alike.
type RPC struct {
	server *Server
	ctx    context.Context // context of the server's Run
}

// Ask answers a request.
func (c RPC) Ask(req controlplane.Request, response *controlplane.Response) error {
	switch {
	case req.Command != nil, req.Rollout:
		*response = c.server.forwardCommand(c.ctx, req)
	case req.Renew != nil:
		*response = c.server.renew(c.ctx, req)
	default:
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		*response = c.server.core.Read(req.Watch)
	}
	return nil
}
