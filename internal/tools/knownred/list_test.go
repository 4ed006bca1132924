package main

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const listed = "TestSlow: go test -race ./internal/a -run TestSlow -count 1200 (no seed: timing); about once, too slow. Issue 35."

// Guards against an entry whose command is not the one that runs, or that skips a test of the same name in another
// package.
func TestListParsesCommandAndPackage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := os.WriteFile(path, []byte("# what it is\n\n"+listed+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	entries, err := readList(path)
	if err != nil || len(entries) != 1 {
		t.Fatalf("%v, %v", entries, err)
	}
	want := []string{"go", "test", "-race", "./internal/a", "-run", "TestSlow", "-count", "1200"}
	if e := entries[0]; e.pkg != "./internal/a" || !cmp.Equal(want, e.command) || e.issue != "35" || e.observed != "about once, too slow." {
		t.Errorf("%+v", e)
	}
	if got := listedTests(entries, "./internal/a"); !cmp.Equal([]string{"TestSlow"}, got) {
		t.Errorf("listedTests in its package: %q", got)
	}
	if got := listedTests(entries, "./internal/b"); got != nil {
		t.Errorf("listedTests in another package: %q", got)
	}
	if entries, err := readList(path + ".none"); err != nil || entries != nil {
		t.Errorf("missing list: %v, %v", entries, err)
	}
}

// Guards against a malformed entry that is ignored, so that its test is skipped and never run.
func TestListRejectsMalformedEntries(t *testing.T) {
	for name, text := range map[string]string{
		"no command":   "TestSlow: fails now and then. Issue 35.",
		"no issue":     "TestSlow: go test ./internal/a -run TestSlow; about once.",
		"no result":    "TestSlow: go test ./internal/a -run TestSlow; Issue 35.",
		"no package":   "TestSlow: go test -run TestSlow; about once. Issue 35.",
		"all packages": "TestSlow: go test ./... -run TestSlow; about once. Issue 35.",
		"two packages": "TestSlow: go test ./a ./b -run TestSlow; about once. Issue 35.",
		"another test": "TestSlow: go test ./a -run TestOther; about once. Issue 35.",
		"no test":      "go test ./a -run TestSlow; about once. Issue 35.",
	} {
		if _, err := parseEntry(text); !errors.Is(err, errEntryFormat) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against flags that are treated as packages.
func TestSplitArgs(t *testing.T) {
	flags, packages := splitArgs([]string{"-race", "-run", "^TestA", "./a", "./b/..."})
	if !cmp.Equal([]string{"-race", "-run", "^TestA"}, flags) || !cmp.Equal([]string{"./a", "./b/..."}, packages) {
		t.Errorf("%q, %q", flags, packages)
	}
}
