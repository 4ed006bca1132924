package oplog

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// While something fails, the log must neither grow with each request nor omit the failure.
func TestSamplerLogsFirstAndThenAtIntervals(t *testing.T) {
	var out bytes.Buffer
	s := NewSampler(zerolog.New(&out))
	at := time.Unix(1000, 0)
	s.now = func() time.Time { return at }
	note := func(reason, id string) {
		s.Note("request refused", reason, func(e *zerolog.Event) { e.Str("request", id) })
	}
	for i := range 3000 {
		note("journal", "a")
		if at = at.Add(time.Millisecond); i == 1500 {
			note("full", "b")
		}
	}
	at = at.Add(logInterval)
	note("journal", "c")
	note("journal", "d")
	s.Close()
	want := `{"level":"info","reason":"journal","times":1,"request":"a","message":"request refused"}
{"level":"info","reason":"full","times":1,"request":"b","message":"request refused"}
{"level":"info","reason":"journal","times":3000,"request":"c","message":"request refused"}
{"level":"info","reason":"journal","times":1,"message":"request refused"}
`
	if got := out.String(); got != want {
		t.Errorf("logged\n%s", got)
	}
	(*Sampler)(nil).Note("nothing", "", nil)
	for i := range 2 * maxKinds {
		note(strings.Repeat("x", i), "")
	}
	if len(s.kinds) != maxKinds {
		t.Errorf("%d kinds are kept", len(s.kinds))
	}
}
