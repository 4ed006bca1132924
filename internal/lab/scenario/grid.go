package scenario

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Setting is a key of a scenario file and the values to try for it. Keys are dotted paths; an element of an array of
// tables is addressed by its index: fleet.slots, partners.0.limit, learned.keep.
type Setting struct {
	Key    string
	Values []string // in TOML syntax
}

// ParseSetting parses KEY=VALUE,VALUE,...
func ParseSetting(text string) (Setting, error) {
	key, values, ok := strings.Cut(text, "=")
	if !ok || key == "" || values == "" {
		return Setting{}, fmt.Errorf("scenario: %q is not KEY=VALUE,VALUE", text)
	}
	return Setting{key, strings.Split(values, ",")}, nil
}

// Point is one combination of settings in a grid and the scenario with these settings.
type Point struct {
	Name     string // the settings, as KEY=VALUE separated by spaces
	Scenario Scenario
}

// Grid returns one scenario of the file at path for each combination of the settings' values.
func Grid(path string, settings []Setting) ([]Point, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	points := []struct {
		name string
		sets [][2]string
	}{{}}
	for _, s := range settings {
		next := points[:0:0]
		for _, p := range points {
			for _, v := range s.Values {
				q := p
				q.name = strings.TrimSpace(p.name + " " + s.Key + "=" + v)
				q.sets = append(append([][2]string(nil), p.sets...), [2]string{s.Key, v})
				next = append(next, q)
			}
		}
		points = next
	}
	var out []Point
	for _, p := range points {
		changed, err := applySettings(raw, p.sets)
		if err != nil {
			return nil, fmt.Errorf("scenario: %s: %w", path, err)
		}
		s, err := Parse(path, changed)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p.name, err)
		}
		out = append(out, Point{p.name, s})
	}
	return out, nil
}

// applySettings sets keys in a TOML document and returns the changed document.
func applySettings(raw []byte, sets [][2]string) ([]byte, error) {
	var tree map[string]any
	if err := toml.Unmarshal(raw, &tree); err != nil {
		return nil, err
	}
	for _, kv := range sets {
		var value struct{ V any }
		if toml.Unmarshal([]byte("V = "+kv[1]), &value) != nil {
			value.V = kv[1] // not a TOML value: taken as a string
		}
		if err := setKey(tree, strings.Split(kv[0], "."), value.V); err != nil {
			return nil, fmt.Errorf("%s: %w", kv[0], err)
		}
	}
	return toml.Marshal(tree)
}

var errNoSuchKey = errors.New("no such key")

func setKey(at any, path []string, v any) error {
	switch node := at.(type) {
	case map[string]any:
		if len(path) == 1 {
			node[path[0]] = v
			return nil
		}
		if node[path[0]] == nil {
			node[path[0]] = map[string]any{}
		}
		return setKey(node[path[0]], path[1:], v)
	case []any:
		i, err := strconv.Atoi(path[0])
		if err != nil || i < 0 || i >= len(node) || len(path) == 1 {
			return errNoSuchKey
		}
		return setKey(node[i], path[1:], v)
	}
	return errNoSuchKey
}
