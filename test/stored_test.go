package test

import (
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// expectPrinted compares the output of check --print for settings with a golden file in testdata.
func expectPrinted(t *testing.T, settings, golden string) {
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
	if diff := cmp.Diff(readFile(t, filepath.Join("testdata", golden)), string(printed)); diff != "" {
		t.Errorf("%s (-want +got):\n%s", golden, diff)
	}
}

// TestPrintMatchesGoldenFiles compares the output of check --print with that of an earlier build, for the shipped
// settings as they are and with their examples enabled. The blocks services and snapshot exclude each other, so the
// examples are printed once without each.
func TestPrintMatchesGoldenFiles(t *testing.T) {
	withoutBlock := func(block string) string {
		expression := regexp.MustCompile(`(?ms)^` + block + ` \{.*?^\}\n?`)
		return expression.ReplaceAllString(exampleSettings(t), "")
	}
	for _, c := range []struct {
		name     string
		settings string
		golden   string
	}{
		{"as shipped", shippedSettings(t), "print-shipped.txt"},
		{"examples without services", withoutBlock("services"), "print-without-services.txt"},
		{"examples without snapshot", withoutBlock("snapshot"), "print-without-snapshot.txt"},
	} {
		t.Run(c.name, func(t *testing.T) { expectPrinted(t, c.settings, c.golden) })
	}
}
