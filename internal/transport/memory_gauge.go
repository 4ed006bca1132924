package transport

import "sync/atomic"

// memoryGauge is the sum of the memory that several owners hold, in bytes.
type memoryGauge struct{ total atomic.Int64 }

// heldBytes is what one owner adds to a memoryGauge. It is used by one goroutine at a time.
type heldBytes struct {
	gauge *memoryGauge
	bytes int
}

// set records how many bytes the owner holds now.
func (h *heldBytes) set(bytes int) {
	if bytes != h.bytes {
		h.gauge.total.Add(int64(bytes - h.bytes))
		h.bytes = bytes
	}
}
