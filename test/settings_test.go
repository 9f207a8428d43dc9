package test

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"sloequay/internal/clock"
	"sloequay/internal/proxy"
)

// parseSettings reads settings from a text, which name says the origin of.
func parseSettings(t *testing.T, name, text string) *proxy.Settings {
	t.Helper()
	settings := proxy.NewSettings(clock.NewSystem())
	if err := settings.Section.Parse(name, []byte(text)); err != nil {
		t.Fatalf("%s settings: %v, want them sound", name, err)
	}
	return settings
}

// enabledBlocks names the blocks of settings that turn something on, and are there.
func enabledBlocks(settings *proxy.Settings) (names []string) {
	for _, block := range []struct {
		name    string
		enabled bool
	}{
		{"contracts", settings.Contracts != nil},
		{"dns", settings.DNS != nil},
		{"catalogue", settings.Catalogue != nil},
		{"snapshot", settings.Snapshot != nil},
		{"identity", settings.Identity != nil},
		{"box-tls", settings.UpstreamTLS != nil},
		{"peers", settings.Peers != nil},
	} {
		if block.enabled {
			names = append(names, block.name)
		}
	}
	return names
}

// printSettings gives what check --print writes of settings, with its marks of defaults taken out.
func printSettings(t *testing.T, settings *proxy.Settings) string {
	t.Helper()
	var out bytes.Buffer
	if err := settings.Section.Print(&out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// TestShippedSettings: the file in deploy is sound and turns nothing on; with its examples uncommented it is sound
// too and turns everything on, and what check --print writes of that reads back as the same.
func TestShippedSettings(t *testing.T) {
	if on := enabledBlocks(parseSettings(t, "shipped", shippedSettings(t))); len(on) > 0 {
		t.Errorf("the shipped file turns on %v, want nothing", on)
	}
	examples, dir := exampleSettings(t), makeSettingsDir(t)
	for _, name := range []string{"keys", "boxes-ca.pem", "doorman.pem", "doorman.key", "peers.key"} {
		examples = strings.ReplaceAll(examples, "./"+name, filepath.Join(dir, name))
	}
	settings := parseSettings(t, "examples", examples)
	if on := enabledBlocks(settings); len(on) != 7 {
		t.Errorf("the examples turn on %v, want all 7 blocks", on)
	}
	if settings.Catalogue == nil || len(settings.Catalogue.Services) != 3 {
		t.Error("the examples do not name 3 services of the catalogue")
	}
	once := printSettings(t, settings)
	twice := printSettings(t, parseSettings(t, "printed", once))
	withoutMarks := func(text string) string { return strings.ReplaceAll(text, "  # default", "") }
	if withoutMarks(once) != withoutMarks(twice) {
		t.Errorf("printed as\n%sand read back as\n%s", once, twice)
	}
}

// TestCheckCommand: a fault in the configuration or our settings has the command exit with an error that names the
// key.
func TestCheckCommand(t *testing.T) {
	for _, c := range []struct {
		name  string
		spoil func(bed *testbed)
		want  string // empty: sound
	}{
		{"sound", func(*testbed) {}, ""},
		{"listen", func(bed *testbed) { bed.config["listen"] = "here" }, "listen"},
		{"descriptors", func(bed *testbed) { bed.config["limits"] = map[string]any{"sockets": 3} }, "limits.sockets"},
		{"memory", func(bed *testbed) {
			bed.config["limits"] = map[string]any{"memory_mb": "much"}
		}, "limits.memory_mb"},
		{"no settings", func(bed *testbed) { delete(bed.config, "settings") }, "settings"},
		{"no class", func(bed *testbed) { bed.config["settings"] = map[string]any{} }, "Classes"},
		{"an unknown word", func(bed *testbed) {
			bed.platformSettings()["family-info"] = map[string]any{"detail": "some"}
		}, "family-info.detail"},
		{"a list entry", func(bed *testbed) { bed.listedEndpoints[0]["site"] = "nowhere" }, "site"},
		{"contracts", func(bed *testbed) { bed.addSettings("contracts {\n team a {\n  opne 3\n }\n}") },
			":3: contracts.team.opne: unknown directive; similar directives: open"},
		{"the DNS zone", func(bed *testbed) { bed.addSettings("dns {\n listen 127.0.0.1:53\n}") },
			":1: dns: listen and zone are needed"},
		{"the catalogue", func(bed *testbed) { bed.addSettings("catalogue {\n agent 127.0.0.1:1\n wait fast\n}") },
			`:3: catalogue.wait: expected a duration of 1s to 10m, got "fast"`},
		{"all faults", func(bed *testbed) { bed.addSettings("opne 3\nlist {\n loss-share 2\n}") },
			`:3: list.loss-share: expected a number of 0 to 1, got "2"`},
		{"an old flag", func(bed *testbed) { bed.flags = []string{"--catalog", "x.json"} },
			`the block "catalogue" of the file that --conf names`},
	} {
		t.Run(c.name, func(t *testing.T) {
			bed := newTestbed(t, nil)
			c.spoil(bed)
			bed.writeConfig()
			out, err := runProgram(append([]string{"check", "--config", bed.configPath}, bed.flags...)...)
			if (err != nil) != (c.want != "") || !strings.Contains(out, c.want) {
				t.Errorf("%v: %s, want an error that names %q; without one, none", err, out, c.want)
			}
		})
	}
}
