package settings

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"mulleinbeam/internal/cluster/entry"
)

// entriesFile is a file of configuration entries, which the control plane commits for the whole fleet: tables
// [destination.7] with their [[destination.7.endpoint]], and [class.NAME].
type entriesFile struct {
	Destination map[string]destinationTable `toml:"destination,omitempty"`
	Class       map[string]classTable       `toml:"class,omitempty"`
}

type destinationTable struct {
	Endpoint []endpointTable `toml:"endpoint"`
}

type endpointTable struct {
	Name     string  `toml:"name"`
	Address  string  `toml:"address"`
	Zone     string  `toml:"zone,omitempty"`
	Kind     string  `toml:"kind,omitempty"`
	Capacity float64 `toml:"capacity"` // calls per second
	Draining bool    `toml:"draining,omitempty"`
}

type classTable struct {
	Rate float64 `toml:"rate"` // messages per second and forwarder
}

// LoadEntries reads and validates a file of entries. It returns an *Error if the content is invalid.
func LoadEntries(path string) ([]entry.Entry, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return ParseEntries(path, raw)
}

// ParseEntries validates the content of a file of entries and returns the entries, sorted by key; path appears in
// errors only.
func ParseEntries(path string, raw []byte) ([]entry.Entry, error) {
	var file entriesFile
	if err := toml.NewDecoder(strings.NewReader(string(raw))).DisallowUnknownFields().Decode(&file); err != nil {
		return nil, decodeError(path, err)
	}
	lines := keyLines(raw)
	var entries []entry.Entry
	for _, name := range slices.Sorted(maps.Keys(file.Destination)) {
		table := "destination." + name
		number, err := strconv.ParseInt(name, 10, 64)
		if err != nil {
			return nil, &Error{Path: path, Line: lines[table], Key: table, Problem: fmt.Sprintf("%q is not a destination number", name)}
		}
		entries = append(entries, entry.Entry{Destination: file.Destination[name].destination(number)})
		if err := validateEntry(path, lines, table, entries[len(entries)-1]); err != nil {
			return nil, err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(file.Class)) {
		entries = append(entries, entry.Entry{Class: &entry.Class{Name: name, Rate: file.Class[name].Rate}})
		if err := validateEntry(path, lines, "class."+name, entries[len(entries)-1]); err != nil {
			return nil, err
		}
	}
	if len(entries) == 0 {
		return nil, &Error{Path: path, Problem: "no [destination.NUMBER] or [class.NAME] table"}
	}
	return entries, nil
}

func (t destinationTable) destination(number int64) *entry.Destination {
	destination := &entry.Destination{Number: number}
	for _, e := range t.Endpoint {
		destination.Endpoints = append(destination.Endpoints, entry.Endpoint(e))
	}
	return destination
}

// validateEntry returns the error of an invalid entry, with the line and key of the invalid field.
func validateEntry(path string, lines map[string]int, table string, e entry.Entry) error {
	_, err := e.Encode()
	var invalid *entry.InvalidError
	if !errors.As(err, &invalid) {
		return err
	}
	key, position := table, table
	if invalid.Index >= 0 {
		key, position = table+".endpoint", arrayTableKey(table+".endpoint", invalid.Index+1)
	}
	line := cmp.Or(lines[position+"."+invalid.Field], lines[position], lines[table])
	if field := invalid.Field; field != "class" && field != "destination" && field != "size" { // of the table itself
		key += "." + field
	}
	return &Error{Path: path, Line: line, Key: key, Problem: invalid.Problem}
}

// FormatEntries encodes entries as a file that ParseEntries accepts.
func FormatEntries(entries []entry.Entry) ([]byte, error) {
	file := entriesFile{Destination: map[string]destinationTable{}, Class: map[string]classTable{}}
	for _, e := range entries {
		switch {
		case e.Destination != nil:
			var table destinationTable
			for _, endpoint := range e.Destination.Endpoints {
				table.Endpoint = append(table.Endpoint, endpointTable(endpoint))
			}
			file.Destination[strconv.FormatInt(e.Destination.Number, 10)] = table
		case e.Class != nil:
			file.Class[e.Class.Name] = classTable{e.Class.Rate}
		}
	}
	out, err := toml.Marshal(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return out, nil
}
