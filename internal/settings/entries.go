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

// Files of configuration entries, which a fleet decides in common: [destination.7] with its [[destination.7.endpoint]], and [class.NAME].

// entriesFile is such a file.
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
	Capacity float64 `toml:"capacity"` // calls a second
	Draining bool    `toml:"draining,omitempty"`
}

type classTable struct {
	Rate float64 `toml:"rate"` // messages a second of one forwarder
}

// LoadEntries reads and checks a file of entries. Its errors are *Error, or say that the file can't be read.
func LoadEntries(path string) ([]entry.Entry, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return ParseEntries(path, raw)
}

// ParseEntries checks a file's content and gives its entries in the order of their keys; path is for its errors.
func ParseEntries(path string, raw []byte) ([]entry.Entry, error) {
	var file entriesFile
	if err := toml.NewDecoder(strings.NewReader(string(raw))).DisallowUnknownFields().Decode(&file); err != nil {
		return nil, located(path, err)
	}
	lines := keyLines(raw)
	var entries []entry.Entry
	for _, name := range slices.Sorted(maps.Keys(file.Destination)) {
		table := "destination." + name
		number, err := strconv.ParseInt(name, 10, 64)
		if err != nil {
			return nil, &Error{Path: path, Line: lines[table], Key: table, Problem: fmt.Sprintf("%q is no number of a destination", name)}
		}
		entries = append(entries, entry.Entry{Destination: file.Destination[name].destination(number)})
		if err := checkEntry(path, lines, table, entries[len(entries)-1]); err != nil {
			return nil, err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(file.Class)) {
		entries = append(entries, entry.Entry{Class: &entry.Class{Name: name, Rate: file.Class[name].Rate}})
		if err := checkEntry(path, lines, "class."+name, entries[len(entries)-1]); err != nil {
			return nil, err
		}
	}
	if len(entries) == 0 {
		return nil, &Error{Path: path, Problem: "no [destination.NUMBER] and no [class.NAME] in it"}
	}
	return entries, nil
}

func (t destinationTable) destination(number int64) *entry.Destination {
	out := &entry.Destination{Number: number}
	for _, e := range t.Endpoint {
		out.Endpoints = append(out.Endpoints, entry.Endpoint(e))
	}
	return out
}

// checkEntry gives an entry's error with the line and key at fault.
func checkEntry(path string, lines map[string]int, table string, e entry.Entry) error {
	_, err := e.Encode()
	var invalid *entry.InvalidError
	if !errors.As(err, &invalid) {
		return err
	}
	key, at := table, table
	if invalid.Index >= 0 {
		key, at = table+".endpoint", numbered(table+".endpoint", invalid.Index+1)
	}
	line := cmp.Or(lines[at+"."+invalid.Field], lines[at], lines[table])
	if field := invalid.Field; field != "class" && field != "destination" && field != "size" { // these are the table's own
		key += "." + field
	}
	return &Error{Path: path, Line: line, Key: key, Problem: invalid.Problem}
}

// FormatEntries writes entries as a file that ParseEntries reads.
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
