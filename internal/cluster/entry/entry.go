// Package entry defines the configuration entries that a fleet decides in common: destinations with their endpoints, and limits of classes.
// An entry is checked before it is committed and again by every forwarder that puts it into force. The package is pure: no clock, no socket,
// no goroutine.
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

// Entry is one configuration entry; exactly one of its fields is set.
type Entry struct {
	Destination *Destination `json:"destination,omitempty"`
	Class       *Class       `json:"class,omitempty"`
}

// Destination is a destination whose endpoints are configured. They replace those that discovery lists for it.
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
	Capacity float64 `json:"capacity"`           // calls a second that it takes from all forwarders together
	Draining bool    `json:"draining,omitempty"` // calls that are out go on, and no new ones are made
}

// Class limits the messages of a class.
type Class struct {
	Name string  `json:"name"`
	Rate float64 `json:"rate"` // messages a second that one forwarder takes on; what is above is refused with a time to come again
}

// Bounds of an entry.
const (
	MaxBytes     = 16 << 10 // encoded
	maxEndpoints = 256
	maxName      = 128
	maxRate      = 1e7 // calls or messages a second
)

const (
	destinationPrefix = "destination/"
	classPrefix       = "class/"
)

// ErrInvalid is wrapped by every error that says why an entry can't be used.
var ErrInvalid = errors.New("entry: not usable")

// InvalidError tells which field of an entry can't be used. Field is a path as in a settings file, such as endpoint.address.
type InvalidError struct {
	Field   string
	Index   int // of the endpoint; -1 is none
	Problem string
}

func (e *InvalidError) Error() string {
	if e.Index >= 0 {
		return fmt.Sprintf("entry: endpoint %d: %s: %s", e.Index+1, e.Field, e.Problem)
	}
	return fmt.Sprintf("entry: %s: %s", e.Field, e.Problem)
}

// Unwrap is ErrInvalid.
func (e *InvalidError) Unwrap() error { return ErrInvalid }

// Key names the entry; an entry that is set replaces the one with its key.
func (e Entry) Key() string {
	switch {
	case e.Destination != nil:
		return DestinationKey(e.Destination.Number)
	case e.Class != nil:
		return ClassKey(e.Class.Name)
	}
	return ""
}

// DestinationKey is the key of a destination's entry.
func DestinationKey(number int64) string {
	return destinationPrefix + strconv.FormatInt(number, 10)
}

// ClassKey is the key of a class's entry.
func ClassKey(name string) string { return classPrefix + name }

// Check says why an entry can't be used, as an *Invalid; nil is none.
func (e Entry) Check() error {
	switch {
	case (e.Destination == nil) == (e.Class == nil):
		return &InvalidError{Field: "kind", Index: -1, Problem: "it is neither a destination nor a class, or both"}
	case e.Destination != nil:
		return e.Destination.check()
	}
	return e.Class.check()
}

func (c Class) check() error {
	if what := badName(c.Name); what != "" {
		return &InvalidError{Field: "class", Index: -1, Problem: what}
	}
	if what := badRate(c.Rate); what != "" {
		return &InvalidError{Field: "rate", Index: -1, Problem: what}
	}
	return nil
}

func (d Destination) check() error {
	if d.Number <= 0 {
		return &InvalidError{Field: "destination", Index: -1, Problem: fmt.Sprintf("%d is no number of a destination", d.Number)}
	}
	if len(d.Endpoints) == 0 || len(d.Endpoints) > maxEndpoints {
		return &InvalidError{Field: "endpoint", Index: -1, Problem: fmt.Sprintf("%d of them; from 1 to %d are possible", len(d.Endpoints), maxEndpoints)}
	}
	seen := make(map[string]bool, len(d.Endpoints))
	for i, endpoint := range d.Endpoints {
		if err := endpoint.check(i); err != nil {
			return err
		}
		if seen[endpoint.Name] {
			return &InvalidError{Field: "name", Index: i, Problem: fmt.Sprintf("%q is named twice", endpoint.Name)}
		}
		seen[endpoint.Name] = true
	}
	return nil
}

func (e Endpoint) check(index int) error {
	bad := func(field, what string) error { return &InvalidError{Field: field, Index: index, Problem: what} }
	if what := badName(e.Name); what != "" {
		return bad("name", what)
	}
	if host, port, err := net.SplitHostPort(e.Address); err != nil || host == "" || port == "" || len(e.Address) > maxName {
		return bad("address", fmt.Sprintf("%q is no host:port", e.Address))
	}
	for field, text := range map[string]string{"zone": e.Zone, "kind": e.Kind} {
		if what := badName(text); text != "" && what != "" {
			return bad(field, what)
		}
	}
	if what := badRate(e.Capacity); what != "" {
		return bad("capacity", what)
	}
	return nil
}

// badName says why a name can't be used; "" is nothing.
func badName(name string) string {
	unusable := func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }
	if name == "" || len(name) > maxName || strings.ContainsFunc(name, unusable) {
		return fmt.Sprintf("%q is no name: 1 to %d bytes without spaces", name, maxName)
	}
	return ""
}

// badRate says why a rate can't be used; "" is nothing.
func badRate(rate float64) string {
	if !(rate > 0 && rate <= maxRate) || math.IsNaN(rate) {
		return fmt.Sprintf("%v; above 0 and up to %g a second is possible", rate, float64(maxRate))
	}
	return ""
}

// Encode gives the bytes that are committed. An entry that is too large, or that Check refuses, is an error.
func (e Entry) Encode() ([]byte, error) {
	if err := e.Check(); err != nil {
		return nil, err
	}
	content, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	if len(content) > MaxBytes {
		return nil, &InvalidError{Field: "size", Index: -1, Problem: fmt.Sprintf("%d bytes; %d are the most", len(content), MaxBytes)}
	}
	return content, nil
}

// Decode reads and checks what was committed under a key. An entry with a field that is not known here, as one of a later version may have, is an
// error: half of it in force would not be what the operator asked for.
func Decode(key string, content []byte) (Entry, error) {
	if len(content) > MaxBytes {
		return Entry{}, &InvalidError{Field: "size", Index: -1, Problem: fmt.Sprintf("%d bytes; %d are the most", len(content), MaxBytes)}
	}
	var e Entry
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		return Entry{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if decoder.More() {
		return Entry{}, fmt.Errorf("%w: something follows the entry", ErrInvalid)
	}
	if err := e.Check(); err != nil {
		return Entry{}, err
	}
	if e.Key() != key {
		return Entry{}, fmt.Errorf("%w: the entry of %q is under the key %q", ErrInvalid, e.Key(), key)
	}
	return e, nil
}
