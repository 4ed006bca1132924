// Package entry defines the configuration entries that a fleet shares: destinations with their endpoints, and rate
// limits of classes. An entry is checked before it is committed and again by each forwarder that applies it. The
// package is pure: it uses no clock, socket or goroutine.
package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"unicode"
)

// Entry is a configuration entry. Exactly one of its fields is set.
type Entry struct {
	Destination *Destination `json:"destination,omitempty"`
	Class       *Class       `json:"class,omitempty"`
}

// Destination is a destination with configured endpoints, which replace those that discovery lists for it.
type Destination struct {
	Number    int64      `json:"number"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one process of a destination.
type Endpoint struct {
	Name     string  `json:"name"`
	Address  string  `json:"address"` // host:port
	Zone     string  `json:"zone,omitempty"`
	Kind     string  `json:"kind,omitempty"`
	Capacity float64 `json:"capacity"`           // calls per second that it accepts from all forwarders together
	Draining bool    `json:"draining,omitempty"` // calls in progress continue, but no new ones are sent
}

// Class limits the rate of messages of a class.
type Class struct {
	Name string  `json:"name"`
	Rate float64 `json:"rate"` // messages per second that one forwarder accepts; messages above it are refused with a retry-after
}

// Limits of an entry.
const (
	MaxBytes     = 16 << 10 // encoded size
	maxEndpoints = 256
	maxNameBytes = 128
	maxRate      = 1e7 // calls or messages per second
)

const (
	destinationPrefix = "destination/"
	classPrefix       = "class/"
)

// ErrInvalid is wrapped by every error that reports an invalid entry.
var ErrInvalid = errors.New("entry: invalid entry")

// InvalidError reports which field of an entry is invalid. Field is named as in a settings file.
type InvalidError struct {
	Field   string
	Index   int // of the endpoint; -1 if the field is not part of an endpoint
	Problem string
}

func (e *InvalidError) Error() string {
	if e.Index >= 0 {
		return fmt.Sprintf("entry: endpoint %d: %s: %s", e.Index+1, e.Field, e.Problem)
	}
	return fmt.Sprintf("entry: %s: %s", e.Field, e.Problem)
}

// Unwrap returns ErrInvalid.
func (e *InvalidError) Unwrap() error { return ErrInvalid }

// Key returns the key of the entry. Setting an entry replaces the one with the same key.
func (e Entry) Key() string {
	switch {
	case e.Destination != nil:
		return DestinationKey(e.Destination.Number)
	case e.Class != nil:
		return ClassKey(e.Class.Name)
	}
	return ""
}

// DestinationKey returns the key of a destination's entry.
func DestinationKey(number int64) string {
	return destinationPrefix + strconv.FormatInt(number, 10)
}

// ClassKey returns the key of a class's entry.
func ClassKey(name string) string { return classPrefix + name }

// Check validates the entry. An error is an *InvalidError.
func (e Entry) Check() error {
	switch {
	case (e.Destination == nil) == (e.Class == nil):
		return &InvalidError{Field: "kind", Index: -1, Problem: "must be either a destination or a class"}
	case e.Destination != nil:
		return e.Destination.check()
	}
	return e.Class.check()
}

func (c Class) check() error {
	if problem := nameProblem(c.Name); problem != "" {
		return &InvalidError{Field: "class", Index: -1, Problem: problem}
	}
	if problem := rateProblem(c.Rate); problem != "" {
		return &InvalidError{Field: "rate", Index: -1, Problem: problem}
	}
	return nil
}

func (d Destination) check() error {
	if d.Number <= 0 {
		return &InvalidError{Field: "destination", Index: -1, Problem: fmt.Sprintf("%d is not a valid destination number", d.Number)}
	}
	if len(d.Endpoints) == 0 || len(d.Endpoints) > maxEndpoints {
		return &InvalidError{Field: "endpoint", Index: -1, Problem: fmt.Sprintf("%d endpoints; must be from 1 to %d", len(d.Endpoints), maxEndpoints)}
	}
	seen := make(map[string]bool, len(d.Endpoints))
	for i, endpoint := range d.Endpoints {
		if err := endpoint.check(i); err != nil {
			return err
		}
		if seen[endpoint.Name] {
			return &InvalidError{Field: "name", Index: i, Problem: fmt.Sprintf("duplicate name %q", endpoint.Name)}
		}
		seen[endpoint.Name] = true
	}
	return nil
}

func (e Endpoint) check(index int) error {
	invalid := func(field, problem string) error { return &InvalidError{Field: field, Index: index, Problem: problem} }
	if problem := nameProblem(e.Name); problem != "" {
		return invalid("name", problem)
	}
	if host, port, err := net.SplitHostPort(e.Address); err != nil || host == "" || port == "" || len(e.Address) > maxNameBytes {
		return invalid("address", fmt.Sprintf("%q is not a host:port address", e.Address))
	}
	for field, text := range map[string]string{"zone": e.Zone, "kind": e.Kind} {
		if problem := nameProblem(text); text != "" && problem != "" {
			return invalid(field, problem)
		}
	}
	if problem := rateProblem(e.Capacity); problem != "" {
		return invalid("capacity", problem)
	}
	return nil
}

// nameProblem describes why a name is invalid; "" if it is valid.
func nameProblem(name string) string {
	disallowed := func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }
	if name == "" || len(name) > maxNameBytes || strings.ContainsFunc(name, disallowed) {
		return fmt.Sprintf("%q is not a valid name: must have 1 to %d bytes and no spaces or unprintable characters", name, maxNameBytes)
	}
	return ""
}

// rateProblem describes why a rate is invalid; "" if it is valid.
func rateProblem(rate float64) string {
	if !(rate > 0 && rate <= maxRate) || math.IsNaN(rate) {
		return fmt.Sprintf("%v; must be above 0 and at most %g per second", rate, float64(maxRate))
	}
	return ""
}

// Encode returns the bytes to commit. It fails if Check does or if the entry is too large.
func (e Entry) Encode() ([]byte, error) {
	if err := e.Check(); err != nil {
		return nil, err
	}
	content, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	if len(content) > MaxBytes {
		return nil, &InvalidError{Field: "size", Index: -1, Problem: fmt.Sprintf("%d bytes; must be at most %d", len(content), MaxBytes)}
	}
	return content, nil
}

// Decode parses and checks an entry committed under a key. Unknown fields, which an entry of a later version may
// have, are an error: applying only part of an entry would not be what the operator asked for.
func Decode(key string, content []byte) (Entry, error) {
	if len(content) > MaxBytes {
		return Entry{}, &InvalidError{Field: "size", Index: -1, Problem: fmt.Sprintf("%d bytes; must be at most %d", len(content), MaxBytes)}
	}
	var e Entry
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return Entry{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if decoder.More() {
		return Entry{}, fmt.Errorf("%w: unexpected data after the entry", ErrInvalid)
	}
	if err := e.Check(); err != nil {
		return Entry{}, err
	}
	if e.Key() != key {
		return Entry{}, fmt.Errorf("%w: entry with key %q is stored under key %q", ErrInvalid, e.Key(), key)
	}
	return e, nil
}
