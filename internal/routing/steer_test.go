package routing

import (
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	mb "mulleinbeam"
	"mulleinbeam/internal/routing/wal"
)

// zones is a Steering that gives access by zone.
type zones struct {
	mu     sync.Mutex
	access map[string]Access
	took   []time.Duration // of calls, as it was told
}

func (z *zones) set(zone string, access Access) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.access[zone] = access
}

func (z *zones) Access(_ int64, zone string) Access {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.access[zone]
}

func (z *zones) Allows(destination int64, zone string) bool {
	return z.Access(destination, zone) != Barred
}

// ReserveCall uses a trial up: the next one has to be allowed again.
func (z *zones) ReserveCall(_ int64, zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	access := z.access[zone]
	if access == Trial {
		z.access[zone] = Barred
	}
	return access != Barred
}

func (z *zones) Admit(int64, string) bool { return true }
func (z *zones) CallEnded(_ int64, _ string, _ mb.Outcome, took time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.took = append(z.took, took)
}

func (z *zones) LimitReported(int64, string, float64) {}

// A zone that is to be tried gets the next call, one, though another would have it; then calls go where they are free to go.
func TestATrialIsTheNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		journal, err := wal.Open(t.TempDir(), wal.Options{MaxBytes: 3e6}, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		steering := &zones{access: map[string]Access{}}
		r, s, end := runSteered(t, journal, nil, steering,
			Endpoint{Name: "a", Address: "a:1", Destination: 7, Zone: "z0", Weight: 50}, Endpoint{Name: "b", Address: "b:1", Destination: 7, Zone: "z1", Weight: 50})
		defer end()
		for i, step := range []struct {
			access Access // of z1
			want   string
		}{{Free, "a"}, {Barred, "a"}, {Trial, "b"}, {Barred, "a"}, {Trial, "b"}, {Free, "a"}} {
			steering.set("z1", step.access)
			r.RefreshAccess()
			if v := r.Accept(message(strconv.Itoa(i))); v.Kind != Accepted {
				t.Fatalf("step %d: %+v", i, v)
			}
			call := <-s.calls
			if call.Endpoint != step.want {
				t.Errorf("step %d: a call goes to %s, want %s", i, call.Endpoint, step.want)
			}
			s.results <- Result{Outcome: mb.OK}
			synctest.Wait()
		}
	})
}

// slowReplica takes its time to hold a record.
type slowReplica struct{ takes time.Duration }

func (s slowReplica) MayAct() bool                   { return true }
func (s slowReplica) CanAccept(string) bool          { return true }
func (s slowReplica) ReplicatesStarts(string) bool   { return true }
func (s slowReplica) LogPosition() uint64            { return 1 }
func (s slowReplica) Replicated(uint64, string) bool { return true }
func (s slowReplica) WaitReplicated(uint64, string) (bool, error) {
	time.Sleep(s.takes) // on the test's own clock
	return false, nil
}

// What a call waits for its replicas is not the time of the endpoint that it goes to.
func TestReplicasTimeIsNotTheEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		journal, err := wal.Open(t.TempDir(), wal.Options{MaxBytes: 3e6}, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		steering := &zones{access: map[string]Access{}}
		r, s, end := runSteered(t, journal, slowReplica{300 * time.Millisecond}, steering, Endpoint{Name: "a", Address: "a:1", Destination: 7, Zone: "z0", Weight: 50})
		defer end()
		r.Continue(func(*wal.Message) bool { return true })
		go r.Accept(message("m")) // it answers once the replicas have the message; the call is on its way before
		call := <-s.calls
		time.Sleep(20 * time.Millisecond) // until it is connected
		if !call.Begin() {
			t.Fatal("the call did not begin")
		}
		time.Sleep(40 * time.Millisecond) // until it is answered
		s.results <- Result{Outcome: mb.OK}
		synctest.Wait()
		if want := []time.Duration{60 * time.Millisecond}; !slices.Equal(steering.took, want) {
			t.Errorf("the endpoint took %v, want %v", steering.took, want)
		}
	})
}
