package routing

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	mb "mulleinbeam"
)

// Guards against an address that is taken for a process: whatever order the list's entries come in, calls go to the newest endpoint
// at an address, and an older one is called again only once it is listed without that one.
func TestNewestEndpointHasItsAddress(t *testing.T) {
	at := func(name, address string, started int64) Endpoint {
		return Endpoint{Name: name, Address: address, StartedAt: started, Destination: 1}
	}
	gone := func(e Endpoint) Endpoint { e.State = mb.Deleted; return e }
	old, successor := at("old", "a:1", 0), at("new", "a:1", 0)
	whole := func(endpoints ...Endpoint) EndpointList { return EndpointList{Whole: true, Endpoints: endpoints} }
	changes := func(endpoints ...Endpoint) EndpointList { return EndpointList{Endpoints: endpoints} }
	for name, c := range map[string]struct {
		lists []EndpointList
		want  []string
	}{
		"successor in a change":             {[]EndpointList{whole(old), changes(successor)}, []string{"new"}},
		"successor in a whole list":         {[]EndpointList{whole(old), whole(successor, old)}, []string{"new"}},
		"old one listed as draining":        {[]EndpointList{whole(old), changes(successor), changes(old)}, []string{"new"}},
		"successor gone first":              {[]EndpointList{whole(old), changes(successor), changes(gone(successor))}, nil},
		"whole list without the successor":  {[]EndpointList{whole(old), changes(successor), whole(old)}, []string{"old"}},
		"old one moves":                     {[]EndpointList{whole(old), changes(successor), changes(at("old", "a:2", 0))}, []string{"new", "old"}},
		"old one starts again there":        {[]EndpointList{whole(old), changes(successor), changes(at("old", "a:1", 9))}, []string{"old"}},
		"both at once":                      {[]EndpointList{whole(old, at("new", "a:1", 5))}, []string{"new"}},
		"both at once, the newer one first": {[]EndpointList{whole(at("new", "a:1", 5), old)}, []string{"new"}},
		"late news of an earlier process":   {[]EndpointList{whole(at("new", "a:1", 5)), changes(old)}, []string{"new"}},
		"both at once, starts unknown":      {[]EndpointList{whole(old, successor)}, []string{"new", "old"}},
		"other addresses":                   {[]EndpointList{whole(old, at("new", "a:2", 5))}, []string{"new", "old"}},
		"both gone":                         {[]EndpointList{whole(old), changes(successor), changes(gone(old), gone(successor))}, nil},
	} {
		owners, used := newAddressOwners(), map[string]bool{}
		for _, list := range c.lists {
			remaining, _ := owners.apply(list)
			if remaining.Whole {
				clear(used)
			}
			for _, endpoint := range remaining.Endpoints {
				if used[endpoint.Name] = true; endpoint.State == mb.Deleted {
					delete(used, endpoint.Name)
				}
			}
		}
		var got []string
		for name := range used {
			got = append(got, name)
		}
		if slices.Sort(got); !cmp.Equal(c.want, got) {
			t.Errorf("%s: %v are called, want %v", name, got, c.want)
		}
	}
}
