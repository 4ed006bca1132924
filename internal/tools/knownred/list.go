package main

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
)

// entry is a test that fails because of a known fault which is not fixed yet.
type entry struct {
	test     string   // name of the test
	pkg      string   // package of the test, as the command names it
	command  []string // go test command that reproduces the failure, with package, count and seed
	observed string   // result observed with the command
	issue    string
}

// entryPattern matches an entry: Test: go test ... (notes); what was seen. Issue N.
var entryPattern = regexp.MustCompile(`^(Test\w+): (go test [^;(]*[^;( ])(?: \([^)]*\))?; (.+) Issue (\d+)\.$`)

var errEntryFormat = errors.New(`want "TestName: go test [flags] ./package -run TestName [flags] (notes); what was seen. Issue N."`)

// readList reads the list at path and ignores empty lines and lines that begin with #. A missing file is an empty list.
func readList(path string) ([]entry, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	var entries []entry
	lineNumber := 0
	for line := range strings.Lines(string(text)) {
		lineNumber++
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		e, err := parseEntry(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, lineNumber, err)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// parseEntry parses one line of the list.
func parseEntry(text string) (entry, error) {
	parts := entryPattern.FindStringSubmatch(text)
	if parts == nil {
		return entry{}, errEntryFormat
	}
	e := entry{test: parts[1], command: strings.Fields(parts[2]), observed: parts[3], issue: parts[4]}
	for _, word := range e.command {
		if !strings.HasPrefix(word, "./") {
			continue
		}
		if e.pkg != "" || strings.HasSuffix(word, "...") {
			return entry{}, fmt.Errorf("%w: want exactly one package, found %s", errEntryFormat, word)
		}
		e.pkg = word
	}
	run := slices.Index(e.command, "-run")
	switch {
	case e.pkg == "":
		return entry{}, fmt.Errorf("%w: missing package", errEntryFormat)
	case run < 0 || run+1 == len(e.command) || strings.Trim(e.command[run+1], "^$") != e.test:
		return entry{}, fmt.Errorf("%w: the command does not run %s", errEntryFormat, e.test)
	}
	return e, nil
}

// listedTests returns the names of the listed tests of a package.
func listedTests(entries []entry, pkg string) (names []string) {
	for _, e := range entries {
		if e.pkg == pkg {
			names = append(names, e.test)
		}
	}
	return names
}
