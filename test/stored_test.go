package test

import (
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// expectPrinted runs check --print on settings and compares what it prints with a file in testdata.
func expectPrinted(t *testing.T, settings, stored string) {
	t.Helper()
	dir := makeSettingsDir(t)
	writeFile(t, filepath.Join(dir, "sloequay.conf"), settings)
	bed := newTestbed(t, nil)
	bed.writeConfig()
	check := exec.Command(programPath, "check", "--print", "--config", bed.configPath, "--conf", "sloequay.conf")
	check.Dir = dir
	printed, err := check.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, printed)
	}
	if diff := cmp.Diff(readFile(t, filepath.Join("testdata", stored)), string(printed)); diff != "" {
		t.Errorf("%s (-stored +printed):\n%s", stored, diff)
	}
}

// TestStoredPrint wants check --print to print the shipped settings, as they are and with their examples turned on,
// as an earlier build did. The blocks services and snapshot can't stand together, so that the examples are printed
// twice.
func TestStoredPrint(t *testing.T) {
	without := func(block string) string {
		expression := regexp.MustCompile(`(?ms)^` + block + ` \{.*?^\}\n?`)
		return expression.ReplaceAllString(exampleSettings(t), "")
	}
	for _, c := range []struct {
		name     string
		settings string
		stored   string
	}{
		{"as shipped", shippedSettings(t), "print-shipped.txt"},
		{"examples without services", without("services"), "print-without-services.txt"},
		{"examples without snapshot", without("snapshot"), "print-without-snapshot.txt"},
	} {
		t.Run(c.name, func(t *testing.T) { expectPrinted(t, c.settings, c.stored) })
	}
}
