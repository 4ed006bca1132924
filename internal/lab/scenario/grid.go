package scenario

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Setting is a key of a scenario's file and the values that are tried for it. A key is dotted, and a table of several is
// meant by its place: fleet.slots, partners.0.limit, learned.keep.
type Setting struct {
	Key    string
	Values []string // as they would stand in the file
}

// ParseSetting reads KEY=VALUE,VALUE,...
func ParseSetting(text string) (Setting, error) {
	key, values, ok := strings.Cut(text, "=")
	if !ok || key == "" || values == "" {
		return Setting{}, fmt.Errorf("scenario: %q is not KEY=VALUE,VALUE", text)
	}
	return Setting{key, strings.Split(values, ",")}, nil
}

// Point is one scenario of a grid.
type Point struct {
	Name     string // the settings that it has
	Scenario Scenario
}

// Grid reads a file once for each combination of settings.
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
		changed, err := with(raw, p.sets)
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

// with sets keys in a file's content.
func with(raw []byte, sets [][2]string) ([]byte, error) {
	var tree map[string]any
	if err := toml.Unmarshal(raw, &tree); err != nil {
		return nil, err
	}
	for _, kv := range sets {
		var value struct{ V any }
		if toml.Unmarshal([]byte("V = "+kv[1]), &value) != nil {
			value.V = kv[1] // a bare word is a text
		}
		if err := set(tree, strings.Split(kv[0], "."), value.V); err != nil {
			return nil, fmt.Errorf("%s: %w", kv[0], err)
		}
	}
	return toml.Marshal(tree)
}

var errNoPlace = errors.New("there is no such place")

func set(at any, path []string, v any) error {
	switch node := at.(type) {
	case map[string]any:
		if len(path) == 1 {
			node[path[0]] = v
			return nil
		}
		if node[path[0]] == nil {
			node[path[0]] = map[string]any{}
		}
		return set(node[path[0]], path[1:], v)
	case []any:
		i, err := strconv.Atoi(path[0])
		if err != nil || i < 0 || i >= len(node) || len(path) == 1 {
			return errNoPlace
		}
		return set(node[i], path[1:], v)
	}
	return errNoPlace
}
