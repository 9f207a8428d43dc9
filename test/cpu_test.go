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
	cpuRequests   = flag.Int("cpu-requests", 0, "number of requests to measure CPU time with; 0: skip the measurement")
	cpuProgram    = flag.String("cpu-program", "", "another build of the program, to be measured instead")
	cpuCallerKind = flag.String("cpu-by", "plain", "how callers authenticate: plain (identity is disabled), "+
		"unsigned, token, new-token, tls; or box-tls, with TLS to the endpoints")
)

// TestCPU measures the CPU time of the program per request, without its start, while 16 requests are open at any time.
// It checks nothing and runs only with -cpu-requests: two builds are compared by running it for each in turn.
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

// cpuTicks returns the CPU time that the program has used in user and kernel mode, in hundredths of a second.
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

// newCPUTestbed starts the program for callers of the kind in -cpu-by. It returns a client and a function that returns
// the token of the request with an id, or "" if it has none.
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
		bed.addSettings("box-tls {", "ca "+authority.CertFile, "cert "+cert, "key "+key, "suffix .endpoints.test", "}")
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

// signTokens signs count tokens, each with its own id.
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
