package platformconfig

import (
	"testing"
	"time"
)

// TestUnusedSettingsAreChecked checks that settings which no decision depends on are rejected if their type is wrong,
// with an error that names the key.
func TestUnusedSettingsAreChecked(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{`{"period-ms":"1"}`, "settings.period-ms: expected a number"},
		{`{"family-info":{"zone-hub":["a"]}}`, "settings.family-info.zone-hub[0]: expected a number"},
		{`{"family-info":{"link-in-kb-per-s":1}}`, "settings.family-info.link-in-kb-per-s: expected an array"},
		{`{"family-info":{"detail":"some"}}`, `settings.family-info.detail: unknown value "some"`},
		{`{"family-info":{"purge-slack-ms":{}}}`, "settings.family-info.purge-slack-ms: expected a number"},
		{`{"family-info":{"origin-fall-multiple":true}}`,
			"settings.family-info.origin-fall-multiple: expected a number"},
		{`{"family-info":{"origin-over-for-ms":[]}}`, "settings.family-info.origin-over-for-ms: expected a number"},
		{`{"family-info":{"class-parts":[true,1]}}`, "settings.family-info.class-parts[1]: expected true or false"},
		{`{"family-info":{"stale-earns":["1"]}}`, "settings.family-info.stale-earns[0]: expected a number"},
		{`{"safety":{"drain-grace-ms":"1"}}`, "settings.safety.drain-grace-ms: expected a number"},
		{`{"safety":{"answer-slack-ms":"1"}}`, "settings.safety.answer-slack-ms: expected a number"},
		{`{"safety":{"ask-within-ms":"1"}}`, "settings.safety.ask-within-ms: expected a number"},
		{`{"prices":{"probe":"1"}}`, "settings.prices.probe: expected a number"},
		{`{"load-info":{"how":"all","names":[1]}}`, "settings.load-info.names[0]: expected a string"},
		{`{"classes":[{"late-value":"1"}]}`, "settings.classes[0].late-value: expected a number"},
		{`{"classes":[{"streamed":1}]}`, "settings.classes[0].streamed: expected true or false"},
	} {
		if _, err := ParsePolicy([]byte(c.text)); err == nil || err.Error() != c.want {
			t.Errorf("%s: got error %v, want %s", c.text, err, c.want)
		}
	}
}

// TestFirstFaultIsReported checks that the fault that is read first is reported, not the first in the text.
func TestFirstFaultIsReported(t *testing.T) {
	const text = `{"classes":[{"streamed":1}],"prices":{"probe":"1"},"period-ms":"1"}`
	const want = "settings.period-ms: expected a number"
	if _, err := ParsePolicy([]byte(text)); err == nil || err.Error() != want {
		t.Errorf("got error %v, want %s", err, want)
	}
}

func TestMilliseconds(t *testing.T) {
	for _, c := range []struct {
		value float64
		want  time.Duration
	}{{1.5, 1500 * time.Microsecond}, {-2, -2 * time.Millisecond}, {1e300, 1 << 62}, {-1e300, -(1 << 62)}} {
		if got := Milliseconds(c.value); got != c.want {
			t.Errorf("Milliseconds(%g): got %d ns, want %d ns", c.value, got, c.want)
		}
	}
}
