package council

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"mulleinbeam/internal/cluster/links"
)

// Client asks the council, whoever leads it. Its methods may be called from any goroutine.
type Client struct {
	at     func(address string) *links.Peer
	local  string // this very process
	server *Server

	mu       sync.Mutex
	first    []Founder // of the settings
	founders []Founder
	leader   string
}

// NewClient asks founders, by ways that at gives; local and server are this process's own part.
func NewClient(founders []Founder, at func(address string) *links.Peer, local string, server *Server) *Client {
	return &Client{first: founders, founders: founders, at: at, local: local, server: server}
}

// Know takes who the founders are by now; none is those of the settings. Those are asked behind them.
func (c *Client) Know(list []Founder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.founders = slices.Clone(list)
	for _, f := range c.first {
		if !slices.ContainsFunc(list, func(x Founder) bool { return x.Name == f.Name }) {
			c.founders = append(c.founders, f)
		}
	}
}

const (
	tryFor  = 800 * time.Millisecond // of one founder, before the next is tried
	between = 50 * time.Millisecond  // two rounds over all founders
)

// Do asks until somebody who leads has answered, or ctx ends.
func (c *Client) Do(ctx context.Context, req Request) (Response, error) {
	for {
		c.mu.Lock()
		names, address := []string{c.leader}, map[string]string{}
		for _, f := range c.founders {
			names = append(names, f.Name)
			address[f.Name] = f.Address
		}
		c.mu.Unlock()
		tried := map[string]bool{}
		for _, name := range names {
			for name != "" && !tried[name] && ctx.Err() == nil { // and whom it names
				tried[name] = true
				r, err := c.one(ctx, name, address[name], req)
				if err != nil {
					break
				}
				if r.Refused != ErrNotLeader.Error() && r.Refused != ErrNoLeader.Error() {
					c.mu.Lock()
					c.leader = name
					c.mu.Unlock()
					return r, nil
				}
				for _, f := range r.Council { // founders may have changed since this member last heard
					address[f.Name] = f.Address
				}
				name = r.Leader
			}
		}
		select {
		case <-time.After(between):
		case <-ctx.Done():
			return Response{}, errors.Join(ErrNoLeader, ctx.Err())
		}
	}
}

// Leader is the founder that led when it was last asked; "" is none known.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

func (c *Client) one(ctx context.Context, name, address string, req Request) (r Response, err error) {
	if name == c.local && c.server != nil {
		return c.server.Ask(req), nil
	}
	if address == "" {
		return r, ErrUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, tryFor)
	defer cancel()
	return r, c.at(address).Call(ctx, "Council.Ask", req, &r)
}
