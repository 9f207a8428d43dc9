package test

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"sloequay/internal/clock"
	"sloequay/internal/proxy"
)

// parseSettings parses settings. name identifies the text in error messages.
func parseSettings(t *testing.T, name, text string) *proxy.Settings {
	t.Helper()
	settings := proxy.NewSettings(clock.NewSystem())
	if err := settings.Section.Parse(name, []byte(text)); err != nil {
		t.Fatalf("%s settings: got error %v, want none", name, err)
	}
	return settings
}

// enabledBlocks returns the names of the optional blocks that are present in the settings.
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

// printSettings returns the settings as check --print writes them.
func printSettings(t *testing.T, settings *proxy.Settings) string {
	t.Helper()
	var out bytes.Buffer
	if err := settings.Section.Print(&out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// TestShippedSettings checks that the settings file in deploy is valid and enables no optional block, that with its
// examples uncommented it is still valid and enables all of them, and that parsing the output of check --print yields
// the same settings.
func TestShippedSettings(t *testing.T) {
	if enabled := enabledBlocks(parseSettings(t, "shipped", shippedSettings(t))); len(enabled) > 0 {
		t.Errorf("blocks enabled in the shipped file: got %v, want none", enabled)
	}
	examples, dir := exampleSettings(t), makeSettingsDir(t)
	for _, name := range []string{"keys", "boxes-ca.pem", "doorman.pem", "doorman.key", "peers.key"} {
		examples = strings.ReplaceAll(examples, "./"+name, filepath.Join(dir, name))
	}
	settings := parseSettings(t, "examples", examples)
	if enabled := enabledBlocks(settings); len(enabled) != 7 {
		t.Errorf("blocks enabled by the examples: got %v, want all 7", enabled)
	}
	if settings.Catalogue == nil || len(settings.Catalogue.Services) != 3 {
		t.Error("settings with examples: got no catalogue with 3 services, want one")
	}
	once := printSettings(t, settings)
	twice := printSettings(t, parseSettings(t, "printed", once))
	withoutDefaultMarks := func(text string) string { return strings.ReplaceAll(text, "  # default", "") }
	if withoutDefaultMarks(once) != withoutDefaultMarks(twice) {
		t.Errorf("printed settings changed after parsing, from\n%sto\n%s", once, twice)
	}
}

// TestCheckCommand checks that the check command exits with an error that names the key of each fault in the platform
// configuration or the proxy's own settings.
func TestCheckCommand(t *testing.T) {
	for _, c := range []struct {
		name   string
		modify func(bed *testbed)
		want   string // empty: valid
	}{
		{"valid", func(*testbed) {}, ""},
		{"listen", func(bed *testbed) { bed.config["listen"] = "here" }, "listen"},
		{"descriptors", func(bed *testbed) { bed.config["limits"] = map[string]any{"sockets": 3} }, "limits.sockets"},
		{"memory", func(bed *testbed) {
			bed.config["limits"] = map[string]any{"memory_mb": "much"}
		}, "limits.memory_mb"},
		{"no settings", func(bed *testbed) { delete(bed.config, "settings") }, "settings"},
		{"no class", func(bed *testbed) { bed.config["settings"] = map[string]any{} }, "Classes"},
		{"an unknown value", func(bed *testbed) {
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
			`the block "catalogue" in the file that --conf names`},
	} {
		t.Run(c.name, func(t *testing.T) {
			bed := newTestbed(t, nil)
			c.modify(bed)
			bed.writeConfig()
			out, err := runProgram(append([]string{"check", "--config", bed.configPath}, bed.flags...)...)
			if (err != nil) != (c.want != "") || !strings.Contains(out, c.want) {
				t.Errorf("got error %v and output %s, want an error that names %q; if that is empty, none",
					err, out, c.want)
			}
		})
	}
}
