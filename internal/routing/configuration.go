package routing

import (
	"maps"
	"slices"

	mb "mulleinbeam"
)

// Destinations whose endpoints a fleet has configured, beside those that discovery lists. Without a Configure nothing here is used.

// Configuration is what a fleet has configured.
type Configuration struct {
	Destinations map[int64][]Endpoint // replace what discovery lists for these destinations
}

// Limiter bounds what is taken on of a class. Its methods are called by the router's goroutine and must not wait.
type Limiter interface {
	// Allows counts a message of a class that is handed in, and says whether it may be taken on.
	Allows(class string) bool
}

// HasClass says whether messages of a class are taken on here at all.
func (r *Router) HasClass(name string) bool {
	_, known := r.classes[name] // never changed
	return known
}

// Configure replaces the configuration: calls go by it from here on.
func (r *Router) Configure(c Configuration) {
	r.post(func() {
		if r.overlay == nil {
			r.overlay = &overlay{listed: maps.Clone(r.endpoints)}
		}
		if changes := r.overlay.configure(c.Destinations); len(changes) > 0 {
			r.learnEndpoints(List{Endpoints: changes})
		}
	})
}

// overlay joins what discovery lists with what is configured. An endpoint that is configured is as that says. One that is listed counts unless its
// destination is configured, or its name is a configured endpoint's. It is pure, and not safe for concurrent use.
type overlay struct {
	listed       map[string]Endpoint // by name, as in the other maps
	configured   map[string]Endpoint
	destinations map[int64]bool // that are configured
}

// effective is the endpoint of a name that counts; false is none.
func (o *overlay) effective(name string) (Endpoint, bool) {
	if e, configured := o.configured[name]; configured {
		return e, true
	}
	e, listed := o.listed[name]
	if !listed || o.destinations[e.Group] {
		return Endpoint{}, false
	}
	return e, true
}

// change applies a change to the overlay and gives what has become of some names.
func (o *overlay) change(names map[string]bool, apply func()) (changes []Endpoint) {
	before := make(map[string]Endpoint, len(names))
	for name := range names {
		if e, some := o.effective(name); some {
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

// configure replaces the configured destinations, and gives the endpoints that have changed by that.
func (o *overlay) configure(destinations map[int64][]Endpoint) (changes []Endpoint) {
	configured, groups := map[string]Endpoint{}, map[int64]bool{}
	for _, group := range slices.Sorted(maps.Keys(destinations)) {
		groups[group] = true
		for _, e := range destinations[group] {
			if _, taken := configured[e.Name]; !taken { // a name is the first destination's
				configured[e.Name] = e
			}
		}
	}
	names := map[string]bool{}
	for name := range o.configured {
		names[name] = true
	}
	for name := range configured {
		names[name] = true
	}
	for name, e := range o.listed {
		if o.destinations[e.Group] || groups[e.Group] {
			names[name] = true
		}
	}
	return o.change(names, func() { o.configured, o.destinations = configured, groups })
}

// list takes what discovery says, and gives what the router is to learn of it.
func (o *overlay) list(d List) List {
	names := make(map[string]bool, len(d.Endpoints))
	for _, e := range d.Endpoints {
		names[e.Name] = true
	}
	apply := func() {
		if d.Whole || d.Saved {
			o.listed = make(map[string]Endpoint, len(d.Endpoints))
		}
		for _, e := range d.Endpoints {
			if e.State == mb.Deleted {
				delete(o.listed, e.Name)
			} else {
				o.listed[e.Name] = e
			}
		}
	}
	if !d.Whole && !d.Saved {
		return List{Endpoints: o.change(names, apply)}
	}
	apply()
	out := List{Whole: d.Whole, Saved: d.Saved}
	for name := range o.configured {
		names[name] = true
	}
	for name := range names {
		if e, some := o.effective(name); some {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	return out
}
