package quota

import (
	"strings"
	"testing"
)

// TestSettings checks that errors name the line and the directive, and that valid contracts give the described tree.
func TestSettings(t *testing.T) {
	for text, want := range map[string]string{
		"requests 5":                        `f:1: requests: expected a rate of 0/s to 1e+12/s, got "5"`,
		"requests 5/s 9/s":                  "f:1: requests: expected one rate, got 2 words",
		"team a {\nrequests NaN/s\n}":       `f:2: team.requests: expected a rate of 0/s to 1e+12/s, got "NaN/s"`,
		"team a {\nworth 9/s 5/s\n}":        "f:2: team.worth: the ceiling 5/s is below the guaranteed rate 9/s",
		"team a {\nbytes 1/s\nbytes 1/s\n}": "f:3: team.bytes: given twice",
		"team a {\n}\nteam a {\n}": `f:3: team: the name "a" is already in use,` +
			" or is not 1 to 256 bytes long",
		"team " + strings.Repeat("x", 64<<10) + " {\n}": "is not 1 to 256 bytes long",
		"team a {\nservice s {\n}\nservice s {\n}\n}":   "f:4: team.service: s is named twice",
		"team a {\nburst 2\n}":                          "f:2: team.burst: expected a duration",
		"adaptive {\nleast 9\nmost 3\n}":                "least is above most",
		"retries {\nteam-share 9\n}":                    "f:2: retries.team-share: expected",
		"team a {\nservice s {\nfor c {\nrequest 1/s\n}\n}\n}\n": "f:4: team.service.for.request:" +
			" unknown directive; similar directives: requests",
	} {
		section, _ := Section()
		if err := section.Parse("f", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error of %.60q: got %v, want %s", text, err, want)
		}
	}
	section, contracts := Section()
	const text = "requests 100/s\ninstances 4\nteam a {\nrequests 40/s 80/s\nopen 9\nservice s {\nworth 4/s\n" +
		"for c {\nbytes 8/s\n}\n}\n}\nothers {\nopen-bytes 1MiB\n}"
	if err := section.Parse("f", []byte(text)); err != nil {
		t.Fatal(err)
	}
	usages, rejection := contracts.Ledger().Explain(start, "a", "s", "c")
	if rejection != nil || len(usages) != 5 || usages[0].Node != "a/s/c" || usages[0].Guaranteed != 2 ||
		usages[1].Kind != PriorityWeight || usages[2].Ceiling != 20 || usages[3].Ceiling != 2.25 {
		t.Errorf("budgets of class c: got %v, rejection %v", usages, rejection)
	}
	usages, _ = contracts.Ledger().Explain(start, "x", "", "")
	if len(usages) != 2 || usages[0].Node != "others" || usages[0].Ceiling != 1<<18 {
		t.Errorf("budgets of a team that is not named: got %v", usages)
	}
}

// FuzzSettings checks that any text is either an error or gives a ledger that admits and rejects without a panic.
func FuzzSettings(f *testing.F) {
	f.Add("requests 100/s\nteam a {\nrequests 40/s 80/s\nburst 0s\nservice s {\nfor c {\nworth 0/s 1e12/s\n}\n}\n}\n" +
		"others {\n}\nadaptive {\n}")
	f.Add("instances 10000\nteam a {\nrequests 1e12/s\nweight 0.000001\nopen 0.1\n}")
	f.Fuzz(func(t *testing.T, text string) {
		section, contracts := Section()
		if section.Parse("f", []byte(text)) != nil {
			return
		}
		ledger := contracts.Ledger()
		for i, tenant := range []string{"a", "x", "", "a"} {
			grant, rejection := ledger.Admit(start, tenant, "s", "c", Cost{PriorityWeight: float64(i), Bytes: 1e6})
			if rejection != nil {
				if rejection.String() == "" || rejection.RetryAfter < 0 {
					t.Fatalf("rejection %+v has no reason, or a Retry-After below 0", rejection)
				}
				continue
			}
			spend := grant.SpendAttempt
			if i > 0 {
				spend = grant.SpendRetry
			}
			_ = spend(start)
			grant.Release(start)
		}
		if ledger.InFlight() != 0 {
			t.Fatalf("in flight after all releases: got %d, want 0", ledger.InFlight())
		}
	})
}
