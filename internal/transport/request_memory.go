package transport

import (
	"slices"
	"sync"
	"time"
)

const (
	// freeRequestBytes is the memory of a parser that is not counted: each connection has it anyway.
	freeRequestBytes = 3 << 10
	// minHoldTime is how long a request keeps its memory while others wait for some: a request whose bytes follow each other is
	// whole by then.
	minHoldTime = 25 * time.Millisecond
	// maxMemoryWait is how long a request waits for memory before it is refused: its client waits 400 ms for an answer.
	maxMemoryWait = 300 * time.Millisecond
)

// RequestMemory bounds the memory that all connections of clients hold together for requests that are not whole. At the bound a
// connection is not read until others release memory, which the largest and slowest requests are made to do. It is safe for concurrent
// use; the zero value has no bound.
type RequestMemory struct {
	mu       sync.Mutex
	limit    int64 // in bytes; 0 for none
	used     int64
	evicting int64 // part of used that evicted requests still hold
	holders  map[*requestHolder]struct{}
	waiting  []*requestHolder // in the order in which they came
}

// requestHolder is what one connection holds for its present request. RequestMemory.mu guards its fields but for wake.
type requestHolder struct {
	memory    *RequestMemory
	interrupt func() // ends the connection's read; must not block

	bytes   int64
	since   time.Time // when the present request began to hold memory
	whole   bool      // the request is being answered
	evicted bool      // it has to release its memory
	wanted  int64     // what it waits for
	granted bool
	wake    chan struct{} // receives a value when it was granted memory or evicted, or is the first to wait
}

// SetLimit changes the bound, in bytes. What is held beyond it is not taken back.
func (m *RequestMemory) SetLimit(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = bytes
	m.grant()
}

// newHolder returns the holder of a connection. interrupt makes a read of it return. Without a RequestMemory there is no bound.
func (m *RequestMemory) newHolder(interrupt func()) *requestHolder {
	return &requestHolder{memory: m, interrupt: interrupt, wake: make(chan struct{}, 1)}
}

// charged returns what of a parser's memory counts.
func charged(heldBytes int) int64 { return int64(max(0, heldBytes-freeRequestBytes)) }

// set records that the connection's parser holds so much, for a request that is whole or not.
func (h *requestHolder) set(heldBytes int, whole bool) {
	bytes := charged(heldBytes)
	// While the connection's goroutine does not wait for memory, it alone changes bytes and whole.
	if h.memory == nil || bytes == h.bytes && (bytes == 0 || whole == h.whole) {
		return
	}
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	h.setWhole(whole)
	if bytes == 0 || whole {
		m.endEviction(h)
	}
	m.resize(h, bytes)
	m.grant()
}

// reserve waits until the parser may hold so much. It returns false if the request has to be refused instead.
func (h *requestHolder) reserve(heldBytes int) bool {
	bytes := charged(heldBytes)
	if h.memory == nil || bytes <= h.bytes {
		return true
	}
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.setWhole(false); h.evicted {
		return false
	}
	if h.wanted = bytes - h.bytes; len(m.waiting) == 0 && m.fits(h.wanted) {
		m.resize(h, bytes)
		return true
	}
	return bytes <= m.limit && m.await(h)
}

// setWhole records whether the present request is whole. The next one begins behind it. It is called with m.mu held.
func (h *requestHolder) setWhole(whole bool) {
	if h.whole && !whole {
		h.since = time.Now()
	}
	h.whole = whole
}

// isEvicted reports whether the connection has to release its memory.
func (h *requestHolder) isEvicted() bool {
	if h.memory == nil {
		return false
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.evicted
}

// fits reports whether so much is left. Like the methods below, it is called with m.mu held.
func (m *RequestMemory) fits(bytes int64) bool { return m.limit == 0 || m.used+bytes <= m.limit }

// resize changes what a connection holds.
func (m *RequestMemory) resize(h *requestHolder, bytes int64) {
	m.used += bytes - h.bytes
	if h.evicted {
		m.evicting += bytes - h.bytes
	}
	if h.bytes == 0 && bytes > 0 {
		h.since = time.Now()
		if m.holders == nil {
			m.holders = map[*requestHolder]struct{}{}
		}
		m.holders[h] = struct{}{}
	}
	if h.bytes = bytes; bytes == 0 {
		delete(m.holders, h)
	}
}

// endEviction ends the eviction of a connection that releases its memory, or whose request has become whole meanwhile.
func (m *RequestMemory) endEviction(h *requestHolder) {
	if h.evicted {
		h.evicted = false
		m.evicting -= h.bytes
	}
}

// grant gives memory to those who wait, in their order, for as long as it lasts.
func (m *RequestMemory) grant() {
	for len(m.waiting) > 0 && m.fits(m.waiting[0].wanted) {
		h := m.waiting[0]
		m.waiting = slices.Delete(m.waiting, 0, 1)
		m.resize(h, h.bytes+h.wanted)
		h.granted = true
		h.notify()
	}
	if len(m.waiting) > 0 {
		m.waiting[0].notify()
	}
}

func (h *requestHolder) notify() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// await queues a connection until it is granted what it wants. It returns false if it was evicted, or has waited too long.
func (m *RequestMemory) await(h *requestHolder) bool {
	until := time.Now().Add(maxMemoryWait)
	h.granted = false
	m.waiting = append(m.waiting, h)
	for {
		pause := time.Until(until)
		if m.waiting[0] == h {
			pause = min(pause, m.makeRoom(h.wanted))
		}
		if h.evicted || pause <= 0 {
			break
		}
		m.sleep(h, pause)
		if h.granted {
			return true
		}
	}
	first := m.waiting[0] == h
	m.waiting = slices.DeleteFunc(m.waiting, func(other *requestHolder) bool { return other == h })
	if first {
		m.grant()
	}
	return false
}

// sleep waits until the connection is notified, or for a time, without m.mu.
func (m *RequestMemory) sleep(h *requestHolder, pause time.Duration) {
	m.mu.Unlock()
	defer m.mu.Lock()
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-h.wake:
	case <-timer.C:
	}
}

// makeRoom evicts the largest and slowest requests until their memory is enough. It returns the time after which another one may be
// evicted, if it was not.
func (m *RequestMemory) makeRoom(wanted int64) time.Duration {
	now := time.Now()
	for m.used-m.evicting+wanted > m.limit {
		slowest := m.slowest(now)
		if slowest == nil {
			return minHoldTime
		}
		slowest.evicted = true
		m.evicting += slowest.bytes
		slowest.notify()
		slowest.interrupt()
	}
	return maxMemoryWait
}

// slowest returns the request that has held the most memory for the longest time, of those that have held it for minHoldTime; nil if
// there is none.
func (m *RequestMemory) slowest(now time.Time) (slowest *requestHolder) {
	most := 0.0
	for h := range m.holders {
		age := now.Sub(h.since)
		if h.whole || h.evicted || age < minHoldTime {
			continue
		}
		if cost := float64(h.bytes) * age.Seconds(); cost > most {
			slowest, most = h, cost
		}
	}
	return slowest
}
