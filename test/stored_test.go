package test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sloequay/internal/emulator"
)

// shippedSettings is the text of deploy/sloequay.conf.
func shippedSettings(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile("../deploy/sloequay.conf")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// settingsFolder makes a folder with all files that the examples in the shipped settings name.
func settingsFolder(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command(program, "key", "new", "--dir", filepath.Join(dir, "keys")).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	authority, err := emulator.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	certificate, key, err := authority.Make("doorman", "doorman.test")
	if err != nil {
		t.Fatal(err)
	}
	sources := map[string]string{"boxes-ca.pem": authority.File, "doorman.pem": certificate, "doorman.key": key}
	for name, source := range sources {
		text, err := os.ReadFile(source)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "peers.key"), []byte("MDEyMzQ1Njc4OWFiY2RlZg==\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// checkPrinted runs check --print on settings and compares what it prints with a file in testdata.
func checkPrinted(t *testing.T, settings []byte, stored string) {
	t.Helper()
	dir := settingsFolder(t)
	if err := os.WriteFile(filepath.Join(dir, "sloequay.conf"), settings, 0o600); err != nil {
		t.Fatal(err)
	}
	w := newTestbed(t, nil)
	config, err := json.Marshal(w.config)
	if err != nil {
		t.Fatal(err)
	}
	check := exec.Command(program, "check", "--print", "--config", w.writeFile(string(config)), "--conf", "sloequay.conf")
	check.Dir = dir
	printed, err := check.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, printed)
	}
	want, err := os.ReadFile(filepath.Join("testdata", stored))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(printed)); diff != "" {
		t.Errorf("%s (-stored +printed):\n%s", stored, diff)
	}
}

// TestStoredPrint wants check --print to print the shipped settings, as they are and with their examples turned on, as
// an earlier build did. The blocks services and snapshot can't stand together, so that the examples are printed twice.
func TestStoredPrint(t *testing.T) {
	shipped := shippedSettings(t)
	examples := regexp.MustCompile(`(?m)^#([^ \n])`).ReplaceAll(shipped, []byte("$1"))
	examples = regexp.MustCompile(`(?m)^#(    +[a-z}])`).ReplaceAll(examples, []byte("$1"))
	without := func(block string) []byte {
		return regexp.MustCompile(`(?ms)^`+block+` \{.*?^\}\n?`).ReplaceAll(examples, nil)
	}
	for _, c := range []struct {
		name     string
		settings []byte
		stored   string
	}{
		{"as shipped", shipped, "print-shipped.txt"},
		{"examples without services", without("services"), "print-without-services.txt"},
		{"examples without snapshot", without("snapshot"), "print-without-snapshot.txt"},
	} {
		t.Run(c.name, func(t *testing.T) { checkPrinted(t, c.settings, c.stored) })
	}
}
