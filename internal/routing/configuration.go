package routing

import (
	"cmp"
	"slices"

	mb "mulleinbeam"
)

// Destinations whose endpoints a fleet has configured, beside those that discovery lists. Without a Configure nothing here is used.

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

// Configure has destinations go by these endpoints, whatever discovery lists for them; one with none goes by discovery again. Others stay as they
// are. Calls go by it from here on.
func (r *Router) Configure(destinations map[int64][]Endpoint) {
	if len(destinations) == 0 {
		return
	}
	r.post(func() {
		if r.overlay == nil {
			r.overlay = newOverlay(r.endpoints)
		}
		if changes := r.overlay.configure(destinations); len(changes) > 0 {
			r.learnEndpoints(EndpointList{Endpoints: changes})
		}
	})
}

// overlay joins what discovery lists with what is configured. An endpoint that is configured is as that says. One that is listed counts unless its
// destination is configured, or its name is a configured endpoint's. It is pure, and not safe for concurrent use.
type overlay struct {
	listed       map[string]Endpoint   // by name
	listedIn     map[int64]int         // listed endpoints, by destination
	configured   map[string][]Endpoint // by name, in the order of their destinations: the first counts
	destinations map[int64][]Endpoint  // that are configured
}

func newOverlay(listed map[string]Endpoint) *overlay {
	o := &overlay{
		listed: map[string]Endpoint{}, listedIn: map[int64]int{}, configured: map[string][]Endpoint{}, destinations: map[int64][]Endpoint{},
	}
	for _, e := range listed {
		o.note(e)
	}
	return o
}

// effective is the endpoint of a name that counts; false is none.
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

// note takes one endpoint of discovery's list.
func (o *overlay) note(e Endpoint) {
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

// configure changes configured destinations, and gives the endpoints that have changed by that. All but listed endpoints of these destinations,
// which are searched for, costs by what changes.
func (o *overlay) configure(destinations map[int64][]Endpoint) (changes []Endpoint) {
	names, search := map[string]bool{}, false
	for group, endpoints := range destinations {
		for _, list := range [][]Endpoint{endpoints, o.destinations[group]} {
			for _, e := range list {
				names[e.Name] = true
			}
		}
		search = search || o.listedIn[group] > 0
	}
	if search {
		for name, e := range o.listed {
			if _, concerned := destinations[e.Destination]; concerned {
				names[name] = true
			}
		}
	}
	return o.change(names, func() {
		for group, endpoints := range destinations {
			o.set(group, endpoints)
		}
	})
}

// set replaces a destination's configured endpoints; none is that it is not configured.
func (o *overlay) set(group int64, endpoints []Endpoint) {
	for _, e := range o.destinations[group] {
		rest := slices.DeleteFunc(o.configured[e.Name], func(x Endpoint) bool { return x.Destination == group })
		if o.configured[e.Name] = rest; len(rest) == 0 {
			delete(o.configured, e.Name)
		}
	}
	delete(o.destinations, group)
	if len(endpoints) == 0 {
		return
	}
	o.destinations[group] = endpoints
	for _, e := range endpoints {
		list := append(o.configured[e.Name], e)
		slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.Destination, b.Destination) })
		o.configured[e.Name] = list
	}
}

// list takes what discovery says, and gives what the router is to learn of it.
func (o *overlay) list(d EndpointList) EndpointList {
	names := make(map[string]bool, len(d.Endpoints))
	for _, e := range d.Endpoints {
		names[e.Name] = true
	}
	apply := func() {
		if d.Whole || d.Saved {
			clear(o.listed)
			clear(o.listedIn)
		}
		for _, e := range d.Endpoints {
			o.note(e)
		}
	}
	if !d.Whole && !d.Saved {
		return EndpointList{Endpoints: o.change(names, apply)}
	}
	apply()
	out := EndpointList{Whole: d.Whole, Saved: d.Saved}
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
