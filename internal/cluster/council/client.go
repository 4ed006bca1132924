package council

import (
	"context"
	"errors"
	"sync"
	"time"

	"mulleinbeam/internal/cluster/links"
)

// Client asks the council, whoever leads it. Its methods may be called from any goroutine.
type Client struct {
	founders []string
	peers    map[string]*links.Peer
	local    string // the founder in this very process, "" for none
	server   *Server

	mu     sync.Mutex
	leader string
}

// NewClient asks founders by name; local is the one in this process, if there is one.
func NewClient(founders []string, peers map[string]*links.Peer, local string, server *Server) *Client {
	return &Client{founders: founders, peers: peers, local: local, server: server}
}

const (
	tryFor  = 800 * time.Millisecond // of one founder, before the next is tried
	between = 50 * time.Millisecond  // two rounds over all founders
)

// Do asks until somebody who leads has answered, or ctx ends.
func (c *Client) Do(ctx context.Context, req Request) (Response, error) {
	for {
		c.mu.Lock()
		first := c.leader
		c.mu.Unlock()
		tried := map[string]bool{}
		for _, name := range append([]string{first}, c.founders...) {
			for name != "" && !tried[name] && ctx.Err() == nil { // and whom it names
				tried[name] = true
				r, err := c.one(ctx, name, req)
				if err != nil {
					break
				}
				if r.Refused != ErrNotLeader.Error() && r.Refused != ErrNoLeader.Error() {
					c.mu.Lock()
					c.leader = name
					c.mu.Unlock()
					return r, nil
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

func (c *Client) one(ctx context.Context, name string, req Request) (r Response, err error) {
	if name == c.local && c.server != nil {
		return c.server.Ask(req), nil
	}
	peer := c.peers[name]
	if peer == nil {
		return r, ErrUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, tryFor)
	defer cancel()
	return r, peer.Call(ctx, "Council.Ask", req, &r)
}
