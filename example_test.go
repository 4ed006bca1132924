package mulleinbeam_test

import (
	"fmt"
	"time"

	"mulleinbeam"
)

// A forwarder passes in what it observes and performs the actions that are returned.
func Example() {
	d, err := mulleinbeam.New(mulleinbeam.Settings{
		Forwarders: 1, Slots: 8, MostHeld: 50, MaxAttempts: 3,
		Classes: []mulleinbeam.Class{{
			Name: "invoice", Target: time.Second, DeliveryTimeout: 10 * time.Second, Worth: 1, Effect: mulleinbeam.Unsafe,
		}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	show := func(now time.Duration, events ...mulleinbeam.Event) {
		for _, a := range d.Handle(now, events) {
			switch a := a.(type) {
			case mulleinbeam.Send:
				fmt.Printf("%v: send %d to %s\n", now, a.ID, a.Endpoint)
			case mulleinbeam.Fail:
				fmt.Printf("%v: fail %d\n", now, a.ID)
			}
		}
	}
	show(0, mulleinbeam.EndpointUpdate{Scope: mulleinbeam.ListSaved, Entries: []mulleinbeam.Entry{
		{Endpoint: "bank-1", Destination: 4},
	}})
	show(time.Second, mulleinbeam.Submit{ID: 7, Class: "invoice", TimeLeft: 10 * time.Second, Destination: 4})
	// A reset may have taken effect, and the class must never take effect twice.
	show(2*time.Second, mulleinbeam.Answer{ID: 7, Endpoint: "bank-1", Outcome: mulleinbeam.Reset, Latency: time.Second})
	// Output:
	// 1s: send 7 to bank-1
	// 2s: fail 7
}
