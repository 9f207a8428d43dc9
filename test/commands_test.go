package test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"sloequay/internal/emulator/consul"
)

// TestEndpointsCommand: the command prints the merged view, with who decided.
func TestEndpointsCommand(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, nil)
	c, agents := w.enableCatalogue(1, "")
	c.Mark("cache", "c1", "maintenance")
	w.configPath = filepath.Join(t.TempDir(), "config.json")
	w.writeConfig()
	w.listFeed <- listEvent(2, false, listEntry("c2", w.listeners["c2"].Addr().String(), "edge", "std", "removed", 0))
	w.listFeed <- "2"
	view := func() string {
		out, err := exec.Command(program, "boxes", "--config", w.configPath, "--conf", w.settingsPath, "--wait", "1s").CombinedOutput()
		if err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		return string(out)
	}
	out := view()
	for _, want := range []string{"bulletin +speaks +4 ", "consul:cache +speaks +2 ", "c1 +draining +127.0.0.1:\\d+ +edge +std +consul:cache +\\S+ +word +up +draining",
		"c2 +gone .* bulletin +\\S+ +word +gone +up", "p1 +up +127.0.0.1:\\d+ +hub +parent +bulletin"} {
		if !matches(want, out) {
			t.Errorf("no line fits %q in\n%s", want, out)
		}
	}
	agents[0].SetFault(consul.Refuse, 0)
	w.listFeed <- "!"
	w.listFeed <- "2"
	if out = view(); !matches("consul:cache +unheard", out) || !matches("# catalogue-unreachable", out) {
		t.Errorf("without its agent:\n%s", out)
	}
}

// TestTryCommand: the newcomer's command runs to its end, and all it shows is as it should be.
func TestTryCommand(t *testing.T) {
	t.Parallel()
	out, err := exec.Command(program, "try").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, want := range []string{"c1 drains", "c2 is killed", "the catalogue stops answering", "failed 0", "last send to c1"} {
		if !strings.Contains(string(out), want) {
			t.Errorf("%q is not in\n%s", want, out)
		}
	}
}

// TestContractsCommand: what is over-committed is told with figures, and a running doorman says how its contracts stand.
func TestContractsCommand(t *testing.T) {
	t.Parallel()
	held := make(chan *receivedRequest, 10)
	w := newTestbed(t, func(a *receivedRequest) { held <- a })
	socket := filepath.Join(t.TempDir(), "s")
	w.addSettings("control " + socket + "\ncontracts {\nrequests 100/s\nadaptive {\n}\nteam lanes {\nrequests 60/s 90/s\nopen 7\nfor lookup {\nrequests 50/s\n}\n}\nteam other {\nrequests 50/s\n}\n}")
	run := func(args ...string) (string, error) {
		out, err := exec.Command(program, append([]string{"contracts", "--conf", w.settingsPath}, args...)...).CombinedOutput()
		return string(out), err
	}
	if out, err := run("--check"); err == nil || !strings.Contains(out, "installation requests: 110/s are guaranteed below, of 100/s") {
		t.Errorf("%v: %s", err, out)
	}
	if _, err := run("--show"); err == nil {
		t.Error("a doorman that does not run has answered")
	}
	w.start()
	client := w.dial()
	client.send(request(1, "lookup", map[string]string{"team": "lanes", "limit": "60000"}, ""))
	a := <-held
	out, err := run("--show")
	for _, want := range []string{"version 1, 1 open, 1 of 1 tenants", "capacity 200 open", `lanes +open +- +7 +6 +-`, `installation +requests +100/s`, "lanes has 1 open"} {
		if err != nil || !matches(want, out) {
			t.Errorf("%v, no %q in\n%s", err, want, out)
		}
	}
	if out, err = run("--explain", "lanes", "lookup"); err != nil || !matches(`lanes/lookup +requests +50/s +50/s +(49|50)`, out) || !matches(`lanes +requests +60/s +90/s`, out) {
		t.Errorf("%v: %s", err, out)
	}
	if out, err = run("--explain", "nobody", "lookup"); err != nil || !strings.Contains(out, "refused: no contract for nobody") {
		t.Errorf("%v: %s", err, out)
	}
	if info, err := os.Stat(socket); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the socket: %v, %v", info.Mode(), err)
	}
	a.Answer("ACK", "tag=t1", "done")
	client.mustRead()
	w.kill()
	w.start() // the socket that a killed doorman left is no hindrance
	if out, err := run("--show"); err != nil || !strings.Contains(out, "version 1, 0 open") {
		t.Errorf("after a kill: %v: %s", err, out)
	}
}
