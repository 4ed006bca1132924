package transport

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// testHolder is a connection whose read is interrupted: it then releases its memory.
func testHolder(m *RequestMemory) *requestHolder {
	var h *requestHolder
	h = m.newHolder(func() { go h.set(0, false) })
	return h
}

// Guards against memory over the limit, and against clients that wait for those that are slow: at the bound the request that has held
// the most for the longest time is refused, and the others are served in their order.
func TestSlowestRequestReleasesItsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &RequestMemory{}
		m.SetLimit(100 << 10)
		holders := make([]*requestHolder, 4)
		for i, bytes := range []int{10 << 10, 60 << 10, 30 << 10} {
			if holders[i] = testHolder(m); !holders[i].reserve(bytes + freeRequestBytes) {
				t.Fatalf("request %d was refused with memory left", i)
			}
			time.Sleep(time.Millisecond)
		}
		began := time.Now()
		if holders[3] = testHolder(m); !holders[3].reserve(50<<10 + freeRequestBytes) {
			t.Fatal("a request was refused although another one had to give way")
		}
		if waited := time.Since(began); waited > minHoldTime {
			t.Errorf("it waited for %v", waited)
		}
		synctest.Wait()
		for i, want := range []int64{10 << 10, 0, 30 << 10, 50 << 10} {
			if got := holders[i].bytes; got != want {
				t.Errorf("request %d holds %d bytes, want %d", i, got, want)
			}
		}
	})
}

// A request that is being answered keeps its memory, and one that finds no room for maxMemoryWait is refused.
func TestWholeRequestsKeepTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &RequestMemory{}
		m.SetLimit(100 << 10)
		whole, late := testHolder(m), testHolder(m)
		whole.set(90<<10, true)
		began := time.Now()
		if late.reserve(64 << 10) {
			t.Error("memory was granted beyond the limit")
		}
		if waited := time.Since(began); waited != maxMemoryWait || whole.isEvicted() {
			t.Errorf("refused after %v, the whole request evicted: %v", waited, whole.isEvicted())
		}
		if whole.set(0, false); !late.reserve(64 << 10) {
			t.Error("refused with memory left")
		}
	})
}

// However connections take and release memory, its sum stays within the limit, all that is held is counted, and none waits for ever.
func TestRequestMemoryHoldsItsLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			const limit = 200 << 10
			m := &RequestMemory{}
			m.SetLimit(limit)
			done := make(chan struct{})
			connections := rapid.IntRange(1, 12).Draw(rt, "connections")
			for range connections {
				sizes := rapid.SliceOfN(rapid.IntRange(0, 100<<10), 1, 8).Draw(rt, "sizes")
				pause := time.Duration(rapid.IntRange(0, 80).Draw(rt, "pause")) * time.Millisecond
				go func() {
					defer func() { done <- struct{}{} }()
					h := m.newHolder(func() {})
					for _, size := range sizes {
						if h.reserve(size) && !h.isEvicted() {
							h.set(size, size%3 == 0)
							time.Sleep(pause)
						}
						m.mu.Lock()
						used := m.used
						m.mu.Unlock()
						if h.isEvicted() || size%2 == 0 {
							h.set(0, false)
						}
						if used > limit {
							t.Errorf("%d bytes are held", used)
						}
					}
					h.set(0, false)
				}()
			}
			for range connections {
				<-done
			}
			if m.used != 0 || m.evicting != 0 || len(m.holders)+len(m.waiting) > 0 {
				t.Errorf("left: %d bytes, %d of evicted ones, %d holders, %d waiting", m.used, m.evicting, len(m.holders), len(m.waiting))
			}
		})
	})
}
