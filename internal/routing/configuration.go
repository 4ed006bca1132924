package routing

import (
	"cmp"
	"slices"

	mb "mulleinbeam"
)

// Destinations whose endpoints are configured for the fleet instead of discovered. Unused until Configure is called.

// Limiter limits the messages that are accepted per class. The router's goroutine calls its methods, which must not
// block.
type Limiter interface {
	// Allows counts a submitted message of the class and reports whether it may be accepted.
	Allows(class string) bool
}

// HasClass reports whether messages of the class are accepted at all.
func (r *Router) HasClass(name string) bool {
	_, known := r.deliveryTimeouts[name] // the map never changes after New
	return known
}

// Configure replaces the discovered endpoints of the given destinations by these. A destination without any uses
// discovery again; destinations that are not given stay as they are. Later calls follow the change.
func (r *Router) Configure(destinations map[int64][]Endpoint) {
	if len(destinations) == 0 {
		return
	}
	r.post(func() {
		if r.overlay == nil {
			r.overlay = newOverlay(r.endpoints)
		}
		if changes := r.overlay.configure(destinations); len(changes) > 0 {
			r.applyEndpoints(EndpointList{Endpoints: changes})
		}
	})
}

// overlay merges discovered and configured endpoints. A configured endpoint wins. A discovered one is used unless its
// destination is configured or its name is that of a configured endpoint. An overlay does no input or output and is not
// safe for concurrent use.
type overlay struct {
	listed       map[string]Endpoint   // by name
	listedIn     map[int64]int         // number of listed endpoints, by destination
	configured   map[string][]Endpoint // by name, ordered by destination: the first one is used
	destinations map[int64][]Endpoint  // configured destinations
}

func newOverlay(listed map[string]Endpoint) *overlay {
	o := &overlay{
		listed: map[string]Endpoint{}, listedIn: map[int64]int{}, configured: map[string][]Endpoint{}, destinations: map[int64][]Endpoint{},
	}
	for _, e := range listed {
		o.setListed(e)
	}
	return o
}

// effective returns the endpoint to use for a name, and false if there is none.
func (o *overlay) effective(name string) (Endpoint, bool) {
	if list := o.configured[name]; len(list) > 0 {
		return list[0], true
	}
	e, listed := o.listed[name]
	if !listed || len(o.destinations[e.Destination]) > 0 {
		return Endpoint{}, false
	}
	return e, true
}

// setListed applies one entry of discovery's list.
func (o *overlay) setListed(e Endpoint) {
	if before, known := o.listed[e.Name]; known {
		delete(o.listed, e.Name)
		if o.listedIn[before.Destination]--; o.listedIn[before.Destination] == 0 {
			delete(o.listedIn, before.Destination)
		}
	}
	if e.State != mb.Deleted {
		o.listed[e.Name] = e
		o.listedIn[e.Destination]++
	}
}

// changesFrom applies a change to the overlay and returns the resulting changes to the endpoints with the given names.
func (o *overlay) changesFrom(names map[string]bool, apply func()) (changes []Endpoint) {
	before := make(map[string]Endpoint, len(names))
	for name := range names {
		if e, found := o.effective(name); found {
			before[name] = e
		}
	}
	apply()
	for name := range names {
		was, had := before[name]
		now, has := o.effective(name)
		switch {
		case has && (!had || now != was):
			changes = append(changes, now)
		case had && !has:
			was.State = mb.Deleted
			changes = append(changes, was)
		}
	}
	return changes
}

// configure changes the configured destinations and returns the endpoints that changed. Its cost follows the size of
// the change, except that discovered endpoints of these destinations are found by a search of the whole list.
func (o *overlay) configure(destinations map[int64][]Endpoint) (changes []Endpoint) {
	names, searchListed := map[string]bool{}, false
	for destination, endpoints := range destinations {
		for _, list := range [][]Endpoint{endpoints, o.destinations[destination]} {
			for _, e := range list {
				names[e.Name] = true
			}
		}
		searchListed = searchListed || o.listedIn[destination] > 0
	}
	if searchListed {
		for name, e := range o.listed {
			if _, affected := destinations[e.Destination]; affected {
				names[name] = true
			}
		}
	}
	return o.changesFrom(names, func() {
		for destination, endpoints := range destinations {
			o.setConfigured(destination, endpoints)
		}
	})
}

// setConfigured replaces the configured endpoints of a destination; an empty list removes its configuration.
func (o *overlay) setConfigured(destination int64, endpoints []Endpoint) {
	for _, e := range o.destinations[destination] {
		rest := slices.DeleteFunc(o.configured[e.Name], func(x Endpoint) bool { return x.Destination == destination })
		if o.configured[e.Name] = rest; len(rest) == 0 {
			delete(o.configured, e.Name)
		}
	}
	delete(o.destinations, destination)
	if len(endpoints) == 0 {
		return
	}
	o.destinations[destination] = endpoints
	for _, e := range endpoints {
		list := append(o.configured[e.Name], e)
		slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.Destination, b.Destination) })
		o.configured[e.Name] = list
	}
}

// applyDiscovery applies a list from discovery and returns the resulting list for the router.
func (o *overlay) applyDiscovery(list EndpointList) EndpointList {
	names := make(map[string]bool, len(list.Endpoints))
	for _, e := range list.Endpoints {
		names[e.Name] = true
	}
	apply := func() {
		if list.Whole || list.Saved {
			clear(o.listed)
			clear(o.listedIn)
		}
		for _, e := range list.Endpoints {
			o.setListed(e)
		}
	}
	if !list.Whole && !list.Saved {
		return EndpointList{Endpoints: o.changesFrom(names, apply)}
	}
	apply()
	out := EndpointList{Whole: list.Whole, Saved: list.Saved}
	for name := range o.configured {
		names[name] = true
	}
	for name := range names {
		if e, found := o.effective(name); found {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	return out
}
