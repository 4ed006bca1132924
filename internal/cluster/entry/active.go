package entry

import (
	"bytes"
	"fmt"
	"iter"
	"maps"
	"slices"
)

// Refusal is a committed entry that a forwarder has not applied, with the reason.
type Refusal struct {
	Key string `json:"key"`
	Why string `json:"why"`
}

// Changes lists the entries that an update has applied or removed.
type Changes struct {
	Set     []Entry // sorted by key
	Removed []Entry // with the content that was in force, in no order
}

// Empty reports whether the update has changed nothing.
func (c Changes) Empty() bool { return len(c.Set)+len(c.Removed) == 0 }

// Active is the configuration in force at one forwarder. The zero value is an empty configuration. It is not safe for
// concurrent use.
type Active struct {
	committed       map[string]*committedEntry
	inForce         map[string]Entry
	refused         map[string]string // reason by key
	endpointUses    map[string]int    // number of committed entries that name an endpoint, by endpoint
	sharedEndpoints int               // number of endpoints named by more than one committed entry
	generation      uint64            // number of updates so far
}

// committedEntry is a committed entry with the result of decoding it.
type committedEntry struct {
	content    []byte
	entry      Entry
	decodeErr  error  // set if the content can't be decoded
	generation uint64 // the latest update that contained the entry
}

// Update applies the committed entries, given by key. If an entry can't be decoded, names an endpoint of another
// destination or is rejected by check, the previous entry under its key stays in force. An entry that is no longer
// committed is removed. Refusals are sorted by key.
//
// Apart from comparing all contents, the cost depends on the number of changed entries.
func (a *Active) Update(entries iter.Seq2[string, []byte], check func(Entry) error) (changes Changes, refused []Refusal) {
	if a.committed == nil {
		a.committed, a.inForce = map[string]*committedEntry{}, map[string]Entry{}
		a.refused, a.endpointUses = map[string]string{}, map[string]int{}
	}
	hadSharedEndpoints := a.sharedEndpoints > 0
	updated := a.recordCommitted(entries)
	changes.Removed = a.removeUncommitted()
	candidates := updated
	if hadSharedEndpoints || a.sharedEndpoints > 0 { // which entry owns a shared endpoint depends on all entries that name it
		candidates = maps.Clone(updated)
		for key := range a.committed {
			candidates[key] = true
		}
	} else {
		for key := range a.refused {
			candidates[key] = true
		}
	}
	owners := map[string]int64{}
	for _, key := range slices.Sorted(maps.Keys(candidates)) {
		if a.applyEntry(key, updated[key], owners, check) {
			changes.Set = append(changes.Set, a.inForce[key])
		}
	}
	for _, key := range slices.Sorted(maps.Keys(a.refused)) {
		refused = append(refused, Refusal{Key: key, Why: a.refused[key]})
	}
	return changes, refused
}

// recordCommitted stores the committed entries and returns the keys whose content has changed.
func (a *Active) recordCommitted(entries iter.Seq2[string, []byte]) (updated map[string]bool) {
	a.generation++
	updated = map[string]bool{}
	for key, content := range entries {
		previous := a.committed[key]
		if previous != nil && bytes.Equal(previous.content, content) {
			previous.generation = a.generation
			continue
		}
		if previous != nil {
			a.countEndpoints(previous.entry, -1)
		}
		current := &committedEntry{content: content, generation: a.generation}
		current.entry, current.decodeErr = Decode(key, content)
		a.countEndpoints(current.entry, 1)
		a.committed[key] = current
		updated[key] = true
	}
	return updated
}

// removeUncommitted deletes entries that are no longer committed and returns those that were in force.
func (a *Active) removeUncommitted() (removed []Entry) {
	for key, c := range a.committed {
		if c.generation == a.generation {
			continue
		}
		a.countEndpoints(c.entry, -1)
		delete(a.committed, key)
		delete(a.refused, key)
		if e, had := a.inForce[key]; had {
			delete(a.inForce, key)
			removed = append(removed, e)
		}
	}
	return removed
}

// countEndpoints adds delta to the use count of each endpoint that an entry names.
func (a *Active) countEndpoints(e Entry, delta int) {
	if e.Destination == nil {
		return
	}
	for _, endpoint := range e.Destination.Endpoints {
		oldCount := a.endpointUses[endpoint.Name]
		newCount := oldCount + delta
		if a.endpointUses[endpoint.Name] = newCount; newCount == 0 {
			delete(a.endpointUses, endpoint.Name)
		}
		switch {
		case oldCount == 1 && newCount == 2:
			a.sharedEndpoints++
		case oldCount == 2 && newCount == 1:
			a.sharedEndpoints--
		}
	}
}

// applyEntry applies a committed entry or records why it is refused, and reports whether the entry in force has
// changed. owners holds the destination of each endpoint, from the entries applied before it. Keys are applied in
// sorted order, so all forwarders refuse the same one of two conflicting entries.
func (a *Active) applyEntry(key string, updated bool, owners map[string]int64, check func(Entry) error) (changed bool) {
	candidate := a.committed[key]
	_, wasRefused := a.refused[key]
	err := candidate.decodeErr
	if err == nil {
		err = claimEndpoints(owners, candidate.entry)
	}
	if err == nil && (updated || wasRefused) {
		err = check(candidate.entry)
	}
	if err != nil {
		a.refused[key] = err.Error()
		return false
	}
	delete(a.refused, key)
	if !updated && !wasRefused {
		return false
	}
	a.inForce[key] = candidate.entry
	return true
}

// claimEndpoints records the destination of each endpoint that an entry names. An endpoint name belongs to at most
// one destination.
func claimEndpoints(owners map[string]int64, e Entry) error {
	if e.Destination == nil {
		return nil
	}
	for _, endpoint := range e.Destination.Endpoints {
		if owner, found := owners[endpoint.Name]; found {
			return fmt.Errorf("%w: endpoint %q belongs to destination %d", ErrInvalid, endpoint.Name, owner)
		}
	}
	for _, endpoint := range e.Destination.Endpoints {
		owners[endpoint.Name] = e.Destination.Number
	}
	return nil
}

// Entries returns the entries in force, sorted by key.
func (a *Active) Entries() []Entry {
	out := make([]Entry, 0, len(a.inForce))
	for _, key := range slices.Sorted(maps.Keys(a.inForce)) {
		out = append(out, a.inForce[key])
	}
	return out
}
