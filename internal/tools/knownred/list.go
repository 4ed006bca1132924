package main

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
)

// entry is a test that fails for a real fault which is not mended yet.
type entry struct {
	test    string   // its name
	pkg     string   // the package that it is in, as the command names it
	command []string // runs it the way it fails: go test with package, count and seed
	seen    string   // what the command showed
	issue   string
}

// line is the form of an entry: Test: go test ... (notes); what was seen. Issue N.
var line = regexp.MustCompile(`^(Test\w+): (go test [^;(]*[^;( ])(?: \([^)]*\))?; (.+) Issue (\d+)\.$`)

var errForm = errors.New(`want "TestName: go test [flags] ./package -run TestName [flags] (notes); what was seen. Issue N."`)

// readList reads a list; lines that are empty or begin with # are passed over. A file that is not there is an empty list.
func readList(path string) ([]entry, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	var entries []entry
	number := 0
	for text := range strings.Lines(string(text)) {
		number++
		text = strings.TrimSpace(text)
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		e, err := parseEntry(text)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, number, err)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// parseEntry reads one line.
func parseEntry(text string) (entry, error) {
	parts := line.FindStringSubmatch(text)
	if parts == nil {
		return entry{}, errForm
	}
	e := entry{test: parts[1], command: strings.Fields(parts[2]), seen: parts[3], issue: parts[4]}
	for _, word := range e.command {
		if !strings.HasPrefix(word, "./") {
			continue
		}
		if e.pkg != "" || strings.HasSuffix(word, "...") {
			return entry{}, fmt.Errorf("%w: one package, not %s", errForm, word)
		}
		e.pkg = word
	}
	run := slices.Index(e.command, "-run")
	switch {
	case e.pkg == "":
		return entry{}, fmt.Errorf("%w: no package", errForm)
	case run < 0 || run+1 == len(e.command) || strings.Trim(e.command[run+1], "^$") != e.test:
		return entry{}, fmt.Errorf("%w: the command does not run %s", errForm, e.test)
	}
	return e, nil
}

// skipped gives the names of a package's tests that are listed.
func skipped(entries []entry, pkg string) (names []string) {
	for _, e := range entries {
		if e.pkg == pkg {
			names = append(names, e.test)
		}
	}
	return names
}
