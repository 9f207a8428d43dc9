package test

import (
	"bytes"
	"encoding/json"
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

// TestCheckCommand: bad configuration exits with the key named.
func TestCheckCommand(t *testing.T) {
	for _, c := range []struct {
		name  string
		spoil func(w *testbed)
		want  string // empty: sound
	}{
		{"sound", func(*testbed) {}, ""},
		{"listen", func(w *testbed) { w.config["listen"] = "here" }, "listen"},
		{"descriptors", func(w *testbed) { w.config["limits"] = map[string]any{"sockets": 3} }, "limits.sockets"},
		{"memory", func(w *testbed) { w.config["limits"] = map[string]any{"memory_mb": "much"} }, "limits.memory_mb"},
		{"no settings", func(w *testbed) { delete(w.config, "settings") }, "settings"},
		{"no class", func(w *testbed) { w.config["settings"] = map[string]any{} }, "Classes"},
		{"an unknown word", func(w *testbed) {
			w.config["settings"].(map[string]any)["family-info"] = map[string]any{"detail": "some"}
		},
			"family-info.detail"},
		{"a list entry", func(w *testbed) { w.listed[0]["site"] = "nowhere" }, "site"},
		{"contracts", func(w *testbed) { w.addSettings("contracts {\n team a {\n  opne 3\n }\n}") }, ":3: contracts.team.opne: unknown directive; there is open"},
		{"the DNS zone", func(w *testbed) { w.addSettings("dns {\n listen 127.0.0.1:53\n}") }, ":1: dns: listen and zone are needed"},
		{"the catalogue", func(w *testbed) { w.addSettings("catalogue {\n agent 127.0.0.1:1\n wait fast\n}") },
			`:3: catalogue.wait: expected a duration of 1s to 10m, got "fast"`},
		{"all faults", func(w *testbed) { w.addSettings("opne 3\nlist {\n loss-share 2\n}") }, ":3: list.loss-share: expected a number of 0 to 1, got \"2\""},
		{"an old flag", func(w *testbed) { w.flags = []string{"--catalog", "x.json"} }, `the block "catalogue" of the file that --conf names`},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestbed(t, nil)
			c.spoil(w)
			text, _ := json.Marshal(w.config)
			out, err := exec.Command(program, append([]string{"check", "--config", w.writeFile(string(text))}, w.flags...)...).CombinedOutput()
			if (err != nil) != (c.want != "") || !strings.Contains(string(out), c.want) {
				t.Errorf("%v: %s, want %q named", err, out, c.want)
			}
		})
	}
}
