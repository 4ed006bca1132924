// Command knownred runs the module's tests without those that KNOWN-RED.txt lists, and those by themselves.
//
//	knownred check                     every entry has the form that is wanted
//	knownred test FLAGS... PACKAGES... go test, passing over exactly the listed tests of each package
//	knownred run                       each entry's own command; it tells how each ended, and fails for none of them
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
	// entryTakes bounds the tests of one entry's command, and builds that may come before them.
	entryTakes  = 4 * time.Minute
	entryBuilds = time.Minute
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
		return testOthers(entries, args[1:], out)
	case "run":
		runEntries(entries, out)
		return nil
	}
	return fmt.Errorf("no command %q", args[0])
}

// testOthers runs go test for packages: those without an entry in one go, each of the others without its listed tests.
func testOthers(entries []entry, args []string, out io.Writer) error {
	flags, patterns := splitArgs(args)
	packages, err := listPackages(patterns)
	if err != nil {
		return err
	}
	var free []string
	var failed error
	for _, pkg := range packages {
		names := skipped(entries, pkg)
		if len(names) == 0 {
			free = append(free, pkg)
			continue
		}
		skip := "^(" + strings.Join(names, "|") + ")$"
		failed = errors.Join(failed, goTest(out, append([]string{"-skip", skip}, flags...), pkg))
	}
	if len(free) > 0 {
		failed = errors.Join(failed, goTest(out, flags, free...))
	}
	return failed
}

// splitArgs parts the packages, which are at the end, from the flags before them.
func splitArgs(args []string) (flags, packages []string) {
	for i, arg := range args {
		if strings.HasPrefix(arg, "./") {
			return args[:i], args[i:]
		}
	}
	return args, nil
}

// listPackages gives packages as entries name them, from the module's root.
func listPackages(patterns []string) ([]string, error) {
	raw, err := exec.Command("go", append([]string{"list", "-f", "{{.Module.Path}} {{.ImportPath}}"}, patterns...)...).Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	var packages []string
	for text := range strings.Lines(string(raw)) {
		module, path, _ := strings.Cut(strings.TrimSpace(text), " ")
		packages = append(packages, "."+strings.TrimPrefix(path, module))
	}
	return packages, nil
}

func goTest(out io.Writer, flags []string, packages ...string) error {
	run := exec.Command("go", append(append([]string{"test"}, flags...), packages...)...)
	run.Stdout, run.Stderr = out, out
	return run.Run()
}

// runEntries runs each entry's command, bounded in time, and tells how it ended.
func runEntries(entries []entry, out io.Writer) {
	for _, e := range entries {
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), entryTakes+entryBuilds)
		args := append([]string{"test", "-timeout", entryTakes.String()}, e.command[2:]...) // go ends the test's own process
		output, err := exec.CommandContext(ctx, "go", args...).CombinedOutput()
		verdict := "passed"
		switch {
		case ctx.Err() != nil || strings.Contains(string(output), "panic: test timed out"):
			verdict = "did not end"
		case err != nil:
			verdict = fmt.Sprintf("failed, %d times", strings.Count(string(output), "--- FAIL: "+e.test+" "))
		}
		cancel()
		fmt.Fprintf(out, "known red, %s in %v: %s (issue %s)\n  %s\n  listed for: %s\n",
			verdict, time.Since(began).Round(time.Second), e.test, e.issue, strings.Join(e.command, " "), e.seen)
	}
}
