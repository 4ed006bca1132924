package entry

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
)

// Refusal says why a forwarder has not put an entry into force.
type Refusal struct {
	Key string `json:"key"`
	Why string `json:"why"`
}

// Active is the configuration that is in force at one forwarder. The zero value has nothing in force. It is not safe for concurrent use.
type Active struct {
	entries map[string]Entry
	content map[string][]byte // of those in force
}

// Update puts the committed entries into force, by key. An entry that can't be decoded, that names an endpoint of another destination, or that
// allowed refuses, leaves the one before under its key in force; an entry that is not committed any more is in force no longer. Changed says
// whether anything else is in force now. Refusals are in the order of their keys.
func (a *Active) Update(committed map[string][]byte, allowed func(Entry) error) (changed bool, refused []Refusal) {
	if a.entries == nil {
		a.entries, a.content = map[string]Entry{}, map[string][]byte{}
	}
	for key := range a.entries {
		if _, still := committed[key]; !still {
			delete(a.entries, key)
			delete(a.content, key)
			changed = true
		}
	}
	owners := map[string]int64{}
	for _, key := range slices.Sorted(maps.Keys(committed)) {
		e, isNew, err := a.read(key, committed[key])
		if err == nil {
			err = claim(owners, e)
		}
		if err == nil && isNew {
			err = allowed(e)
		}
		switch {
		case err != nil:
			refused = append(refused, Refusal{Key: key, Why: err.Error()})
		case isNew:
			a.entries[key], a.content[key], changed = e, committed[key], true
		}
	}
	return changed, refused
}

// read decodes what is committed under a key, unless that is in force already.
func (a *Active) read(key string, content []byte) (e Entry, isNew bool, err error) {
	if in, known := a.content[key]; known && bytes.Equal(in, content) {
		return a.entries[key], false, nil
	}
	e, err = Decode(key, content)
	return e, true, err
}

// claim notes whose endpoints an entry names. A name is one destination's, that of the first key, so that all forwarders refuse the same entry.
func claim(owners map[string]int64, e Entry) error {
	if e.Destination == nil {
		return nil
	}
	for _, endpoint := range e.Destination.Endpoints {
		if owner, taken := owners[endpoint.Name]; taken {
			return fmt.Errorf("%w: endpoint %q is one of destination %d", ErrInvalid, endpoint.Name, owner)
		}
	}
	for _, endpoint := range e.Destination.Endpoints {
		owners[endpoint.Name] = e.Destination.Number
	}
	return nil
}

// Entries are those in force, in the order of their keys.
func (a *Active) Entries() []Entry {
	out := make([]Entry, 0, len(a.entries))
	for _, key := range slices.Sorted(maps.Keys(a.entries)) {
		out = append(out, a.entries[key])
	}
	return out
}
