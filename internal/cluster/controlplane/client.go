package controlplane

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"mulleinbeam/internal/cluster/links"
)

// Client sends requests to the leader of the control plane, through relays or the voters. Its methods may be called
// from any goroutine.
type Client struct {
	dial      func(address string) *links.Peer
	localName string // this process's voter name, if it is one
	server    *Server

	started    time.Time
	mu         sync.Mutex
	configured []Voter // from the settings
	voters     []Voter
	route      *Route // nil: voters are asked directly
	lastVoter  string // the voter that answered last
	leader     string // as reported by the latest response
}

// NewClient returns a client that asks voters over the peers that at returns. local and server are the name and the
// Server of this process, if it is a voter itself.
func NewClient(voters []Voter, at func(address string) *links.Peer, local string, server *Server) *Client {
	return &Client{configured: voters, voters: voters, dial: at, localName: local, server: server, started: time.Now()}
}

// UseRelays sends requests through relays, the preferred one first; voters are asked only while no relay answers. It
// has to be called before Do.
func (c *Client) UseRelays(relays []Relay) {
	if len(relays) > 0 {
		c.route = NewRoute(relays)
	}
}

// UpdateVoters sets the current voters. Those from the settings are kept behind them as a fallback; an empty list means
// that only these are known.
func (c *Client) UpdateVoters(list []Voter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.voters = slices.Clone(list)
	for _, v := range c.configured {
		if !slices.ContainsFunc(list, func(x Voter) bool { return x.Name == v.Name }) {
			c.voters = append(c.voters, v)
		}
	}
}

const (
	voterTimeout  = 800 * time.Millisecond // timeout for one voter, before the next one is tried
	retryDelay    = 50 * time.Millisecond  // mean pause after the first round in which nobody handled the request
	maxRetryDelay = 250 * time.Millisecond // upper bound of the mean pause
)

// Do retries a request until it has been handled or ctx ends.
func (c *Client) Do(ctx context.Context, req Request) (Response, error) {
	pauses := &backoff.ExponentialBackOff{InitialInterval: retryDelay, MaxInterval: maxRetryDelay, Multiplier: 1.5, RandomizationFactor: 0.5}
	for ctx.Err() == nil {
		r, done, again := c.round(ctx, req)
		if done {
			return r, nil
		}
		if again {
			continue
		}
		select {
		case <-time.After(pauses.NextBackOff()):
		case <-ctx.Done():
		}
	}
	return Response{}, errors.Join(ErrNoLeader, ctx.Err())
}

// ErrNoRollout is returned if the leader runs a version without configuration entries.
var ErrNoRollout = errors.New("controlplane: the leader does not report a rollout")

// Rollout asks the leader at how many members the configuration is in force.
func (c *Client) Rollout(ctx context.Context) (Rollout, error) {
	r, err := c.Do(ctx, Request{Rollout: true})
	if err != nil {
		return Rollout{}, err
	}
	if r.Rollout == nil {
		return Rollout{}, ErrNoRollout
	}
	return *r.Rollout, nil
}

// round asks one relay, or all voters in turn. again is true if another relay should be asked at once.
func (c *Client) round(ctx context.Context, req Request) (r Response, done, again bool) {
	step, relay, timeout := c.nextTarget()
	switch step {
	case AskRelay:
		return c.viaRelay(ctx, relay, timeout, req)
	case Wait:
		return r, false, false
	default:
		r, done = c.viaVoters(ctx, req)
		return r, done, false
	}
}

// nextTarget returns whom to ask, and for how long to wait.
func (c *Client) nextTarget() (RouteStep, Relay, time.Duration) {
	if c.route == nil {
		return AskVoters, Relay{}, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.route.Next(time.Since(c.started), rand.Float64())
}

// viaRelay asks one relay.
func (c *Client) viaRelay(ctx context.Context, relay Relay, timeout time.Duration, req Request) (r Response, done, again bool) {
	if req.Command != nil { // commands have to be committed first
		timeout = max(timeout, voterTimeout)
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	err := c.dial(relay.Address).Call(call, "Council.Ask", req, &r)
	cancel()
	if ctx.Err() != nil {
		return r, err == nil && !r.refusedElsewhere(), false // the caller's own time ran out, which says nothing about the relay
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch now := time.Since(c.started); {
	case errors.Is(err, context.DeadlineExceeded):
		c.route.TimedOut(relay, now, rand.Float64())
		return r, false, true
	case err != nil:
		c.route.Unreachable(relay, now, rand.Float64())
		return r, false, true
	case r.refusedElsewhere():
		c.route.NoLeader(relay, now)
		return r, false, false
	}
	c.route.Answered(relay)
	c.leader = cmp.Or(r.Leader, c.leader)
	return r, true, false
}

// refusedElsewhere reports whether another process may be able to handle the request that this one refused.
func (r Response) refusedElsewhere() bool {
	return r.Refused == ErrNotLeader.Error() || r.Refused == ErrNoLeader.Error()
}

// viaVoters asks one voter after the other, following the leaders that they name.
func (c *Client) viaVoters(ctx context.Context, req Request) (r Response, done bool) {
	c.mu.Lock()
	names, address := []string{c.lastVoter}, map[string]string{}
	for _, v := range c.voters {
		names = append(names, v.Name)
		address[v.Name] = v.Address
	}
	c.mu.Unlock()
	tried := map[string]bool{}
	for _, name := range names {
		for name != "" && !tried[name] && ctx.Err() == nil {
			tried[name] = true
			r, err := c.askVoter(ctx, name, address[name], req)
			if err != nil {
				break
			}
			if !r.refusedElsewhere() {
				c.mu.Lock()
				c.lastVoter, c.leader = name, cmp.Or(r.Leader, name)
				c.mu.Unlock()
				return r, true
			}
			for _, v := range r.Voters { // the voters may have changed since this member was last updated
				address[v.Name] = v.Address
			}
			name = r.Leader
		}
	}
	return r, false
}

// Leader returns the leader that the latest response named, or "".
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *Client) askVoter(ctx context.Context, name, address string, req Request) (r Response, err error) {
	if name == c.localName && c.server != nil {
		return c.server.Handle(req), nil
	}
	if address == "" {
		return r, ErrUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, voterTimeout)
	defer cancel()
	return r, c.dial(address).Call(ctx, "Council.Ask", req, &r)
}
