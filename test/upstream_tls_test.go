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

// shownNames counts the names of the certificates that clients have shown; endpoints count at once.
type shownNames struct {
	mu    sync.Mutex
	names map[string]int
}

// add counts a certificate.
func (s *shownNames) add(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names[name]++
}

// counts gives how often each was shown so far.
func (s *shownNames) counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.names)
}

// TestUpstreamTLS: endpoints of one site are spoken to by TLS and show a certificate for their own id; those of
// another site are not. What shows another's is sent nothing. Our certificate changes in service and no request
// fails; one that does not fit its key changes nothing.
func TestUpstreamTLS(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("y", 200_000)
	bed := newTestbed(t, func(attempt *receivedRequest) { attempt.Answer("ACK", "tag=t1", large) })
	authority := newAuthority(t)
	shown := &shownNames{names: map[string]int{}}
	bed.serveTLS(authority, "c1", "c1.endpoints.test", shown.add)
	bed.serveTLS(authority, "c2", "c1.endpoints.test", shown.add) // an impostor
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
	ask := func() reply {
		n := id.Add(1)
		return client.call(n, "footage", map[string]string{"item": hexID(n)})
	}
	for range 30 {
		if answer := ask(); answer.Error != "" || answer.Body != large {
			t.Fatalf("by TLS: error %q, %d bytes, want %d bytes served", answer.Error, len(answer.Body), len(large))
		}
	}
	sent := map[string]int{}
	for _, attempt := range bed.attempts() {
		sent[attempt.Endpoint]++
		if attempt.Fields["via"] == "c2" {
			t.Errorf("%+v names the impostor c2 as the source, want it used for nothing", attempt)
		}
	}
	if sent["c1"] == 0 || sent["c2"] > 0 {
		t.Errorf("attempts by endpoint: %v, want c1 and not c2, whose certificate is another's", sent)
	}
	bed.waitLogMatches(`event=upstream-connect-failed endpoint=c2 .*not c2\.endpoints\.test`)
	stop := bed.startDistinctRequests()
	nextCert, nextKey := makeCertificateFiles(t, authority, "proxy-2", "proxy-2.test")
	replaceFile(t, nextCert, cert) // the key is still the old one's: not taken over
	bed.waitLogged("event=keys-rejected")
	replaceFile(t, nextKey, key)
	bed.waitLogged("event=tls-reloaded")
	if counts := shown.counts(); counts["proxy-1.test"] == 0 || counts["proxy-2.test"] > 0 {
		t.Errorf("certificates shown by then: %v, want the first alone, as connections stand", counts)
	}
	stop()
	bed.endpoints.ResetConnections("c1") // connections that stand go on by the old one; new ones show the new
	bed.waitUntil("the new certificate is shown", func() bool {
		ask()
		return shown.counts()["proxy-2.test"] > 0
	})
}

// startDistinctRequests sends one request after another, which are spread over all endpoints by their ids, until the
// returned function is called. It fails if one is not served.
func (bed *testbed) startDistinctRequests() (stop func()) {
	bed.t.Helper()
	over, done := make(chan struct{}), make(chan struct{})
	load := bed.dial()
	go func() {
		defer close(done)
		for n := uint64(1); ; n++ {
			select {
			case <-over:
				return
			case <-time.After(time.Millisecond):
			}
			load.send(request(n, "footage", map[string]string{"txn": fmt.Sprintf("00000000000f%04x", n%16)}, ""))
			if answer, err := load.read(); err != nil || answer.Error != "" {
				bed.t.Errorf("while certificates change: %+v, %v, want it served", answer, err)
				return
			}
		}
	}()
	return func() {
		close(over)
		<-done
	}
}
