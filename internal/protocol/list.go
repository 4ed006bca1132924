package protocol

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// Endpoint is one line of discovery's list.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"type"`
	Group   int64   `json:"group"`
	Status  Status  `json:"status"`
	Weight  float64 `json:"weight"`
}

// Status is what the list says of an endpoint.
type Status string

// The states of an endpoint; Deleted stands only among changes.
const (
	Serving  Status = "SERVING"
	Draining Status = "DRAINING"
	Deleted  Status = "DELETED"
)

// List is the list of endpoints, or the entries of it that changed.
type List struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// ParseList reads discovery's list.
func ParseList(body []byte) (List, error) {
	var d List
	if err := json.Unmarshal(body, &d); err != nil {
		return d, fmt.Errorf("%w: list: %w", ErrMalformed, err)
	}
	for _, p := range d.Endpoints {
		if p.Name == "" || p.Status != Serving && p.Status != Draining && p.Status != Deleted {
			return d, fmt.Errorf("%w: list: endpoint %q with status %q", ErrMalformed, p.Name, p.Status)
		}
	}
	return d, nil
}

// AppendWatch writes the request for what is newer than a version; a version below zero asks for the whole list.
func AppendWatch(b []byte, host string, since int64, wait time.Duration) []byte {
	b = append(b, "GET /v1/servers"...)
	if since >= 0 {
		b = append(b, "?since="...)
		b = strconv.AppendInt(b, since, 10)
		b = append(b, "&timeout_ms="...)
		b = strconv.AppendInt(b, wait.Milliseconds(), 10)
	}
	return append(append(append(b, " HTTP/1.1\r\nHost: "...), host...), "\r\n\r\n"...)
}

// DeliveryReport is the end of a message that was taken on and not delivered.
type DeliveryReport struct {
	ID         string
	Returned   bool // refused: it may be handed in again, after RetryAfter if that is set
	RetryAfter time.Duration
}

// AppendReport writes the request that tells the platform of notices, one JSON object a line.
func AppendReport(b []byte, host string, notices []DeliveryReport) ([]byte, error) {
	var body []byte
	for _, n := range notices {
		line := struct {
			Message string `json:"message"`
			Outcome string `json:"outcome"`
			Retry   int64  `json:"retry_in_ms,omitempty"`
		}{Message: n.ID, Outcome: "given_up"}
		if n.Returned {
			line.Outcome, line.Retry = "handed_back", n.RetryAfter.Milliseconds()
		}
		text, err := json.Marshal(line)
		if err != nil {
			return nil, fmt.Errorf("protocol: notice: %w", err)
		}
		body = append(append(body, text...), '\n')
	}
	b = append(append(b, "POST /reports HTTP/1.1\r\nHost: "...), host...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...), nil
}
