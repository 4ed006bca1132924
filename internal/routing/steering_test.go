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

// zoneSteering is a Steering with an access per zone.
type zoneSteering struct {
	mu        sync.Mutex
	access    map[string]Access
	durations []time.Duration // reported durations of calls
}

func (z *zoneSteering) set(zone string, access Access) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.access[zone] = access
}

func (z *zoneSteering) Access(_ int64, zone string) Access {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.access[zone]
}

func (z *zoneSteering) Allows(destination int64, zone string) bool {
	return z.Access(destination, zone) != Barred
}

// ReserveCall uses up a trial: the next one has to be allowed again.
func (z *zoneSteering) ReserveCall(_ int64, zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	access := z.access[zone]
	if access == Trial {
		z.access[zone] = Barred
	}
	return access != Barred
}

func (z *zoneSteering) Admit(int64, string) bool { return true }
func (z *zoneSteering) CallEnded(_ int64, _ string, _ mb.Outcome, took time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.durations = append(z.durations, took)
}

func (z *zoneSteering) LimitReported(int64, string, float64) {}

// A zone under trial gets exactly the next call, even if another zone would be preferred; later calls go where access
// is free.
func TestTrialIsNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		journal, err := wal.Open(t.TempDir(), wal.Options{MaxBytes: 3e6}, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		steering := &zoneSteering{access: map[string]Access{}}
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
				t.Errorf("step %d: call to %s, want %s", i, call.Endpoint, step.want)
			}
			s.results <- Result{Outcome: mb.OK}
			synctest.Wait()
		}
	})
}

// slowReplica takes the given time to replicate a record.
type slowReplica struct{ takes time.Duration }

func (s slowReplica) MayAct() bool                   { return true }
func (s slowReplica) CanAccept(string) bool          { return true }
func (s slowReplica) ReplicatesStarts(string) bool   { return true }
func (s slowReplica) LogPosition() uint64            { return 1 }
func (s slowReplica) Replicated(uint64, string) bool { return true }
func (s slowReplica) WaitReplicated(uint64, string) (bool, error) {
	time.Sleep(s.takes) // fake time
	return false, nil
}

// The time that a call waits for its replicas does not count as the endpoint's time.
func TestReplicationTimeIsNotCallTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		journal, err := wal.Open(t.TempDir(), wal.Options{MaxBytes: 3e6}, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		steering := &zoneSteering{access: map[string]Access{}}
		r, s, end := runSteered(t, journal, slowReplica{300 * time.Millisecond}, steering, Endpoint{Name: "a", Address: "a:1", Destination: 7, Zone: "z0", Weight: 50})
		defer end()
		r.Continue(func(*wal.Message) bool { return true })
		go r.Accept(message("m")) // returns once the message is replicated, after its call has left
		call := <-s.calls
		time.Sleep(20 * time.Millisecond) // time to connect
		if !call.Begin() {
			t.Fatal("the call did not begin")
		}
		time.Sleep(40 * time.Millisecond) // time to answer
		s.results <- Result{Outcome: mb.OK}
		synctest.Wait()
		if want := []time.Duration{60 * time.Millisecond}; !slices.Equal(steering.durations, want) {
			t.Errorf("the endpoint took %v, want %v", steering.durations, want)
		}
	})
}
