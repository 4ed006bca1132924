package protocol

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// Endpoint is one entry of discovery's endpoint list.
type Endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"type"`
	Group   int64   `json:"group"`
	Status  Status  `json:"status"`
	Weight  float64 `json:"weight"`
	// StartedAt is when the endpoint's process started, in Unix milliseconds; 0 for long ago or unknown.
	StartedAt unixMilliseconds `json:"since_ms"`
}

// unixMilliseconds is a point in time. A value that is not a number is read as 0, since the list is of use without it.
type unixMilliseconds int64

// UnmarshalJSON implements json.Unmarshaler.
func (m *unixMilliseconds) UnmarshalJSON(text []byte) error {
	number := 0.0
	if json.Unmarshal(text, &number) != nil || number < 0 || number > maxUnixMilliseconds {
		number = 0
	}
	*m = unixMilliseconds(number)
	return nil
}

// maxUnixMilliseconds is the largest number up to which all whole ones have a float64 of their own.
const maxUnixMilliseconds = 1 << 53

// Status is the state of an endpoint in discovery's list.
type Status string

// The states of an endpoint; Deleted occurs only in a list of changes.
const (
	Serving  Status = "SERVING"
	Draining Status = "DRAINING"
	Deleted  Status = "DELETED"
)

// List is discovery's list of endpoints: a full snapshot or the entries that changed.
type List struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []Endpoint `json:"endpoints"`
}

// ParseList parses discovery's list.
func ParseList(body []byte) (List, error) {
	var list List
	if err := json.Unmarshal(body, &list); err != nil {
		return list, fmt.Errorf("%w: list: %w", ErrMalformed, err)
	}
	for _, endpoint := range list.Endpoints {
		if endpoint.Name == "" || endpoint.Status != Serving && endpoint.Status != Draining && endpoint.Status != Deleted {
			return list, fmt.Errorf("%w: list: endpoint %q with status %q", ErrMalformed, endpoint.Name, endpoint.Status)
		}
	}
	return list, nil
}

// AppendWatch appends the long-poll request for changes since a version; a version below zero requests the whole list.
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

// DeliveryReport reports the outcome of a message that was accepted and not delivered.
type DeliveryReport struct {
	ID         string
	Returned   bool // the message was refused and may be submitted again, after RetryAfter if that is set
	RetryAfter time.Duration
}

// AppendReport appends the request that sends delivery reports to the platform, one JSON object per line.
func AppendReport(b []byte, host string, reports []DeliveryReport) ([]byte, error) {
	var body []byte
	for _, report := range reports {
		line := struct {
			Message string `json:"message"`
			Outcome string `json:"outcome"`
			Retry   int64  `json:"retry_in_ms,omitempty"`
		}{Message: report.ID, Outcome: "given_up"}
		if report.Returned {
			line.Outcome, line.Retry = "handed_back", report.RetryAfter.Milliseconds()
		}
		text, err := json.Marshal(line)
		if err != nil {
			return nil, fmt.Errorf("protocol: encoding delivery report: %w", err)
		}
		body = append(append(body, text...), '\n')
	}
	b = append(append(b, "POST /reports HTTP/1.1\r\nHost: "...), host...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...), nil
}
