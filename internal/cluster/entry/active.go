package entry

import (
	"bytes"
	"fmt"
	"iter"
	"maps"
	"slices"
)

// Refusal says why a forwarder has not put an entry into force.
type Refusal struct {
	Key string `json:"key"`
	Why string `json:"why"`
}

// Changes are what an update has put into force, and what it has taken out of it.
type Changes struct {
	Set     []Entry // in the order of their keys
	Removed []Entry // as they were
}

// Empty says that there are none.
func (c Changes) Empty() bool { return len(c.Set)+len(c.Removed) == 0 }

// Active is the configuration that is in force at one forwarder. The zero value has nothing in force. It is not safe for concurrent use.
type Active struct {
	committed map[string]*committed
	inForce   map[string]Entry
	refused   map[string]string // why, by key
	claims    map[string]int    // how many committed entries name an endpoint
	doubled   int               // endpoints that more than one of them names
	round     uint64            // counts updates
}

// committed is an entry as it was decided.
type committed struct {
	content []byte
	entry   Entry
	err     error  // it can't be decoded
	round   uint64 // of the latest update in which it was there
}

// Update puts the committed entries, by key, into force. An entry that can't be decoded, that names an endpoint of another destination, or that
// allowed refuses, leaves the one before under its key in force; an entry that is not committed any more is in force no longer. Refusals are in
// the order of their keys.
//
// Work goes by what has changed, but for a comparison of all contents.
func (a *Active) Update(entries iter.Seq2[string, []byte], allowed func(Entry) error) (changes Changes, refused []Refusal) {
	if a.committed == nil {
		a.committed, a.inForce = map[string]*committed{}, map[string]Entry{}
		a.refused, a.claims = map[string]string{}, map[string]int{}
	}
	conflicts := a.doubled > 0
	fresh := a.take(entries)
	changes.Removed = a.drop()
	candidates := fresh
	if conflicts || a.doubled > 0 { // who may have an endpoint depends on all who name it
		candidates = maps.Clone(fresh)
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
		if a.judge(key, fresh[key], owners, allowed) {
			changes.Set = append(changes.Set, a.inForce[key])
		}
	}
	for _, key := range slices.Sorted(maps.Keys(a.refused)) {
		refused = append(refused, Refusal{Key: key, Why: a.refused[key]})
	}
	return changes, refused
}

// take notes what is committed, and gives the keys whose content has changed.
func (a *Active) take(entries iter.Seq2[string, []byte]) (fresh map[string]bool) {
	a.round++
	fresh = map[string]bool{}
	for key, content := range entries {
		before := a.committed[key]
		if before != nil && bytes.Equal(before.content, content) {
			before.round = a.round
			continue
		}
		if before != nil {
			a.claim(before.entry, -1)
		}
		now := &committed{content: content, round: a.round}
		now.entry, now.err = Decode(key, content)
		a.claim(now.entry, 1)
		a.committed[key] = now
		fresh[key] = true
	}
	return fresh
}

// drop forgets what is committed no longer, and gives what of it was in force.
func (a *Active) drop() (removed []Entry) {
	for key, c := range a.committed {
		if c.round == a.round {
			continue
		}
		a.claim(c.entry, -1)
		delete(a.committed, key)
		delete(a.refused, key)
		if e, had := a.inForce[key]; had {
			delete(a.inForce, key)
			removed = append(removed, e)
		}
	}
	return removed
}

// claim counts the endpoints that an entry names, or counts them no longer.
func (a *Active) claim(e Entry, by int) {
	if e.Destination == nil {
		return
	}
	for _, endpoint := range e.Destination.Endpoints {
		before := a.claims[endpoint.Name]
		now := before + by
		if a.claims[endpoint.Name] = now; now == 0 {
			delete(a.claims, endpoint.Name)
		}
		switch {
		case before == 1 && now == 2:
			a.doubled++
		case before == 2 && now == 1:
			a.doubled--
		}
	}
}

// judge puts a committed entry into force or notes why not, and says whether anything else is in force now. Owners are the destinations of endpoints,
// by the entries judged before it in the order of keys: all forwarders refuse the same one of two.
func (a *Active) judge(key string, fresh bool, owners map[string]int64, allowed func(Entry) error) (changed bool) {
	c := a.committed[key]
	_, wasRefused := a.refused[key]
	err := c.err
	if err == nil {
		err = own(owners, c.entry)
	}
	if err == nil && (fresh || wasRefused) {
		err = allowed(c.entry)
	}
	if err != nil {
		a.refused[key] = err.Error()
		return false
	}
	delete(a.refused, key)
	if !fresh && !wasRefused {
		return false
	}
	a.inForce[key] = c.entry
	return true
}

// own notes whose endpoints an entry names. A name is one destination's.
func own(owners map[string]int64, e Entry) error {
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
	out := make([]Entry, 0, len(a.inForce))
	for _, key := range slices.Sorted(maps.Keys(a.inForce)) {
		out = append(out, a.inForce[key])
	}
	return out
}
