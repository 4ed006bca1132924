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

// Notice is a delivery report: the outcome of a message as the forwarder reports it to the platform.
type Notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	Retry   int64  `json:"retry_in_ms"`
}

// Agent simulates the platform's discovery agent on the forwarder's machine: it answers watches of the endpoint list
// and receives delivery reports.
type Agent struct {
	// Told is called with each delivery report, unless it is nil; it must not block.
	Told func(Notice)
	// Strays, if set, writes bytes that belong to no request behind some of the answers.
	Strays *Strays

	primary   *Agent                 // the agent that holds the list and the reports; nil for this one
	addressOf func(*Endpoint) string // returns the address to list; nil for the one listened on

	server   *http.Server
	listener net.Listener
	mu       sync.Mutex
	index    int
	list     []*Endpoint
	changed  chan struct{} // closed at each change of the list
	notices  []Notice

	watchedIndex int           // index that the latest watch had
	watched      chan struct{} // closed at the next watch that has the current index
}

// Listen starts the agent with a list of endpoints.
func (a *Agent) Listen(list ...*Endpoint) error {
	a.index, a.list, a.changed, a.watched = 1, list, make(chan struct{}), make(chan struct{})
	return a.listen()
}

// Beside starts an agent of another machine: it serves the same list with other addresses, and records delivery
// reports in this one.
func (a *Agent) Beside(addressOf func(*Endpoint) string) (*Agent, error) {
	other := &Agent{primary: a, addressOf: addressOf}
	return other, other.listen()
}

// source returns the agent that holds the endpoint list.
func (a *Agent) source() *Agent {
	if a.primary != nil {
		return a.primary
	}
	return a
}

// listen starts the HTTP server on a loopback address.
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
	serving := l
	if a.Strays != nil {
		serving = strayListener{l, a.Strays}
	}
	go func() { _ = a.server.Serve(serving) }()
	return nil
}

// Address returns the address on which the agent listens.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Close stops the agent.
func (a *Agent) Close() { _ = a.server.Close() }

// List replaces the list of endpoints.
func (a *Agent) List(list ...*Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index++
	a.list = list
	close(a.changed)
	a.changed = make(chan struct{})
}

// AwaitWatch waits until the program watches for what follows the current list: it has passed on that list by then.
func (a *Agent) AwaitWatch() {
	for {
		a.mu.Lock()
		reached, watched := a.watchedIndex == a.index, a.watched
		a.mu.Unlock()
		if reached {
			return
		}
		<-watched
	}
}

// noteWatch records a watch for what follows the current list. The caller holds a.mu.
func (a *Agent) noteWatch() {
	a.watchedIndex = a.index
	close(a.watched)
	a.watched = make(chan struct{})
}

// Notices returns the delivery reports received so far.
func (a *Agent) Notices() []Notice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Notice(nil), a.notices...)
}

// Listed returns the endpoint list in the format of discovery.
func (a *Agent) Listed() map[string]any {
	source := a.source()
	source.mu.Lock()
	defer source.mu.Unlock()
	entries := []any{}
	for _, p := range source.list {
		address := p.Address()
		if a.addressOf != nil {
			address = a.addressOf(p)
		}
		entries = append(entries, map[string]any{
			"name": p.Name, "address": address, "zone": cmp.Or(p.Zone, "z"), "type": "k", "group": p.Group, "status": p.Status,
			"weight": p.weight(), "since_ms": 0,
		})
	}
	return map[string]any{"index": source.index, "snapshot": true, "endpoints": entries}
}

// servers answers a watch: it responds once the list differs from the index that the client has.
func (a *Agent) servers(w http.ResponseWriter, r *http.Request) {
	since := r.URL.Query().Get("since")
	for source := a.source(); ; {
		source.mu.Lock()
		same, changed := since == fmt.Sprint(source.index), source.changed
		if same {
			source.noteWatch()
		}
		source.mu.Unlock()
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

// reports receives delivery reports, one JSON object a line.
func (a *Agent) reports(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var received []Notice
	for line := range bytes.Lines(body) {
		var n Notice
		if json.Unmarshal(line, &n) != nil {
			http.Error(w, "invalid delivery report", http.StatusBadRequest)
			return
		}
		received = append(received, n)
	}
	source := a.source()
	source.mu.Lock()
	source.notices = append(source.notices, received...)
	source.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
	if source.Told != nil {
		for _, n := range received {
			source.Told(n)
		}
	}
}
