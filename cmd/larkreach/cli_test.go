package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"mulleinbeam/internal/lab/demo"
)

// program runs a command of the program and returns its output and exit code.
func program(t *testing.T, env []string, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(append(os.Environ(), childProcessEnv+"=1", "ROUTER_CONFIG=", "LARKREACH_CONFIG="), env...)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	_ = cmd.Run()
	return out.String(), errs.String(), cmd.ProcessState.ExitCode()
}

// Commands return the right exit status, and an invalid argument or file is reported in one line with its position.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good, bad := file("good.toml", "[bodies]\n"), file("bad.toml", "[bodies]\nslots = 2\nslotz = 3\n")
	for name, c := range map[string]struct {
		env            []string
		args           []string
		stdout, stderr string
		code           int
	}{
		"version":           {nil, []string{"--version"}, "larkreach " + version, "", 0},
		"help":              {nil, []string{"--help"}, "demo", "", 0},
		"check":             {nil, []string{"config", "check", good}, "long bodies on: 48 at once, 4 of them out", "", 0},
		"check finds":       {nil, []string{"config", "check", bad}, "", bad + ":3: bodies.slotz: no such key", 1},
		"check, no file":    {nil, []string{"config", "check", dir + "/none"}, "", "no such file", 1},
		"serve, bad file":   {nil, []string{"--config", bad}, "", bad + ":3: bodies.slotz: no such key", 1},
		"serve, by env":     {[]string{"LARKREACH_CONFIG=" + bad}, nil, "", bad + ":3: bodies.slotz: no such key", 1},
		"serve, no config":  {nil, nil, "", "ROUTER_CONFIG is not set", 1},
		"unknown command":   {nil, []string{"dance"}, "", "unexpected argument dance", 1},
		"unknown flag":      {nil, []string{"--dance"}, "", "unknown flag --dance", 1},
		"serve, good files": {[]string{"LARKREACH_CONFIG=" + good}, []string{"serve"}, "", "ROUTER_CONFIG is not set", 1},
	} {
		t.Run(name, func(t *testing.T) {
			stdout, stderr, code := program(t, c.env, c.args...)
			if code != c.code || !strings.Contains(stdout, c.stdout) || !strings.Contains(stderr, c.stderr) ||
				c.code != 0 && strings.Count(stderr, "\n") != 1 {
				t.Errorf("status %d\n%s%s", code, stdout, stderr)
			}
		})
	}
}

// Settings that exceed the platform's limits end the program at its start.
func TestSettingsAgainstLimits(t *testing.T) {
	for text, want := range map[string]string{
		"[bodies]\ntotal = \"200MiB\"\nwindow = \"64MiB\"\nslots = 1\n": "bodies.total: 209715200 bytes of",
		"[bodies]\ntotal = \"64MiB\"\nwindow = \"128KiB\"\n":            "bodies.total: 256 long messages at once and 4 calls take more than half of the 256 descriptors",
	} {
		s := newTestbed(t)
		path := filepath.Join(t.TempDir(), "own.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s.env = []string{"LARKREACH_CONFIG=" + path}
		s.launch()
		if err := <-s.exited; err == nil || !strings.Contains(s.log.String(), want) {
			t.Errorf("%v\n%s", err, s.log)
		}
	}
}

// The demonstration shows each announced behavior and ends by itself without breaking a rule.
func TestDemo(t *testing.T) {
	t.Setenv(childProcessEnv, "1")
	var out bytes.Buffer
	if err := demo.Run(t.Context(), []string{os.Args[0]}, &out); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, want := range []string{
		" accepted, ", "extract-2: refused with 503", "extract-1: answered 200", "failing is down with fee-1", "fee-1: given up",
		"failing is back", "long: taken=1", "No rule was broken",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
}
