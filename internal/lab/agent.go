package lab

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// Notice is the end of a message as the platform is told of it.
type Notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	Retry   int64  `json:"retry_in_ms"`
}

// Agent is the platform's discovery on the forwarder's machine: it answers the watch and takes notices.
type Agent struct {
	// Told is called with each notice, unless it is nil; it must not wait.
	Told func(Notice)

	of *Agent                 // whose list this one tells, and to whom notices go; nil is its own
	at func(*Endpoint) string // where it says that an endpoint is; nil is where that listens

	server   *http.Server
	listener net.Listener
	mu       sync.Mutex
	index    int
	list     []*Endpoint
	changed  chan struct{} // closed with each change
	notices  []Notice
}

// Listen starts an agent that lists endpoints.
func (a *Agent) Listen(list ...*Endpoint) error {
	a.index, a.list, a.changed = 1, list, make(chan struct{})
	return a.listen()
}

// Beside starts an agent on another machine: it tells the same list with other addresses, and passes notices on.
func (a *Agent) Beside(at func(*Endpoint) string) (*Agent, error) {
	b := &Agent{of: a, at: at}
	return b, b.listen()
}

// source is the agent whose list this one tells.
func (a *Agent) source() *Agent {
	if a.of != nil {
		return a.of
	}
	return a
}

func (a *Agent) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	a.listener = l
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", a.servers)
	mux.HandleFunc("POST /reports", a.reports)
	a.server = &http.Server{Handler: mux}
	go func() { _ = a.server.Serve(l) }()
	return nil
}

// Address is where it listens.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Close ends it.
func (a *Agent) Close() { _ = a.server.Close() }

// List lists other endpoints from now on.
func (a *Agent) List(list ...*Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index++
	a.list = list
	close(a.changed)
	a.changed = make(chan struct{})
}

// Notices are those that came so far.
func (a *Agent) Notices() []Notice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Notice(nil), a.notices...)
}

// Listed is the list in discovery's form.
func (a *Agent) Listed() map[string]any {
	src := a.source()
	src.mu.Lock()
	defer src.mu.Unlock()
	entries := []any{}
	for _, p := range src.list {
		address := p.Address()
		if a.at != nil {
			address = a.at(p)
		}
		entries = append(entries, map[string]any{
			"name": p.Name, "address": address, "zone": cmp.Or(p.Zone, "z"), "type": "k", "group": p.Group, "status": p.Status,
			"weight": p.weight(), "since_ms": 0,
		})
	}
	return map[string]any{"index": src.index, "snapshot": true, "endpoints": entries}
}

func (a *Agent) servers(w http.ResponseWriter, r *http.Request) {
	since := r.URL.Query().Get("since")
	for src := a.source(); ; {
		src.mu.Lock()
		same, changed := since == fmt.Sprint(src.index), src.changed
		src.mu.Unlock()
		if !same {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	_ = json.NewEncoder(w).Encode(a.Listed())
}

func (a *Agent) reports(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var got []Notice
	for line := range bytes.Lines(body) {
		var n Notice
		if json.Unmarshal(line, &n) != nil {
			http.Error(w, "unreadable", http.StatusBadRequest)
			return
		}
		got = append(got, n)
	}
	src := a.source()
	src.mu.Lock()
	src.notices = append(src.notices, got...)
	src.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
	if src.Told != nil {
		for _, n := range got {
			src.Told(n)
		}
	}
}
