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

// Client asks the council, whoever leads it. Its methods may be called from any goroutine.
type Client struct {
	at     func(address string) *links.Peer
	local  string // this very process
	server *Server

	began    time.Time
	mu       sync.Mutex
	first    []Voter // of the settings
	founders []Voter
	route    *Route // nil: the voters are asked
	target   string // the voter that answered last
	leader   string // as the latest answer says
}

// NewClient asks founders, by ways that at gives; local and server are this process's own part.
func NewClient(founders []Voter, at func(address string) *links.Peer, local string, server *Server) *Client {
	return &Client{first: founders, founders: founders, at: at, local: local, server: server, began: time.Now()}
}

// UseRelays has requests go through relays, the preferred first; voters are asked only while none of them answers. It is called before Do.
func (c *Client) UseRelays(relays []Relay) {
	if len(relays) > 0 {
		c.route = NewRoute(relays)
	}
}

// UpdateVoters takes who the founders are by now; none is those of the settings. Those are asked behind them.
func (c *Client) UpdateVoters(list []Voter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.founders = slices.Clone(list)
	for _, f := range c.first {
		if !slices.ContainsFunc(list, func(x Voter) bool { return x.Name == f.Name }) {
			c.founders = append(c.founders, f)
		}
	}
}

const (
	tryFor      = 800 * time.Millisecond // of one voter, before the next is tried
	between     = 50 * time.Millisecond  // the mean pause behind the first round in which nobody did what was asked for
	betweenMost = 250 * time.Millisecond // the mean pause, however many there were
)

// Do asks until somebody has done what is asked for, or ctx ends.
func (c *Client) Do(ctx context.Context, req Request) (Response, error) {
	pauses := &backoff.ExponentialBackOff{InitialInterval: between, MaxInterval: betweenMost, Multiplier: 1.5, RandomizationFactor: 0.5}
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

// ErrNoRollout is given where who leads is of a version that knows no configuration.
var ErrNoRollout = errors.New("council: the leader tells no rollout")

// Rollout asks whoever leads how far the configuration is in force.
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

// round asks a relay, or all voters. Again says that another relay is to be asked at once.
func (c *Client) round(ctx context.Context, req Request) (r Response, done, again bool) {
	step, relay, patience := c.next()
	switch step {
	case AskRelay:
		return c.viaRelay(ctx, relay, patience, req)
	case Wait:
		return r, false, false
	default:
		r, done = c.viaVoters(ctx, req)
		return r, done, false
	}
}

// next is whom to ask.
func (c *Client) next() (RouteStep, Relay, time.Duration) {
	if c.route == nil {
		return AskVoters, Relay{}, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.route.Next(time.Since(c.began), rand.Float64())
}

// viaRelay asks one relay.
func (c *Client) viaRelay(ctx context.Context, relay Relay, patience time.Duration, req Request) (r Response, done, again bool) {
	if req.Command != nil { // it has to be decided first
		patience = max(patience, tryFor)
	}
	call, cancel := context.WithTimeout(ctx, patience)
	err := c.at(relay.Address).Call(call, "Council.Ask", req, &r)
	cancel()
	if ctx.Err() != nil {
		return r, err == nil && !r.elsewhere(), false // the caller had no time left: that says nothing of the relay
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch now := time.Since(c.began); {
	case errors.Is(err, context.DeadlineExceeded):
		c.route.TimedOut(relay, now, rand.Float64())
		return r, false, true
	case err != nil:
		c.route.Unreachable(relay, now, rand.Float64())
		return r, false, true
	case r.elsewhere():
		c.route.NoLeader(relay, now)
		return r, false, false
	}
	c.route.Answered(relay)
	c.leader = cmp.Or(r.Leader, c.leader)
	return r, true, false
}

// elsewhere says that whoever answered could not do what was asked for, and another may.
func (r Response) elsewhere() bool {
	return r.Refused == ErrNotLeader.Error() || r.Refused == ErrNoLeader.Error()
}

// viaVoters asks one voter after the other, and whom they name.
func (c *Client) viaVoters(ctx context.Context, req Request) (r Response, done bool) {
	c.mu.Lock()
	names, address := []string{c.target}, map[string]string{}
	for _, f := range c.founders {
		names = append(names, f.Name)
		address[f.Name] = f.Address
	}
	c.mu.Unlock()
	tried := map[string]bool{}
	for _, name := range names {
		for name != "" && !tried[name] && ctx.Err() == nil {
			tried[name] = true
			r, err := c.one(ctx, name, address[name], req)
			if err != nil {
				break
			}
			if !r.elsewhere() {
				c.mu.Lock()
				c.target, c.leader = name, cmp.Or(r.Leader, name)
				c.mu.Unlock()
				return r, true
			}
			for _, f := range r.Voters { // founders may have changed since this member last heard
				address[f.Name] = f.Address
			}
			name = r.Leader
		}
	}
	return r, false
}

// Leader is the voter that led when somebody was last asked; "" is none known.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *Client) one(ctx context.Context, name, address string, req Request) (r Response, err error) {
	if name == c.local && c.server != nil {
		return c.server.Handle(req), nil
	}
	if address == "" {
		return r, ErrUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, tryFor)
	defer cancel()
	return r, c.at(address).Call(ctx, "Council.Ask", req, &r)
}
