package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is an endpoint in the platform's list.
type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// notice is a delivery report that the platform received.
type notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	at      time.Time
}

// agent plays the platform's discovery agent: it answers the whole list at once, a watch with the whole list as soon as it
// has changed, or with no entries once its time is over, and takes delivery reports.
type agent struct {
	run     *run
	address string

	mu      sync.Mutex
	index   int64
	list    []entry
	changed chan struct{}
	notices []notice
}

func startAgent(r *run, list ...entry) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{run: r, address: l.Addr().String(), index: 1, list: list, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", a.servers)
	mux.HandleFunc("POST /reports", a.reports)
	go func() { _ = http.Serve(l, mux) }()
	return a, nil
}

// set replaces the list.
func (a *agent) set(list ...entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index++
	a.list = list
	close(a.changed)
	a.changed = make(chan struct{})
}

// known returns the list in discovery's form.
func (a *agent) known() map[string]any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return map[string]any{"index": a.index, "snapshot": true, "endpoints": append([]entry{}, a.list...)}
}

func (a *agent) servers(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err == nil && since >= 0 {
		ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		timeout := time.NewTimer(time.Duration(min(ms, 60000)) * time.Millisecond)
		defer timeout.Stop()
		for over := false; !over; {
			a.mu.Lock()
			index, changed := a.index, a.changed
			a.mu.Unlock()
			if index > since {
				break
			}
			select {
			case <-changed:
			case <-timeout.C:
				over = true
				_ = json.NewEncoder(w).Encode(map[string]any{"index": index, "snapshot": false, "endpoints": []entry{}})
				return
			case <-r.Context().Done():
				return
			}
		}
	}
	_ = json.NewEncoder(w).Encode(a.known())
}

func (a *agent) reports(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var received []notice
	for line := range bytes.Lines(body) {
		n := notice{at: time.Now()}
		if json.Unmarshal(line, &n) != nil {
			http.Error(w, "invalid report", http.StatusBadRequest)
			return
		}
		received = append(received, n)
		a.run.note("notice: %s %s", n.Message, n.Outcome)
	}
	a.mu.Lock()
	a.notices = append(a.notices, received...)
	a.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// reported returns when the first notice of each message came.
func (a *agent) reported() map[string]time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]time.Time{}
	for _, n := range a.notices {
		if _, known := out[n.Message]; !known {
			out[n.Message] = n.at
		}
	}
	return out
}
