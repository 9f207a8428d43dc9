package test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"sloequay/internal/identity"
	"sloequay/internal/identity/keydir"
)

var (
	cpuRequests   = flag.Int("cpu-requests", 0, "requests by which the program's CPU is measured; 0: it is not")
	cpuProgram    = flag.String("cpu-program", "", "another build of the program, to compare with")
	cpuCallerKind = flag.String("cpu-by", "plain", "how callers show who they are: plain (identity is off), "+
		"unsigned, token, new-token, tls; or box-tls, where endpoints are behind TLS")
)

// TestCPU sends requests in a steady window of 16 and tells the CPU that the program took for each, its start left
// out. It asserts nothing and runs by its flag alone: two builds are compared by running it for each in turn.
func TestCPU(t *testing.T) {
	if *cpuRequests == 0 {
		t.Skip("needs -cpu-requests")
	}
	if *cpuProgram != "" {
		programPath = *cpuProgram
	}
	bed, client, token := newCPUTestbed(t)
	before := bed.cpuTicks()
	for id := range *cpuRequests {
		fields := map[string]string{"item": hexID(id%5000 + 1), "ram": "1", "token": token(id)}
		client.send(request(uint64(id), "lookup", fields, ""))
		if id >= 16 {
			client.mustRead()
		}
	}
	const microsecondsPerTick = 10_000
	each := float64(bed.cpuTicks()-before) * microsecondsPerTick / float64(*cpuRequests)
	t.Logf("%d requests by %s, %.1f us of CPU each", *cpuRequests, *cpuCallerKind, each)
}

// cpuTicks is the processor time that the program has used, its own and the system's for it, in hundredths of a
// second.
func (bed *testbed) cpuTicks() int {
	bed.t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", bed.cmd.Process.Pid))
	if err != nil {
		bed.t.Fatal(err)
	}
	fields := statFields(string(stat))
	var user, system int
	_, _ = fmt.Sscan(fields[11], &user)
	_, _ = fmt.Sscan(fields[12], &system)
	return user + system
}

// newCPUTestbed runs the program for callers of a kind, and gives a client and the token of each request; empty:
// none.
func newCPUTestbed(t *testing.T) (*testbed, *client, func(int) string) {
	t.Helper()
	noToken := func(int) string { return "" }
	if *cpuCallerKind == "tls" {
		bed := newTLSTestbed(t, nil)
		bed.start()
		return bed.testbed, bed.dialTLS(bed.clientConfig("lane3.lanes.test")), noToken
	}
	bed := newTestbed(t, nil)
	switch *cpuCallerKind {
	case "plain":
	case "unsigned":
		bed.enableIdentity("unsigned staff")
	case "box-tls":
		authority := newAuthority(t)
		for id := range bed.listeners {
			bed.serveTLS(authority, id, id+".endpoints.test", func(string) {})
		}
		cert, key := makeCertificateFiles(t, authority, "proxy", "proxy.test")
		bed.addSettings("box-tls {", "ca "+authority.File, "cert "+cert, "key "+key, "suffix .endpoints.test", "}")
	default:
		keys := bed.enableIdentity("checks 1000000/s\nchecks-connection 1000000/s\nchecks-source 1000000/s")
		bed.start()
		if *cpuCallerKind == "token" {
			token := keys.token("lane-1", "lanes", time.Hour)
			return bed, bed.dial(), func(int) string { return token }
		}
		tokens := signTokens(t, keys, *cpuRequests)
		return bed, bed.dial(), func(id int) string { return tokens[id] }
	}
	bed.start()
	return bed, bed.dial(), noToken
}

// signTokens makes as many tokens, each with an id of its own.
func signTokens(t *testing.T, keys keyring, count int) []string {
	t.Helper()
	content, err := keydir.Read(keys.dir)
	if err != nil {
		t.Fatal(err)
	}
	private, err := keydir.ReadPrivateKey(keys.dir, &content.Keys[0])
	if err != nil {
		t.Fatal(err)
	}
	tokens := make([]string, count)
	now := time.Duration(time.Now().UnixNano())
	for i := range tokens {
		claims := identity.Claims{ID: fmt.Sprint("n", i), Subject: "lane-1", Tenant: "lanes",
			Issued: now, Expires: now + time.Hour}
		if tokens[i], err = identity.Sign(claims, "proxy", identity.EdDSA, "k1", private); err != nil {
			t.Fatal(err)
		}
	}
	return tokens
}
