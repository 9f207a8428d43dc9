package test

import (
	"fmt"
	"maps"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// presentedNames counts the client certificates that endpoints were presented, by name. It is safe for concurrent use
// by the endpoints.
type presentedNames struct {
	mu    sync.Mutex
	names map[string]int
}

// add counts a certificate for name.
func (s *presentedNames) add(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names[name]++
}

// counts returns how often each name was presented.
func (s *presentedNames) counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.names)
}

// TestUpstreamTLS checks that the proxy uses TLS to the endpoints of one site, which must present a certificate for
// their own id, and plain TCP to those of another. An endpoint that presents another endpoint's certificate receives
// nothing. The proxy's own certificate is replaced while requests are served, and none fails; one that does not match
// its key is ignored.
func TestUpstreamTLS(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("y", 200_000)
	bed := newTestbed(t, func(attempt *receivedRequest) { attempt.Answer("ACK", "tag=t1", large) })
	authority := newAuthority(t)
	presented := &presentedNames{names: map[string]int{}}
	bed.serveTLS(authority, "c1", "c1.endpoints.test", presented.add)
	bed.serveTLS(authority, "c2", "c1.endpoints.test", presented.add) // an impostor: it presents the certificate of c1
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "our.pem"), filepath.Join(dir, "our.key")
	firstCert, firstKey := makeCertificateFiles(t, authority, "proxy-1", "proxy-1.test")
	replaceFile(t, firstCert, cert)
	replaceFile(t, firstKey, key)
	bed.addSettings("box-tls {", "ca "+authority.CertFile, "cert "+cert, "key "+key, "suffix .endpoints.test",
		"site hub {", "plain on", "}", "}")
	bed.start()
	client := bed.dial()
	var id atomic.Uint64
	sendRequest := func() reply {
		n := id.Add(1)
		return client.call(n, "footage", map[string]string{"item": hexID(n)})
	}
	for range 30 {
		if answer := sendRequest(); answer.Error != "" || answer.Body != large {
			t.Fatalf("by TLS: got error %q and %d bytes, want %d bytes served",
				answer.Error, len(answer.Body), len(large))
		}
	}
	attemptCounts := map[string]int{}
	for _, attempt := range bed.attempts() {
		attemptCounts[attempt.Endpoint]++
		if attempt.Fields["via"] == "c2" {
			t.Errorf("attempt %+v names the impostor c2 to fill from, want c2 unused", attempt)
		}
	}
	if attemptCounts["c1"] == 0 || attemptCounts["c2"] > 0 {
		t.Errorf("attempts by endpoint: got %v, want some at c1, none at c2, which presents c1's certificate",
			attemptCounts)
	}
	bed.waitLogMatches(`event=upstream-connect-failed endpoint=c2 .*not c2\.endpoints\.test`)
	stop := bed.startDistinctRequests()
	nextCert, nextKey := makeCertificateFiles(t, authority, "proxy-2", "proxy-2.test")
	replaceFile(t, nextCert, cert) // ignored, as the key is still the old one
	bed.waitLogged("event=keys-rejected")
	replaceFile(t, nextKey, key)
	bed.waitLogged("event=tls-reloaded")
	if counts := presented.counts(); counts["proxy-1.test"] == 0 || counts["proxy-2.test"] > 0 {
		t.Errorf("presented certificates: got %v, want only the first, as existing connections are kept", counts)
	}
	stop()
	bed.endpoints.ResetConnections("c1") // only new connections use the new certificate
	bed.waitUntil("the new certificate is presented", func() bool {
		sendRequest()
		return presented.counts()["proxy-2.test"] > 0
	})
}

// startDistinctRequests sends one request after another until the returned function is called. Their ids spread them
// over all endpoints. It fails the test if a request is not served.
func (bed *testbed) startDistinctRequests() (stop func()) {
	bed.t.Helper()
	stopping, done := make(chan struct{}), make(chan struct{})
	load := bed.dial()
	go func() {
		defer close(done)
		for n := uint64(1); ; n++ {
			select {
			case <-stopping:
				return
			case <-time.After(time.Millisecond):
			}
			load.send(request(n, "footage", map[string]string{"txn": fmt.Sprintf("00000000000f%04x", n%16)}, ""))
			if answer, err := load.read(); err != nil || answer.Error != "" {
				bed.t.Errorf("while certificates change: got %+v (error %v), want it served", answer, err)
				return
			}
		}
	}()
	return func() {
		close(stopping)
		<-done
	}
}
