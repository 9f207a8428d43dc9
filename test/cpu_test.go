package test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"sloequay/internal/emulator"
	"sloequay/internal/identity"
	"sloequay/internal/identity/keydir"
)

var (
	cpuRequests = flag.Int("cpu-requests", 0, "requests by which the program's CPU is measured; 0: it is not")
	cpuProgram  = flag.String("cpu-program", "", "another build of the program, to compare with")
	cpuBy       = flag.String("cpu-by", "plain", "how callers show who they are: plain (identity is off), unsigned, token, new-token, tls; or box-tls, where boxes are behind TLS")
)

// TestCPU sends requests in a steady window of 16 and tells the CPU that the program took for each, its start left out. It
// asserts nothing and runs by its flag alone: two builds are compared by running it for each in turn.
func TestCPU(t *testing.T) {
	if *cpuRequests == 0 {
		t.Skip("needs -cpu-requests")
	}
	if *cpuProgram != "" {
		program = *cpuProgram
	}
	w, c, token := newCPUTestbed(t)
	ticks := func() (n int) {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", w.cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		var user, system int
		_, _ = fmt.Sscan(fields[11], &user)
		_, _ = fmt.Sscan(fields[12], &system)
		return user + system
	}
	send := func(id int) {
		c.send(request(uint64(id), "lookup", map[string]string{"item": fmt.Sprintf("%016x", id%5000+1), "ram": "1", "token": token(id)}, ""))
	}
	before := ticks()
	for id := range *cpuRequests {
		send(id)
		if id >= 16 {
			c.mustRead()
		}
	}
	t.Logf("%d requests by %s, %.1f us of CPU each", *cpuRequests, *cpuBy, float64(ticks()-before)*10_000/float64(*cpuRequests))
}

// newCPUTestbed runs the program for callers of a kind, and gives a client and the token of each request; empty: none.
func newCPUTestbed(t *testing.T) (*testbed, *client, func(int) string) {
	none := func(int) string { return "" }
	switch *cpuBy {
	case "plain":
		w := newTestbed(t, nil)
		w.start()
		return w, w.dial(), none
	case "unsigned":
		w := newTestbed(t, nil)
		w.enableIdentity("unsigned staff")
		w.start()
		return w, w.dial(), none
	case "tls":
		w := newTLSTestbed(t, nil)
		w.start()
		return w.testbed, w.dialTLS(w.clientConfig("lane3.lanes.test")), none
	case "box-tls":
		w := newTestbed(t, nil)
		ca, err := emulator.NewAuthority(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		for _, id := range []string{"c1", "c2", "p1", "o1"} {
			w.serveTLS(ca, id, id+".boxes.test", func(string) {})
		}
		cert, key, err := ca.Make("doorman", "doorman.test")
		if err != nil {
			t.Fatal(err)
		}
		w.addSettings("box-tls {\nca " + ca.File + "\ncert " + cert + "\nkey " + key + "\nsuffix .boxes.test\n}")
		w.start()
		return w, w.dial(), none
	}
	w := newTestbed(t, nil)
	k := w.enableIdentity("checks 1000000/s\nchecks-connection 1000000/s\nchecks-source 1000000/s")
	w.start()
	first := k.token("lane-1", "lanes", time.Hour)
	if *cpuBy == "token" {
		return w, w.dial(), func(int) string { return first }
	}
	tokens := make([]string, *cpuRequests)
	content, err := keydir.Read(k.dir)
	if err != nil {
		t.Fatal(err)
	}
	private, err := keydir.Private(k.dir, &content.Keys[0])
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(time.Now().UnixNano())
	for i := range tokens {
		tokens[i], err = identity.Sign(identity.Claims{ID: fmt.Sprint("n", i), Subject: "lane-1", Tenant: "lanes", Issued: now, Expires: now + time.Hour},
			"doorman", identity.EdDSA, "k1", private)
		if err != nil {
			t.Fatal(err)
		}
	}
	return w, w.dial(), func(id int) string { return tokens[id] }
}
