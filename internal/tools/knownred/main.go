// Command knownred runs the module's tests except those listed in KNOWN-RED.txt, and runs the listed ones separately.
//
//	knownred check                     validates the format of every entry
//	knownred test FLAGS... PACKAGES... runs go test, skipping exactly the listed tests of each package
//	knownred run                       runs each entry's command and reports its result; a failing entry is no error
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"time"
)

const (
	listName = "KNOWN-RED.txt"
	// entryTestTimeout bounds the tests of one entry's command, entryBuildTimeout the builds that may precede them.
	entryTestTimeout  = 4 * time.Minute
	entryBuildTimeout = time.Minute
)

func main() {
	if err := command(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

func command(args []string, out io.Writer) error {
	entries, err := readList(listName)
	if err != nil {
		return err
	}
	if len(args) == 0 {
		return errors.New("usage: knownred check|test|run")
	}
	switch args[0] {
	case "check":
		return nil
	case "test":
		return testUnlisted(entries, args[1:], out)
	case "run":
		runEntries(entries, out)
		return nil
	}
	return fmt.Errorf("unknown command %q", args[0])
}

// testUnlisted runs go test for the packages: once for all packages without an entry, and once for each of the others,
// skipping its listed tests.
func testUnlisted(entries []entry, args []string, out io.Writer) error {
	flags, patterns := splitArgs(args)
	packages, err := listPackages(patterns)
	if err != nil {
		return err
	}
	var unlisted []string
	var failed error
	for _, pkg := range packages {
		names := listedTests(entries, pkg)
		if len(names) == 0 {
			unlisted = append(unlisted, pkg)
			continue
		}
		skip := "^(" + strings.Join(names, "|") + ")$"
		failed = errors.Join(failed, goTest(out, append([]string{"-skip", skip}, flags...), pkg))
	}
	if len(unlisted) > 0 {
		failed = errors.Join(failed, goTest(out, flags, unlisted...))
	}
	return failed
}

// splitArgs splits the arguments into flags and the packages that follow them.
func splitArgs(args []string) (flags, packages []string) {
	for i, arg := range args {
		if strings.HasPrefix(arg, "./") {
			return args[:i], args[i:]
		}
	}
	return args, nil
}

// listPackages returns the matching packages as paths relative to the module's root, as entries name them.
func listPackages(patterns []string) ([]string, error) {
	raw, err := exec.Command("go", append([]string{"list", "-f", "{{.Module.Path}} {{.ImportPath}}"}, patterns...)...).Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	var packages []string
	for line := range strings.Lines(string(raw)) {
		module, path, _ := strings.Cut(strings.TrimSpace(line), " ")
		packages = append(packages, "."+strings.TrimPrefix(path, module))
	}
	return packages, nil
}

func goTest(out io.Writer, flags []string, packages ...string) error {
	cmd := exec.Command("go", append(append([]string{"test"}, flags...), packages...)...)
	cmd.Stdout, cmd.Stderr = out, out
	return cmd.Run()
}

// runEntries runs each entry's command with a time limit and reports its result.
func runEntries(entries []entry, out io.Writer) {
	for _, e := range entries {
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), entryTestTimeout+entryBuildTimeout)
		args := append([]string{"test", "-timeout", entryTestTimeout.String()}, e.command[2:]...) // go test ends the test binary too
		output, err := exec.CommandContext(ctx, "go", args...).CombinedOutput()
		result := "passed"
		switch {
		case ctx.Err() != nil || strings.Contains(string(output), "panic: test timed out"):
			result = "timed out"
		case err != nil:
			result = fmt.Sprintf("failed, %d times", strings.Count(string(output), "--- FAIL: "+e.test+" "))
		}
		cancel()
		fmt.Fprintf(out, "known failure, %s in %v: %s (issue %s)\n  %s\n  recorded: %s\n",
			result, time.Since(start).Round(time.Second), e.test, e.issue, strings.Join(e.command, " "), e.observed)
	}
}
