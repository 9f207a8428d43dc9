package test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"sloequay/internal/clock"
	"sloequay/internal/emulator"
	"sloequay/internal/proxy"
)

// TestShippedSettings: the file in deploy is sound and turns nothing on; with its examples uncommented it is sound too and
// turns everything on, and what check --print writes of that reads back as the same.
func TestShippedSettings(t *testing.T) {
	text, err := os.ReadFile("../deploy/sloequay.conf")
	if err != nil {
		t.Fatal(err)
	}
	o := proxy.NewSettings(clock.NewSystem())
	if err := o.Section.Parse("shipped", text); err != nil {
		t.Fatal(err)
	}
	if o.Contracts != nil || o.DNS != nil || o.Catalogue != nil || o.Snapshot != nil || o.Identity != nil || o.UpstreamTLS != nil || o.Peers != nil {
		t.Error("the shipped file turns something on")
	}
	keys := filepath.Join(t.TempDir(), "keys")
	if out, err := exec.Command(program, "key", "new", "--dir", keys).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	on := regexp.MustCompile(`(?m)^#([^ \n])`).ReplaceAll(text, []byte("$1"))
	on = regexp.MustCompile(`(?m)^#(    +[a-z}])`).ReplaceAll(on, []byte("$1"))
	on = bytes.ReplaceAll(on, []byte("./keys"), []byte(keys))
	ca, err := emulator.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	cert, key, err := ca.Make("doorman", "doorman.test")
	if err != nil {
		t.Fatal(err)
	}
	for name, file := range map[string]string{"boxes-ca.pem": ca.File, "doorman.pem": cert, "doorman.key": key} {
		on = bytes.ReplaceAll(on, []byte("./"+name), []byte(file))
	}
	peersKey := filepath.Join(t.TempDir(), "peers.key")
	if err := os.WriteFile(peersKey, []byte("MDEyMzQ1Njc4OWFiY2RlZg==\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	on = bytes.ReplaceAll(on, []byte("./peers.key"), []byte(peersKey))
	o = proxy.NewSettings(clock.NewSystem())
	if err := o.Section.Parse("examples", on); err != nil {
		t.Fatal(err)
	}
	if o.Contracts == nil || o.DNS == nil || o.Catalogue == nil || o.Snapshot == nil || o.Identity == nil || o.UpstreamTLS == nil || o.Peers == nil || len(o.Catalogue.Services) != 3 {
		t.Error("the examples do not turn everything on")
	}
	var once, twice bytes.Buffer
	if err := o.Section.Print(&once); err != nil {
		t.Fatal(err)
	}
	again := proxy.NewSettings(clock.NewSystem())
	if err := again.Section.Parse("printed", once.Bytes()); err != nil {
		t.Fatalf("what was printed can't be read: %v\n%s", err, once.String())
	}
	_ = again.Section.Print(&twice)
	bare := func(b bytes.Buffer) string { return strings.ReplaceAll(b.String(), "  # default", "") }
	if bare(once) != bare(twice) {
		t.Errorf("printed as\n%sand read back as\n%s", once.String(), twice.String())
	}
}
