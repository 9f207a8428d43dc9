package main

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestParsePending(t *testing.T) {
	known := []string{"staticcheck", "revive"}
	got, err := parsePending("# not done\n\nbroker revive\n  peer/link staticcheck\n", known)
	want := []Entry{{"broker", "revive"}, {"peer/link", "staticcheck"}}
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Errorf("valid list: error %v, entries (-want +got):\n%s", err, diff)
	}
	cases := map[string]string{
		"one field":       "broker",
		"three fields":    "broker revive staticcheck",
		"unknown linter":  "broker vet",
		"path not clean":  "./broker revive",
		"duplicate entry": "broker revive\nbroker revive",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			list, err := parsePending(text, known)
			var malformed *MalformedLineError
			if !errors.As(err, &malformed) {
				t.Errorf("got list %v, error %v, want a MalformedLineError", list, err)
			}
		})
	}
}

func TestReadFindings(t *testing.T) {
	static, err := readStaticcheck([]byte(`{"code":"S1","severity":"error","location":{"file":"/m/peer/link/a.go",`+
		`"line":3,"column":1},"message":"no"}`+"\n"), "/m")
	want := []Finding{{Entry{"peer/link", "staticcheck"}, "peer/link/a.go", 3, "S1", "no"}}
	if diff := cmp.Diff(want, static); err != nil || diff != "" {
		t.Errorf("staticcheck: error %v, findings (-want +got):\n%s", err, diff)
	}
	revive, err := readRevive([]byte(`{"RuleName":"exported","Failure":"no",`+
		`"Position":{"Start":{"Filename":"peer/b.go","Line":4}}}`+"\n"), "/m")
	want = []Finding{{Entry{"peer", "revive"}, "peer/b.go", 4, "exported", "no"}}
	if diff := cmp.Diff(want, revive); err != nil || diff != "" {
		t.Errorf("revive: error %v, findings (-want +got):\n%s", err, diff)
	}
	if findings, err := readRevive([]byte("panic"), "/m"); err == nil {
		t.Errorf("invalid JSON: got findings %v and no error, want an error", findings)
	}
	_, err = readStaticcheck([]byte(`{"location":{"file":"/other/a.go"}}`), "/m")
	var outside *OutsideModuleError
	if !errors.As(err, &outside) {
		t.Errorf("file outside the module: got error %v, want an OutsideModuleError", err)
	}
}

func TestDecide(t *testing.T) {
	directories := []string{"broker", "peer", "peer/link"}
	long := Finding{Entry: Entry{"broker", "revive"}, File: "broker/a.go", Rule: "line-length-limit"}
	broken := Finding{Entry: Entry{"broker", "staticcheck"}, File: "broker/a.go", Rule: "compile"}
	noRule := Finding{Entry: Entry{"broker", "revive"}, File: "broker/a.go"}
	cases := map[string]struct {
		findings []Finding
		pending  []Entry
		want     []error
	}{
		"clean":                {nil, nil, nil},
		"pending":              {[]Finding{long}, []Entry{long.Entry}, nil},
		"not pending":          {[]Finding{long}, nil, []error{&FindingError{long}}},
		"other linter pending": {[]Finding{long, broken}, []Entry{long.Entry}, []error{&FindingError{broken}}},
		"does not compile":     {[]Finding{broken}, []Entry{broken.Entry}, []error{&FindingError{broken}}},
		"no rule":              {[]Finding{noRule}, []Entry{noRule.Entry}, []error{&FindingError{noRule}}},
		"pending and clean":    {nil, []Entry{{"peer", "revive"}}, []error{&StaleEntryError{Entry{"peer", "revive"}}}},
		"pending and missing":  {nil, []Entry{{"gone", "revive"}}, []error{&NoPackageError{Entry{"gone", "revive"}}}},
		"one of two entries is stale": {
			[]Finding{long}, []Entry{long.Entry, {"peer/link", "revive"}},
			[]error{&StaleEntryError{Entry{"peer/link", "revive"}}},
		},
	}
	for name, example := range cases {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(example.want, decide(example.findings, example.pending, directories)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
