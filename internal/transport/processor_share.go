package transport

import "runtime"

const (
	shareBytes        = 32 << 10 // bytes of a connection that are handled before others get the processor
	requestShareBytes = 2 << 10  // bytes that take about as long as answering a request, besides those of its text
)

// processorShare makes a connection give way to others while more of its input has arrived than can be handled at once. Such
// a connection does not wait for anything; without giving way it would keep the processor for the scheduler's whole time
// slice, some 10 ms, and the answers of other clients would wait for as many of these as there are such connections.
type processorShare struct{ bytes int }

// use counts bytes that were handled.
func (p *processorShare) use(bytes int) {
	if p.bytes += bytes; p.bytes >= shareBytes {
		p.bytes = 0
		runtime.Gosched()
	}
}
