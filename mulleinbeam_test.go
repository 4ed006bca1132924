package mulleinbeam

import (
	"errors"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
)

func TestNewReportsBadSettings(t *testing.T) {
	if _, err := New(Settings{}, 1); !errors.Is(err, ErrSettings) {
		t.Fatalf("New with empty settings: %v, want ErrSettings", err)
	}
}

// Each unusable setting is rejected with an error that names it.
func TestUnusableSettingsAreNamed(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	for name, mutate := range map[string]func(s *Settings){
		"Forwarders":      func(s *Settings) { s.Forwarders = 0 },
		"Slots":           func(s *Settings) { s.Slots = -1 },
		"MostHeld":        func(s *Settings) { s.MostHeld = 0 },
		"MaxAttempts":     func(s *Settings) { s.MaxAttempts = 0 },
		"Classes":         func(s *Settings) { s.Classes = nil },
		"named twice":     func(s *Settings) { s.Classes = append(s.Classes, s.Classes[0]) },
		"Target":          func(s *Settings) { s.Classes[0].Target = 0 },
		"DeliveryTimeout": func(s *Settings) { s.Classes[0].DeliveryTimeout = -1 },
		"Effect":          func(s *Settings) { s.Classes[0].Effect = 7 },
		"needs KeyTTL":    func(s *Settings) { s.Classes[1].KeyTTL = 0 },
		"KeyTTL is":       func(s *Settings) { s.Classes[0].KeyTTL = -1 },
		"Worth must":      func(s *Settings) { s.Classes[0].Worth = nan },
		"LateWorth":       func(s *Settings) { s.Classes[0].LateWorth = 1.5 },
		"tenant":          func(s *Settings) { s.Tenants = []Tenant{{Name: "t"}, {Name: "t"}} },
		"AllowancePerS":   func(s *Settings) { s.Tenants = []Tenant{{Name: "t", AllowancePerS: inf}} },
		"ZoneFee":         func(s *Settings) { s.ZoneFee = map[string]float64{"z": nan} },
		"MaxRetryAfter":   func(s *Settings) { s.MaxRetryAfter = -1 },
		"SubscribeWithin": func(s *Settings) { s.SubscribeWithin = -1 },
		"KeepAlive":       func(s *Settings) { s.KeepAlive = -1 },
		"AnswerSlack":     func(s *Settings) { s.AnswerSlack = -1 },
		"DrainGrace":      func(s *Settings) { s.DrainGrace = -1 },
		"TurnGap":         func(s *Settings) { s.TurnGap = -1 },
		"TipAfter":        func(s *Settings) { s.TipAfter = -1 },
		"WarmWithin":      func(s *Settings) { s.WarmWithin = -1 },
		"OverShareWorth":  func(s *Settings) { s.OverShareWorth = -0.1 },
		"ColdFrom":        func(s *Settings) { s.ColdFrom = nan },
		"OverloadFactor":  func(s *Settings) { s.OverloadFactor = inf },
	} {
		s := testSettings()
		s.Classes = slices.Clone(s.Classes)
		mutate(&s)
		if _, err := New(s, 1); !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := New(testSettings(), 1); err != nil {
		t.Error(err)
	}
}

// The files of the decisions have to stay short enough for a review: at most 1,010 non-blank lines of up to 110 characters.
func TestDecisionsStayReadable(t *testing.T) {
	for _, file := range []string{"decide.go", "slow_start.go"} {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if n := len([]rune(line)); n > 110 {
				t.Errorf("%s:%d: %d characters", file, i+1, n)
			}
		}
		if lines > 1010 {
			t.Errorf("%s: %d non-blank lines", file, lines)
		}
	}
}
