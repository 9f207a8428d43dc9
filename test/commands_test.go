package test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sloequay/internal/emulator/consul"
)

// TestEndpointsCommand checks that the endpoints command prints the view merged from all sources, with the source that
// decided the state of each endpoint.
func TestEndpointsCommand(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	cluster, agents := bed.enableCatalogue(1, "")
	cluster.SetStatus("cache", "c1", "maintenance")
	bed.writeConfig()
	bed.listFeed <- bed.healthChangeEvent(2, "c2", "removed")
	bed.listFeed <- "2"
	view := func() string {
		return mustRunProgram(t, "endpoints", "--config", bed.configPath, "--conf", bed.settingsPath, "--wait", "1s")
	}
	out := view()
	for _, want := range []string{
		"bulletin +speaks +4 ",
		"consul:cache +speaks +2 ",
		`c1 +draining +127.0.0.1:\d+ +edge +std +consul:cache +\S+ +word +up +draining`,
		`c2 +gone .* bulletin +\S+ +word +gone +up`,
		`p1 +up +127.0.0.1:\d+ +hub +parent +bulletin`,
	} {
		if !matches(want, out) {
			t.Errorf("got no line that matches %q in\n%s", want, out)
		}
	}
	agents[0].SetFault(consul.Refuse, 0)
	bed.listFeed <- "!"
	bed.listFeed <- "2"
	out = view()
	for _, want := range []string{"consul:cache +unheard", "# catalogue-unreachable"} {
		if !matches(want, out) {
			t.Errorf("without the catalogue's agent: got no line that matches %q in\n%s", want, out)
		}
	}
}

// TestTryCommand checks that the try command, the demonstration for newcomers, runs to its end and prints all of its
// steps.
func TestTryCommand(t *testing.T) {
	t.Parallel()
	out := mustRunProgram(t, "try")
	for _, want := range []string{
		"c1 drains", "c2 is killed", "the catalogue stops answering", "failed 0", "last send to c1",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("got no %q in\n%s", want, out)
		}
	}
}

// TestContractsCommand checks that the contracts command reports over-commitment with figures, and shows the usage of
// the contracts in a running proxy.
func TestContractsCommand(t *testing.T) {
	t.Parallel()
	pending := make(chan *receivedRequest, 10)
	bed := newTestbed(t, func(attempt *receivedRequest) { pending <- attempt })
	socket := filepath.Join(t.TempDir(), "s")
	bed.addSettings("control "+socket, "contracts {", "requests 100/s", "adaptive {", "}",
		"team lanes {", "requests 60/s 90/s", "open 7", "for lookup {", "requests 50/s", "}", "}",
		"team other {", "requests 50/s", "}", "}")
	run := func(args ...string) (string, error) {
		return runProgram(append([]string{"contracts", "--conf", bed.settingsPath}, args...)...)
	}
	expect := func(out string, err error, wants ...string) {
		t.Helper()
		for _, want := range wants {
			if err != nil || !matches(want, out) {
				t.Errorf("got error %v, want none and a line that matches %q in\n%s", err, want, out)
			}
		}
	}
	const overCommitted = "installation requests: 110/s are guaranteed below, of 100/s"
	if out, err := run("--check"); err == nil || !strings.Contains(out, overCommitted) {
		t.Errorf("--check: got error %v, want one and %q in\n%s", err, overCommitted, out)
	}
	if out, err := run("--show"); err == nil {
		t.Errorf("--show while no proxy runs: got no error, want one; output:\n%s", out)
	}
	bed.start()
	client := bed.dial()
	client.send(request(1, "lookup", map[string]string{"team": "lanes", "limit": "60000"}, ""))
	attempt := nextReceived(t, pending)
	out, err := run("--show")
	expect(out, err, "version 1, 1 open, 1 of 1 tenants", "capacity 200 open", "lanes +open +- +7 +6 +-",
		"installation +requests +100/s", "lanes has 1 open")
	out, err = run("--explain", "lanes", "lookup")
	expect(out, err, "lanes/lookup +requests +50/s +50/s +(49|50)", "lanes +requests +60/s +90/s")
	out, err = run("--explain", "nobody", "lookup")
	expect(out, err, "refused: no contract for nobody")
	if info, err := os.Stat(socket); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("operators' socket: got %v, error %v, want mode 0600", info, err)
	}
	answerDone(attempt)
	client.mustRead()
	bed.kill()
	bed.start() // the socket file that the killed proxy left must not prevent it
	out, err = run("--show")
	expect(out, err, "version 1, 0 open")
}
