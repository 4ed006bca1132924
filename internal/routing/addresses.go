package routing

import (
	"slices"

	mb "mulleinbeam"
)

// addressOwners decides which of the endpoints that are listed at one address is the process there. An endpoint's end may be listed
// later than the start of another one at its address; until then calls for the old one would reach the new one's process. It does no
// input or output and is not safe for concurrent use.
type addressOwners struct {
	lists     uint64                    // number of lists applied
	listed    map[string]listedEndpoint // by name, displaced ones included
	byAddress map[string][]string       // names of the listed endpoints
	displaced map[string]bool           // by name: a newer process is at the address
}

// listedEndpoint is an endpoint and the number of the list that first had it at its address, with its present start.
type listedEndpoint struct {
	Endpoint
	arrived uint64
}

// newerThan reports whether the process at an address that both endpoints have can only be this one. Endpoints that came in one list
// and started at the same time share the address.
func (e listedEndpoint) newerThan(other listedEndpoint) bool {
	if e.StartedAt != other.StartedAt {
		return e.StartedAt > other.StartedAt
	}
	return e.arrived > other.arrived
}

func newAddressOwners() *addressOwners {
	return &addressOwners{listed: map[string]listedEndpoint{}, byAddress: map[string][]string{}, displaced: map[string]bool{}}
}

// apply returns the list without endpoints at whose address a newer process is, and which of these were in use until now. A list of
// changes deletes them; they return once they are listed anew without that process.
func (o *addressOwners) apply(list EndpointList) (remaining EndpointList, displaced []Endpoint) {
	o.lists++
	if list.Whole || list.Saved {
		o.removeUnlisted(list.Endpoints)
	}
	for _, endpoint := range list.Endpoints {
		o.record(endpoint)
	}
	for _, endpoint := range list.Endpoints {
		displaced = append(displaced, o.compare(endpoint.Name)...)
	}
	remaining = list
	remaining.Endpoints = make([]Endpoint, 0, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		if !o.displaced[endpoint.Name] {
			remaining.Endpoints = append(remaining.Endpoints, endpoint)
		}
	}
	if !list.Whole && !list.Saved {
		for _, endpoint := range displaced {
			endpoint.State = mb.Deleted
			remaining.Endpoints = append(remaining.Endpoints, endpoint)
		}
	}
	return remaining, displaced
}

// removeUnlisted forgets the endpoints that a complete list does not have.
func (o *addressOwners) removeUnlisted(list []Endpoint) {
	present := make(map[string]bool, len(list))
	for _, endpoint := range list {
		present[endpoint.Name] = true
	}
	for name := range o.listed {
		if !present[name] {
			o.remove(name)
		}
	}
}

// remove forgets an endpoint.
func (o *addressOwners) remove(name string) {
	address := o.listed[name].Address
	names := slices.DeleteFunc(o.byAddress[address], func(other string) bool { return other == name })
	if o.byAddress[address] = names; len(names) == 0 {
		delete(o.byAddress, address)
	}
	delete(o.listed, name)
	delete(o.displaced, name)
}

// record registers an entry of a list.
func (o *addressOwners) record(endpoint Endpoint) {
	before, known := o.listed[endpoint.Name]
	if endpoint.State == mb.Deleted {
		o.remove(endpoint.Name)
		return
	}
	now := listedEndpoint{endpoint, o.lists}
	switch {
	case known && before.Address == endpoint.Address:
		if endpoint.StartedAt <= before.StartedAt {
			now.arrived = before.arrived
		}
	case known:
		o.remove(endpoint.Name)
		fallthrough
	default:
		o.byAddress[endpoint.Address] = append(o.byAddress[endpoint.Address], endpoint.Name)
	}
	o.listed[endpoint.Name] = now
}

// compare decides about a listed endpoint and the others at its address. It returns those that are displaced from now on.
func (o *addressOwners) compare(name string) (displaced []Endpoint) {
	endpoint, known := o.listed[name]
	if !known {
		return nil
	}
	displace := func(which listedEndpoint) {
		if !o.displaced[which.Name] {
			o.displaced[which.Name] = true
			displaced = append(displaced, which.Endpoint)
		}
	}
	overtaken := false
	for _, otherName := range o.byAddress[endpoint.Address] {
		switch other := o.listed[otherName]; {
		case endpoint.newerThan(other):
			displace(other)
		case other.newerThan(endpoint):
			overtaken = true
		}
	}
	if overtaken {
		displace(endpoint)
	} else {
		delete(o.displaced, name)
	}
	return displaced
}
