package observation

import (
	"math"
	"testing"
	"time"

	mb "mulleinbeam"
)

const sec = time.Second

func newStore(name string) *Store {
	return NewStore(Config{Name: name, Epoch: 1, HalfLife: 10 * sec, MaxRetryAfter: 60 * sec, MaxKeys: 100})
}

func circuits(edit func(*mb.LearnedCircuit)) []mb.LearnedCircuit {
	circuit := mb.LearnedCircuit{Destination: 7, GuardFrom: -1, LastBad: -1, LastOK: -1, Trust: 1}
	edit(&circuit)
	return []mb.LearnedCircuit{circuit}
}

// advisedWait returns the retry-after time advised for destination 7, without observations of its own.
func advisedWait(store *Store, now time.Duration) time.Duration {
	for _, circuit := range store.Advice(now, nil) {
		if circuit.Destination == 7 {
			return circuit.Wait
		}
	}
	return 0
}

func retryAfter(origin string, serial uint64, left time.Duration) Record {
	return Record{Kind: RetryAfter, Destination: 7, Origin: origin, Life: 1, Serial: serial, Left: left}
}

// The retry-after time of a single observer counts for one half-life and then pauses, however often it is repeated; two
// observers make it last to its end.
func TestRetryAfterNeedsTwoObservers(t *testing.T) {
	store := newStore("me")
	store.Add(0, retryAfter("a", 1, 30*sec))
	for _, test := range []struct{ now, want time.Duration }{{0, 10 * sec}, {9 * sec, sec}, {11 * sec, 0}} {
		if got := advisedWait(store, test.now); got != test.want {
			t.Errorf("one observer, at %v: %v, want %v", test.now, got, test.want)
		}
	}
	for serial, now := uint64(2), 11*sec; now < 40*sec; serial, now = serial+1, now+sec { // repeated reports
		store.Add(now, retryAfter("a", serial, 30*sec))
		store.Expire(now, nil)
		if got := advisedWait(store, now); got != 0 {
			t.Fatalf("the same report counts again at %v: %v", now, got)
		}
	}
	store.Add(40*sec, retryAfter("b", 1, 20*sec))
	if got := advisedWait(store, 40*sec); got != 20*sec {
		t.Errorf("two observers: %v, want the end that both agree on", got)
	}
	if got := advisedWait(store, 100*sec); got != 0 {
		t.Errorf("after its end: %v", got)
	}
	store.Expire(200*sec, nil)
	if len(store.entries) != 0 {
		t.Errorf("entries are left: %v", store.entries)
	}
}

// What a forwarder applies on the advice of others must not be reported as its own observation: else one observer would
// count as two.
func TestAdviceIsNotReported(t *testing.T) {
	store := newStore("me")
	store.Add(0, retryAfter("a", 1, 8*sec))
	wait := advisedWait(store, 0)
	if updates := store.LocalUpdates(0, circuits(func(circuit *mb.LearnedCircuit) { circuit.Wait = wait })); len(updates) != 0 {
		t.Errorf("reported as its own: %+v", updates)
	}
	outage := func(origin string) Record {
		return Record{Kind: Outage, Destination: 7, Origin: origin, Life: 1, Serial: 9}
	}
	store.Add(0, outage("a"))
	store.Add(0, outage("b"))
	if got := store.Advice(0, nil); len(got) != 1 || !got[0].Guard {
		t.Fatalf("advice %+v", got)
	}
	if updates := store.LocalUpdates(sec, circuits(func(circuit *mb.LearnedCircuit) { circuit.Guard, circuit.GuardFrom, circuit.LastBad = true, 0, 3*sec })); len(updates) != 0 {
		t.Errorf("reported as its own: %+v", updates)
	}
	if updates := store.LocalUpdates(4*sec, circuits(func(circuit *mb.LearnedCircuit) { circuit.Breaker, circuit.LastBad = mb.BreakerOpen, sec })); len(updates) != 1 || updates[0].Kind != Outage || updates[0].Age != sec {
		t.Errorf("its own observation: %+v", updates)
	}
	if updates := store.LocalUpdates(5*sec, circuits(func(circuit *mb.LearnedCircuit) { circuit.Wait = 20 * sec })); len(updates) != 1 || updates[0].Kind != RetryAfter || updates[0].Left != 20*sec {
		t.Errorf("a later retry-after time of its own: %+v", updates)
	}
}

// Implausible records of a faulty member are bounded or dropped, and what is left of them counts for at most one
// half-life.
func TestImplausibleRecords(t *testing.T) {
	for name, test := range map[string]struct {
		record  Record
		isNew   bool
		problem Problem
	}{
		"a retry-after time of a year":   {retryAfter("faulty", 1, 365*24*time.Hour), true, ExcessiveWait},
		"a negative age":                 {Record{Kind: Outage, Destination: 7, Origin: "faulty", Age: -sec}, true, NegativeAge},
		"a rate limit of zero":           {Record{Kind: RateLimit, Destination: 7, Origin: "faulty"}, false, InvalidRate},
		"a rate limit that is no number": {Record{Kind: RateLimit, Destination: 7, Origin: "faulty", Rate: math.NaN()}, false, InvalidRate},
		"an infinite rate limit":         {Record{Kind: RateLimit, Destination: 7, Origin: "faulty", Rate: math.Inf(1)}, false, InvalidRate},
		"too old":                        {Record{Kind: Outage, Destination: 7, Origin: "faulty", Age: time.Hour}, false, Valid},
		"an unknown kind":                {Record{Kind: 77, Destination: 7, Origin: "faulty"}, false, Valid},
		"with this forwarder as origin":  {Record{Kind: Outage, Destination: 7, Origin: "me"}, false, Valid},
	} {
		store := newStore("me")
		isNew, problem := store.Add(sec, test.record)
		if isNew != test.isNew || problem != test.problem {
			t.Errorf("%s: new %v, %q", name, isNew, problem)
		}
		for now := sec; now < 100*sec; now += sec {
			for _, circuit := range store.Advice(now, nil) {
				if circuit.Guard || circuit.Wait > 11*sec-now || now > 11*sec && circuit.Limit > 0 {
					t.Errorf("%s: advised at %v: %+v", name, now, circuit)
				}
			}
		}
	}
}

// An outage needs two observers and no success of this forwarder's own calls since; a recovery comes with how long ago
// it began.
func TestOutagesAndRecoveries(t *testing.T) {
	storeWith := func(kinds ...Kind) *Store {
		store := newStore("me")
		for i, k := range kinds {
			store.Add(0, Record{Kind: k, Destination: 7, Origin: string(rune('a' + i)), Life: 1, Serial: 1, Age: 2 * sec})
		}
		return store
	}
	noRecentSuccess := circuits(func(circuit *mb.LearnedCircuit) { circuit.LastOK = 20 * sec })
	if got := storeWith(Outage).Advice(0, noRecentSuccess); len(got) != 0 {
		t.Errorf("one observer: %+v", got)
	}
	if got := storeWith(Outage, Outage).Advice(0, noRecentSuccess); len(got) != 1 || !got[0].Guard || got[0].GuardFrom >= 0 {
		t.Errorf("two observers: %+v", got)
	}
	if got := storeWith(Outage, Outage).Advice(0, circuits(func(circuit *mb.LearnedCircuit) { circuit.LastOK = sec })); len(got) != 0 {
		t.Errorf("despite its own success: %+v", got)
	}
	store := storeWith(Recovery, Outage)
	if got := store.Advice(0, noRecentSuccess); len(got) != 1 || got[0].GuardFrom != 2*sec {
		t.Errorf("a recovery: %+v", got)
	}
	if got := store.Advice(sec, noRecentSuccess); len(got) != 0 {
		t.Errorf("advised twice for one outage: %+v", got)
	}
}

// The median of the reported rate limits applies; a rate limit of its own takes precedence.
func TestRateLimits(t *testing.T) {
	store := newStore("me")
	for i, rate := range []float64{100, 110, 9000} {
		store.Add(0, Record{Kind: RateLimit, Destination: 7, Origin: string(rune('a' + i)), Life: 1, Serial: 1, Rate: rate})
	}
	if got := store.Advice(0, nil); len(got) != 1 || got[0].Limit != 110 || got[0].Trust != 1 {
		t.Errorf("%+v", got)
	}
	if got := store.Advice(0, circuits(func(circuit *mb.LearnedCircuit) { circuit.Limit = 50 })); len(got) != 0 {
		t.Errorf("despite its own rate limit: %+v", got)
	}
	if got := store.Advice(10*sec, nil); len(got) != 1 || got[0].Trust != 0.5 {
		t.Errorf("a half-life later: %+v", got)
	}
	if got := store.Advice(11*sec, nil); len(got) != 0 {
		t.Errorf("after a half-life: %+v", got)
	}
}

// Few records are kept of what many forwarders observe at once, and a late observer has nothing to add.
func TestFewObserversAreKept(t *testing.T) {
	store := newStore("me")
	for i := range 50 {
		store.Add(sec, Record{Kind: Outage, Destination: 7, Origin: string(rune('A' + i)), Life: 1, Serial: 1})
	}
	if len(store.Records(sec)) != maxObservers || store.Counts.Redundant != 50-maxObservers {
		t.Errorf("%d kept, %+v", len(store.Records(sec)), store.Counts)
	}
	if updates := store.LocalUpdates(sec, circuits(func(circuit *mb.LearnedCircuit) { circuit.Breaker, circuit.LastBad = mb.BreakerOpen, 0 })); len(updates) != 0 {
		t.Errorf("reported once more: %+v", updates)
	}
	store.Expire(sec, func(origin string, _ uint64) bool { return origin == "A" })
	if count := len(store.Records(sec)); count != 1 {
		t.Errorf("%d records of removed members are left", count-1)
	}
}
