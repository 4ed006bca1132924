package cluster

import (
	"math"
	"testing"

	"github.com/anishathalye/porcupine"
)

// Guards against a linearizability check that misses stale reads, such as those that a deposed leader answers. A read that is concurrent
// with a write of unknown result may return either value and is no violation.
func TestStaleReadIsDetected(t *testing.T) {
	op := func(write, on bool, from, until int64) porcupine.Operation {
		return porcupine.Operation{Input: registerOp{write, on}, Output: on, Call: from, Return: until}
	}
	for name, c := range map[string]struct {
		ops  []porcupine.Operation
		fine bool
	}{
		"in order":         {[]porcupine.Operation{op(false, false, 0, 1), op(true, true, 2, 5), op(false, false, 3, 4), op(false, true, 6, 7)}, true},
		"stale":            {[]porcupine.Operation{op(true, true, 0, 1), op(false, false, 2, 3)}, false},
		"back and forth":   {[]porcupine.Operation{op(true, true, 0, 9), op(false, true, 1, 2), op(false, false, 3, 4)}, false},
		"unanswered write": {[]porcupine.Operation{op(true, true, 0, math.MaxInt64), op(false, false, 1, 2), op(false, true, 3, 4)}, true},
	} {
		for i := range c.ops {
			c.ops[i].ClientId = i
		}
		r := &register{ops: c.ops}
		if _, bad := r.check(); (bad == "") != c.fine {
			t.Errorf("%s: %q", name, bad)
		}
	}
}
