// Package wire translates between the simulator's JSON lines and the events and
// actions of package mulleinbeam. It makes no decisions of its own.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	mb "mulleinbeam"
)

// ErrMalformed is wrapped by all errors about input that can't be parsed.
var ErrMalformed = errors.New("wire: malformed input")

// Batch is one line of input.
type Batch struct {
	Moment int64  `json:"moment"`
	Batch  int64  `json:"batch"`
	Parts  []Part `json:"parts"`
}

// Part is the input of one instance.
type Part struct {
	Instance string            `json:"who"`
	Input    []json.RawMessage `json:"input"`
}

// Reply is one line of output.
type Reply struct {
	Batch int64       `json:"batch"`
	Parts []ReplyPart `json:"parts"`
}

// ReplyPart is the list of actions of one instance.
type ReplyPart struct {
	Instance  string `json:"who"`
	Decisions []any  `json:"decisions"`
}

// Provision is the event that starts an instance.
type Provision struct {
	Seed     uint64
	Settings mb.Settings
}

// Destroy is the event that ends an instance.
type Destroy struct{}

// Catalog is a numbered list of endpoints that ListRef events refer to.
type Catalog struct {
	ID      int
	Entries []mb.Entry
}

// ListRef is a list update whose entries are those of a catalog.
type ListRef struct {
	Scope mb.ListScope
	List  int
}

// ParseBatch parses one line of input.
func ParseBatch(line []byte) (*Batch, error) {
	var fields struct {
		Moment *int64  `json:"moment"`
		Batch  *int64  `json:"batch"`
		Parts  *[]Part `json:"parts"`
	}
	if err := json.Unmarshal(line, &fields); err != nil {
		return nil, fmt.Errorf("%w: batch: %w", ErrMalformed, err)
	}
	if fields.Moment == nil || fields.Batch == nil || fields.Parts == nil {
		return nil, fmt.Errorf("%w: batch needs moment, batch and parts", ErrMalformed)
	}
	return &Batch{Moment: *fields.Moment, Batch: *fields.Batch, Parts: *fields.Parts}, nil
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Moment converts a clock reading of the wire, in microseconds, to a duration.
func Moment(n int64) time.Duration { return micros(n) }

type rawEvent struct {
	Type        string             `json:"type"`
	Seed        json.Number        `json:"random-seed"`
	Settings    json.RawMessage    `json:"settings"`
	MessageID   *uint64            `json:"rid"`
	Class       string             `json:"band"`
	Tenant      json.RawMessage    `json:"user-group"`
	Key         uint64             `json:"path-key"`
	TimeLeft    int64              `json:"left"`
	Destination float64            `json:"to-exchange"`
	Attempt     int                `json:"n"`
	Endpoint    string             `json:"endpoint"`
	Outcome     int                `json:"outcome"`
	Latency     int64              `json:"delay-seen"`
	Settled     bool               `json:"settled"`
	WaitMS      int64              `json:"wait-ms"`
	Stats       map[string]float64 `json:"stats"`
	Cookie      uint64             `json:"cookie"`
	Scope       string             `json:"scope"`
	ListID      int                `json:"roster-id"`
	Entries     []rawEntry         `json:"rows-in"`
}

type rawEntry struct {
	Endpoint     string  `json:"endpoint"`
	Zone         string  `json:"locality"`
	Kind         string  `json:"shape"`
	Destination  float64 `json:"destination"`
	Readiness    string  `json:"readiness"`
	CapacityHint float64 `json:"capacity-hint"`
}

var outcomes = map[int]mb.Outcome{
	100: mb.OK, 301: mb.Failed, 302: mb.Refused, 303: mb.TimedOut,
	304: mb.ConnectFailed, 305: mb.Reset, 306: mb.Cancelled, 307: mb.NotSent,
}

var readiness = map[string]mb.Readiness{"SERVING": mb.Serving, "DRAINING": mb.Draining, "DELETED": mb.Deleted}

var scopes = map[string]mb.ListScope{
	"Partial": mb.ListChanges, "Complete": mb.ListWhole, "Persisted": mb.ListSaved, "Error": mb.ListError,
}

// LimitReport extracts an endpoint's rate limit from its load report; nil if the report has none.
func LimitReport(stats map[string]float64) *mb.LimitReport {
	rate, ok := stats["x1"]
	if !ok {
		return nil
	}
	return &mb.LimitReport{Remaining: stats["x0"], Rate: rate}
}

// ParseEvent parses one event: a Provision, Destroy, Catalog or ListRef of this
// package, an event of package mulleinbeam, or nil for one that is ignored.
func ParseEvent(raw json.RawMessage) (any, error) {
	var event rawEvent
	if err := json.Unmarshal(raw, &event); err != nil {
		return nil, fmt.Errorf("%w: event: %w", ErrMalformed, err)
	}
	needID := func() (mb.MessageID, error) {
		if event.MessageID == nil {
			return 0, fmt.Errorf("%w: %s without rid", ErrMalformed, event.Type)
		}
		return mb.MessageID(*event.MessageID), nil
	}
	switch event.Type {
	case "provision":
		seed, err := parseSeed(event.Seed)
		if err != nil {
			return nil, err
		}
		settings, err := ParseSettings(event.Settings)
		if err != nil {
			return nil, err
		}
		return Provision{Seed: seed, Settings: settings}, nil
	case "destroy":
		return Destroy{}, nil
	case "catalog":
		catalog := Catalog{ID: event.ListID}
		for _, row := range event.Entries {
			state, ok := readiness[row.Readiness]
			if !ok {
				return nil, fmt.Errorf("%w: readiness %q", ErrMalformed, row.Readiness)
			}
			catalog.Entries = append(catalog.Entries, mb.Entry{
				Endpoint: mb.EndpointID(row.Endpoint), Zone: row.Zone, Kind: row.Kind,
				Destination: mb.DestinationID(row.Destination), Readiness: state, CapacityHint: row.CapacityHint,
			})
		}
		return catalog, nil
	case "members":
		scope, ok := scopes[event.Scope]
		if !ok {
			return nil, fmt.Errorf("%w: scope %q", ErrMalformed, event.Scope)
		}
		return ListRef{Scope: scope, List: event.ListID}, nil
	case "submit":
		id, err := needID()
		if err != nil {
			return nil, err
		}
		return mb.Submit{
			ID: id, Class: event.Class, Tenant: parseName(event.Tenant), Key: mb.OrderKey(event.Key),
			TimeLeft: micros(event.TimeLeft), Destination: mb.DestinationID(event.Destination),
		}, nil
	case "answer":
		id, err := needID()
		if err != nil {
			return nil, err
		}
		outcome, ok := outcomes[event.Outcome]
		if !ok {
			return nil, fmt.Errorf("%w: outcome %d", ErrMalformed, event.Outcome)
		}
		answer := mb.Answer{
			ID: id, Attempt: event.Attempt, Endpoint: mb.EndpointID(event.Endpoint), Outcome: outcome,
			Latency: micros(event.Latency), Settled: event.Settled, Limit: LimitReport(event.Stats),
		}
		if outcome == mb.Refused {
			answer.RetryAfter = time.Duration(event.WaitMS) * time.Millisecond
		}
		return answer, nil
	case "probed":
		outcome, ok := outcomes[event.Outcome]
		if !ok {
			return nil, fmt.Errorf("%w: outcome %d", ErrMalformed, event.Outcome)
		}
		return mb.Probed{
			Endpoint: mb.EndpointID(event.Endpoint), Outcome: outcome,
			Latency: micros(event.Latency), Limit: LimitReport(event.Stats),
		}, nil
	case "gone":
		id, err := needID()
		if err != nil {
			return nil, err
		}
		return mb.MessageCancelled{ID: id}, nil
	case "timer":
		return mb.Timer{Cookie: event.Cookie}, nil
	case "under-way", "peer":
		return nil, nil
	}
	return nil, fmt.Errorf("%w: unknown message type %q", ErrMalformed, event.Type)
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

// parseName parses a name, which is a string, or absent or 0 for an empty one.
func parseName(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) != nil {
		return ""
	}
	return s
}

// ParseSettings parses the settings of an instance; unknown ones are ignored.
func ParseSettings(raw json.RawMessage) (mb.Settings, error) {
	var fields struct {
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
	if err := json.Unmarshal(raw, &fields); err != nil {
		return mb.Settings{}, fmt.Errorf("%w: settings: %w", ErrMalformed, err)
	}
	settings := mb.Settings{
		Forwarders: fields.Balancers, Slots: fields.Family.CallsOut, MostHeld: fields.Limits.MostHeld,
		MaxAttempts: fields.Limits.MaxAttempts, OverShareWorth: fields.OverShare,
		SeparateRoutes: map[string]bool{}, BatchByKind: map[string]int{}, ZoneFee: map[string]float64{},
		UseCapacityHints:   fields.WeightSource == "nominal" || fields.WeightSource == "rough",
		RoughCapacityHints: fields.WeightSource == "rough",
		MayProbe:           fields.Limits.MayProbe, MayCancel: fields.Limits.Cancel,
		SendRetryAfter: fields.Limits.RetryAfter, MaxRetryAfter: micros(fields.Limits.MaxRetryAfter),
		MustSubscribe: fields.Registry == "subscribe", SubscribeWithin: micros(fields.Rules.AskWithin),
		KeepAlive: micros(fields.Limits.KeepAlive), ConnectTimeout: micros(fields.Limits.Connect), AnswerSlack: micros(fields.Rules.AnswerSlack),
		DrainGrace: micros(fields.Rules.DrainGrace), TurnGap: micros(fields.Rules.TurnGap),
		OverloadFactor: fields.Rules.OverloadFactor, TipAfter: micros(fields.Rules.TipAfter),
		ColdFrom: fields.Rules.ColdFrom, WarmWithin: micros(fields.Rules.WarmWithin),
	}
	if fields.Family.Fades == "by_half" {
		settings.Decay = mb.DecayExponential
	}
	for i, kind := range fields.Kinds {
		if i < len(fields.Family.Routes) {
			settings.SeparateRoutes[kind] = fields.Family.Routes[i]
		}
		if i < len(fields.Family.Batch) {
			settings.BatchByKind[kind] = fields.Family.Batch[i]
		}
	}
	for i, zone := range fields.Azs {
		if i < len(fields.Family.Toll) {
			settings.ZoneFee[zone] = fields.Family.Toll[i]
		}
	}
	for _, realm := range fields.Realms {
		settings.Tenants = append(settings.Tenants, mb.Tenant{Name: realm.Name, AllowancePerS: realm.Allowance})
	}
	effects := map[string]mb.Effect{"safe": mb.Safe, "keyed": mb.Keyed, "unsafe": mb.Unsafe}
	for _, class := range fields.Services {
		effect, ok := effects[class.Effect]
		if !ok {
			return settings, fmt.Errorf("%w: class %q: effect %q", ErrMalformed, class.Name, class.Effect)
		}
		settings.Classes = append(settings.Classes, mb.Class{
			Name: class.Name, Target: micros(class.Target), DeliveryTimeout: micros(class.GiveUp), Worth: class.Credit, LateWorth: class.LateWorth,
			Effect: effect, SameZoneOnly: class.Group != "all", KeyTTL: micros(class.KeyTTL), InOrder: class.InOrder,
		})
	}
	return settings, nil
}

// EncodeAction converts an action to its wire form.
func EncodeAction(action mb.Action) (any, error) {
	switch a := action.(type) {
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
	return nil, fmt.Errorf("wire: no encoding for action %T", action)
}

// Emit is a log line for the operators, or a fault report if Type is "bug".
type Emit struct {
	Type string `json:"type"`
	What string `json:"what"`
}

// Bug returns the report of a failure of the decision code.
func Bug(text string) Emit { return Emit{Type: "bug", What: text} }
