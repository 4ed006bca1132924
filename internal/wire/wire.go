// Package wire translates between the courier's JSON lines and the events and
// actions of package mulleinbeam. It decides nothing.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	mb "mulleinbeam"
)

// ErrMalformed is wrapped by every error about input that can't be read.
var ErrMalformed = errors.New("wire: malformed input")

// Batch is one line of input.
type Batch struct {
	Moment int64  `json:"moment"`
	Batch  int64  `json:"batch"`
	Parts  []Part `json:"parts"`
}

// Part is what came in for one instance.
type Part struct {
	Instance string            `json:"who"`
	Input    []json.RawMessage `json:"input"`
}

// Reply is one line of output.
type Reply struct {
	Batch int64       `json:"batch"`
	Parts []ReplyPart `json:"parts"`
}

// ReplyPart is what one instance does.
type ReplyPart struct {
	Instance  string `json:"who"`
	Decisions []any  `json:"decisions"`
}

// Provision starts an instance.
type Provision struct {
	Seed     uint64
	Settings mb.Settings
}

// Destroy ends an instance.
type Destroy struct{}

// Catalog is a numbered list that Members events refer to.
type Catalog struct {
	ID      int
	Entries []mb.Entry
}

// ListRef is a Members event whose entries stand in a catalog.
type ListRef struct {
	Scope mb.ListScope
	List  int
}

// ParseBatch reads one line of input.
func ParseBatch(line []byte) (*Batch, error) {
	var b struct {
		Moment *int64  `json:"moment"`
		Batch  *int64  `json:"batch"`
		Parts  *[]Part `json:"parts"`
	}
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("%w: batch: %w", ErrMalformed, err)
	}
	if b.Moment == nil || b.Batch == nil || b.Parts == nil {
		return nil, fmt.Errorf("%w: batch needs moment, batch and parts", ErrMalformed)
	}
	return &Batch{Moment: *b.Moment, Batch: *b.Batch, Parts: *b.Parts}, nil
}

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Moment turns a clock reading of the wire into a time.
func Moment(n int64) time.Duration { return us(n) }

type rawEvent struct {
	Type     string             `json:"type"`
	Seed     json.Number        `json:"random-seed"`
	Settings json.RawMessage    `json:"settings"`
	RID      *uint64            `json:"rid"`
	Band     string             `json:"band"`
	Tenant   json.RawMessage    `json:"user-group"`
	Key      uint64             `json:"path-key"`
	Left     int64              `json:"left"`
	Dest     float64            `json:"to-exchange"`
	N        int                `json:"n"`
	Endpoint string             `json:"endpoint"`
	Outcome  int                `json:"outcome"`
	Delay    int64              `json:"delay-seen"`
	Settled  bool               `json:"settled"`
	WaitMS   int64              `json:"wait-ms"`
	Stats    map[string]float64 `json:"stats"`
	Cookie   uint64             `json:"cookie"`
	Scope    string             `json:"scope"`
	Roster   int                `json:"roster-id"`
	Rows     []rawEntry         `json:"rows-in"`
}

type rawEntry struct {
	Endpoint  string  `json:"endpoint"`
	Locality  string  `json:"locality"`
	Shape     string  `json:"shape"`
	Dest      float64 `json:"destination"`
	Readiness string  `json:"readiness"`
	Hint      float64 `json:"capacity-hint"`
}

var outcomes = map[int]mb.Outcome{
	100: mb.OK, 301: mb.Failed, 302: mb.Refused, 303: mb.TimedOut,
	304: mb.ConnectFailed, 305: mb.Reset, 306: mb.Cancelled, 307: mb.NotSent,
}

var readiness = map[string]mb.Readiness{"SERVING": mb.Serving, "DRAINING": mb.Draining, "DELETED": mb.Deleted}

var scopes = map[string]mb.ListScope{
	"Partial": mb.ListChanges, "Complete": mb.ListWhole, "Persisted": mb.ListSaved, "Error": mb.ListError,
}

// LimitReport reads a load report as what an endpoint tells of its limit; nil if it tells nothing.
func LimitReport(stats map[string]float64) *mb.LimitReport {
	rate, ok := stats["x1"]
	if !ok {
		return nil
	}
	return &mb.LimitReport{Remaining: stats["x0"], Rate: rate}
}

// ParseEvent reads one event: a Provision, Destroy, Catalog or ListRef of this
// package, an event of package mulleinbeam, or nil for one that asks nothing.
func ParseEvent(raw json.RawMessage) (any, error) {
	var e rawEvent
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, fmt.Errorf("%w: event: %w", ErrMalformed, err)
	}
	needID := func() (mb.MessageID, error) {
		if e.RID == nil {
			return 0, fmt.Errorf("%w: %s without rid", ErrMalformed, e.Type)
		}
		return mb.MessageID(*e.RID), nil
	}
	switch e.Type {
	case "provision":
		seed, err := parseSeed(e.Seed)
		if err != nil {
			return nil, err
		}
		s, err := ParseSettings(e.Settings)
		if err != nil {
			return nil, err
		}
		return Provision{Seed: seed, Settings: s}, nil
	case "destroy":
		return Destroy{}, nil
	case "catalog":
		c := Catalog{ID: e.Roster}
		for _, r := range e.Rows {
			state, ok := readiness[r.Readiness]
			if !ok {
				return nil, fmt.Errorf("%w: readiness %q", ErrMalformed, r.Readiness)
			}
			c.Entries = append(c.Entries, mb.Entry{
				Endpoint: mb.EndpointID(r.Endpoint), Zone: r.Locality, Kind: r.Shape,
				Destination: mb.DestinationID(r.Dest), Readiness: state, CapacityHint: r.Hint,
			})
		}
		return c, nil
	case "members":
		scope, ok := scopes[e.Scope]
		if !ok {
			return nil, fmt.Errorf("%w: scope %q", ErrMalformed, e.Scope)
		}
		return ListRef{Scope: scope, List: e.Roster}, nil
	case "submit":
		id, err := needID()
		if err != nil {
			return nil, err
		}
		return mb.Submit{
			ID: id, Class: e.Band, Tenant: name(e.Tenant), Key: mb.OrderKey(e.Key),
			TimeLeft: us(e.Left), Destination: mb.DestinationID(e.Dest),
		}, nil
	case "answer":
		id, err := needID()
		if err != nil {
			return nil, err
		}
		out, ok := outcomes[e.Outcome]
		if !ok {
			return nil, fmt.Errorf("%w: outcome %d", ErrMalformed, e.Outcome)
		}
		a := mb.Answer{
			ID: id, Attempt: e.N, Endpoint: mb.EndpointID(e.Endpoint), Outcome: out,
			Latency: us(e.Delay), Settled: e.Settled, Limit: LimitReport(e.Stats),
		}
		if out == mb.Refused {
			a.RetryAfter = time.Duration(e.WaitMS) * time.Millisecond
		}
		return a, nil
	case "probed":
		out, ok := outcomes[e.Outcome]
		if !ok {
			return nil, fmt.Errorf("%w: outcome %d", ErrMalformed, e.Outcome)
		}
		return mb.Probed{
			Endpoint: mb.EndpointID(e.Endpoint), Outcome: out,
			Latency: us(e.Delay), Limit: LimitReport(e.Stats),
		}, nil
	case "gone":
		id, err := needID()
		if err != nil {
			return nil, err
		}
		return mb.MessageCancelled{ID: id}, nil
	case "timer":
		return mb.Timer{Cookie: e.Cookie}, nil
	case "under-way", "peer":
		return nil, nil
	}
	return nil, fmt.Errorf("%w: unknown message type %q", ErrMalformed, e.Type)
}

func parseSeed(n json.Number) (uint64, error) {
	if u, err := strconv.ParseUint(n.String(), 10, 64); err == nil {
		return u, nil
	}
	i, err := strconv.ParseInt(n.String(), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: random-seed %q", ErrMalformed, n)
	}
	return uint64(i), nil
}

// name reads a name that may be given as a string or be absent or 0.
func name(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) != nil {
		return ""
	}
	return s
}

// ParseSettings reads the settings of an instance; unknown ones are skipped.
func ParseSettings(raw json.RawMessage) (mb.Settings, error) {
	var w struct {
		Azs       []string `json:"azs"`
		Balancers int      `json:"balancers"`
		Family    struct {
			Batch    []int     `json:"batch-by-kind"`
			CallsOut int       `json:"calls-out"`
			Fades    string    `json:"fades"`
			Routes   []bool    `json:"separate-routes"`
			Toll     []float64 `json:"toll"`
		} `json:"family-info"`
		Kinds  []string `json:"kinds"`
		Limits struct {
			Cancel        bool  `json:"cancel"`
			Connect       int64 `json:"connect-timeout"`
			KeepAlive     int64 `json:"keepalive"`
			MaxAttempts   int   `json:"max-attempts"`
			MaxRetryAfter int64 `json:"max-retry-after"`
			MayProbe      bool  `json:"may-probe"`
			MostHeld      int   `json:"most-held"`
			RetryAfter    bool  `json:"retry-after"`
		} `json:"limits"`
		OverShare float64 `json:"over-share-worth"`
		Realms    []struct {
			Name      string  `json:"name"`
			Allowance float64 `json:"allowance-per-s"`
		} `json:"realms"`
		Registry string `json:"registry-mode"`
		Rules    struct {
			AnswerSlack    int64   `json:"answer-slack"`
			AskWithin      int64   `json:"ask-within"`
			ColdFrom       float64 `json:"cold-from"`
			DrainGrace     int64   `json:"drain-grace"`
			OverloadFactor float64 `json:"overload-factor"`
			TipAfter       int64   `json:"tip-after"`
			TurnGap        int64   `json:"turn-gap"`
			WarmWithin     int64   `json:"warm-within"`
		} `json:"rules"`
		Services []struct {
			Credit    float64 `json:"credit"`
			Effect    string  `json:"effect"`
			GiveUp    int64   `json:"give-up"`
			Group     string  `json:"group"`
			KeyTTL    int64   `json:"key-ttl"`
			LateWorth float64 `json:"late-worth"`
			Name      string  `json:"name"`
			Target    int64   `json:"target"`
			InOrder   bool    `json:"fifo-by-key"`
		} `json:"services"`
		WeightSource string `json:"weight-source"`
	}
	if len(raw) == 0 {
		return mb.Settings{}, fmt.Errorf("%w: provision without settings", ErrMalformed)
	}
	if err := json.Unmarshal(raw, &w); err != nil {
		return mb.Settings{}, fmt.Errorf("%w: settings: %w", ErrMalformed, err)
	}
	s := mb.Settings{
		Forwarders: w.Balancers, Slots: w.Family.CallsOut, MostHeld: w.Limits.MostHeld,
		MaxAttempts: w.Limits.MaxAttempts, OverShareWorth: w.OverShare,
		SeparateRoutes: map[string]bool{}, BatchByKind: map[string]int{}, ZoneFee: map[string]float64{},
		UseCapacityHints:   w.WeightSource == "nominal" || w.WeightSource == "rough",
		RoughCapacityHints: w.WeightSource == "rough",
		MayProbe:           w.Limits.MayProbe, MayCancel: w.Limits.Cancel,
		SendRetryAfter: w.Limits.RetryAfter, MaxRetryAfter: us(w.Limits.MaxRetryAfter),
		MustSubscribe: w.Registry == "subscribe", SubscribeWithin: us(w.Rules.AskWithin),
		KeepAlive: us(w.Limits.KeepAlive), ConnectTimeout: us(w.Limits.Connect), AnswerSlack: us(w.Rules.AnswerSlack),
		DrainGrace: us(w.Rules.DrainGrace), TurnGap: us(w.Rules.TurnGap),
		OverloadFactor: w.Rules.OverloadFactor, TipAfter: us(w.Rules.TipAfter),
		ColdFrom: w.Rules.ColdFrom, WarmWithin: us(w.Rules.WarmWithin),
	}
	if w.Family.Fades == "by_half" {
		s.Decay = mb.DecayExponential
	}
	for i, k := range w.Kinds {
		if i < len(w.Family.Routes) {
			s.SeparateRoutes[k] = w.Family.Routes[i]
		}
		if i < len(w.Family.Batch) {
			s.BatchByKind[k] = w.Family.Batch[i]
		}
	}
	for i, z := range w.Azs {
		if i < len(w.Family.Toll) {
			s.ZoneFee[z] = w.Family.Toll[i]
		}
	}
	for _, r := range w.Realms {
		s.Tenants = append(s.Tenants, mb.Tenant{Name: r.Name, AllowancePerS: r.Allowance})
	}
	effects := map[string]mb.Effect{"safe": mb.Safe, "keyed": mb.Keyed, "unsafe": mb.Unsafe}
	for _, c := range w.Services {
		effect, ok := effects[c.Effect]
		if !ok {
			return s, fmt.Errorf("%w: class %q: effect %q", ErrMalformed, c.Name, c.Effect)
		}
		s.Classes = append(s.Classes, mb.Class{
			Name: c.Name, Target: us(c.Target), DeliveryTimeout: us(c.GiveUp), Worth: c.Credit, LateWorth: c.LateWorth,
			Effect: effect, SameZoneOnly: c.Group != "all", KeyTTL: us(c.KeyTTL), InOrder: c.InOrder,
		})
	}
	return s, nil
}

// EncodeAction turns an action into its wire form.
func EncodeAction(a mb.Action) (any, error) {
	switch a := a.(type) {
	case mb.Send:
		return struct {
			Type     string `json:"type"`
			RID      uint64 `json:"rid"`
			Endpoint string `json:"endpoint"`
			CutAt    int64  `json:"cut-at,omitempty"`
		}{"place", uint64(a.ID), string(a.Endpoint), a.CutAt.Microseconds()}, nil
	case mb.Refuse:
		return struct {
			Type    string `json:"type"`
			RID     uint64 `json:"rid"`
			Backoff int64  `json:"backoff,omitempty"`
		}{"busy", uint64(a.ID), a.RetryAfter.Microseconds()}, nil
	case mb.Fail:
		return struct {
			Type string `json:"type"`
			RID  uint64 `json:"rid"`
		}{"drop-request", uint64(a.ID)}, nil
	case mb.Cancel:
		return struct {
			Type string `json:"type"`
			RID  uint64 `json:"rid"`
			N    int    `json:"n"`
		}{"withdraw", uint64(a.ID), a.Attempt}, nil
	case mb.Probe:
		return struct {
			Type     string `json:"type"`
			Endpoint string `json:"endpoint"`
		}{"sound-out", string(a.Endpoint)}, nil
	case mb.CloseIdle:
		return struct {
			Type     string `json:"type"`
			Endpoint string `json:"endpoint"`
		}{"hang-up", string(a.Endpoint)}, nil
	case mb.Subscribe:
		return struct {
			Type string `json:"type"`
			On   bool   `json:"on"`
		}{"keep-informed", true}, nil
	case mb.SetTimer:
		return struct {
			Type   string `json:"type"`
			Wait   int64  `json:"wait"`
			Cookie uint64 `json:"cookie"`
		}{"notify-me", a.After.Microseconds(), a.Cookie}, nil
	case mb.Log:
		return Emit{"emit", a.Text}, nil
	}
	return nil, fmt.Errorf("wire: no form for action %T", a)
}

// Emit is a line for the operators, or a fault where Type is "bug".
type Emit struct {
	Type string `json:"type"`
	What string `json:"what"`
}

// Bug reports a failure of the decision code.
func Bug(text string) Emit { return Emit{Type: "bug", What: text} }
