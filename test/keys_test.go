package test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestKeyCommands runs the commands of the operators' run-book for keys and tokens.
func TestKeyCommands(t *testing.T) {
	t.Parallel()
	keys := newKeyring(t)
	expectOutput := func(out string, wants ...string) {
		t.Helper()
		for _, want := range wants {
			if !matches(want, out) {
				t.Errorf("no match for %q in the output:\n%s", want, out)
			}
		}
	}
	expectRejected := func(want string, args ...string) {
		t.Helper()
		if out, err := keys.run(args...); err == nil || !strings.Contains(out, want) {
			t.Errorf("%v: got error %v, want an error and %q in the output:\n%s", args, err, want, out)
		}
	}
	keys.mustRun("key", "new", "--id", "a")
	expectRejected("rotate", "key", "new")
	token := keys.token("s1", "staff", time.Hour)
	expectOutput(keys.mustRun("token", "verify", token, "--audience", "proxy"),
		"^good: subject s1 of tenant staff, by key a")
	expectOutput(keys.mustRun("token", "show", token), `"tenant": "staff"`, `"kid": "a"`)
	expectRejected("refused: audience", "token", "verify", token, "--audience", "other")
	expectOutput(keys.mustRun("key", "rotate", "--id", "b", "--algorithm", "ES256"),
		"b +ES256 +coming", "a +EdDSA +signing")
	keys.mustRun("key", "revoke", "token", "t123", "--for", "1h")
	keys.mustRun("key", "retire", "a")
	expectRejected("refused: retired", "token", "verify", token)
	expectRejected("no key signs now", "token", "sign", "--subject", "x", "--tenant", "y")
	expectRejected("expected token, subject or key", "key", "revoke", "team", "x")
}

// TestKeyRotationUnderLoad rotates keys while requests are in flight. No request with a valid token is rejected. After
// the overlap, tokens of the retired key are denied with the reason "retired".
func TestKeyRotationUnderLoad(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	keys := bed.enableIdentity("")
	bed.start()
	firstToken := keys.token("lane-1", "lanes", time.Hour)
	var token atomic.Value
	token.Store(firstToken)
	load := bed.startTraffic(300, func(n uint64) []byte {
		fields := map[string]string{"token": token.Load().(string), "unique": fmt.Sprint("u", n), "ram": "1"}
		return request(n, "charge", fields, "")
	})
	const rotations = 3
	for i := range rotations {
		old, next := fmt.Sprint("k", i+1), fmt.Sprint("k", i+2)
		keys.mustRun("key", "rotate", "--id", next, "--publish", "400ms", "--accept", "100ms", "--overlap", "900ms")
		bed.waitUntil("the next key signs", func() bool {
			return matches(next+" +EdDSA +signing", keys.mustRun("key", "list"))
		})
		token.Store(keys.token("lane-1", "lanes", time.Hour)) // requests with tokens of the old key are still in flight
		bed.waitUntil("the old key is retired", func() bool {
			return matches(old+" +EdDSA +retired", keys.mustRun("key", "list"))
		})
	}
	load.stopAndExpectServed(t)
	answer := bed.dial().call(1, "lookup", map[string]string{"token": firstToken})
	if answer.Error != "Denied" || answer.Fields["reason"] != "retired" {
		t.Errorf("token of the retired key: got %+v, want it denied with the reason \"retired\"", answer)
	}
}

// TestUnreadableKeysKeepOldSet moves the key directory away and brings it back empty, with a truncated file, with wrong
// permissions, and finally valid. The old key set stays in use until the directory is valid again.
func TestUnreadableKeysKeepOldSet(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	keys := bed.enableIdentity("")
	bed.start()
	token := keys.token("lane-1", "lanes", time.Hour)
	client := bed.dial()
	id := uint64(0)
	isAccepted := func() bool {
		id++
		return client.call(id, "lookup", map[string]string{"token": token}).Error == ""
	}
	if !isAccepted() {
		t.Fatal("token rejected before the directory changed, want it accepted")
	}
	keysFile, private := filepath.Join(keys.dir, "keys.json"), filepath.Join(keys.dir, "private")
	valid := []byte(readFile(t, keysFile))
	movedDir := keys.dir + ".away"
	for _, c := range []struct {
		name       string
		change     func() error
		wantLogged string // in the log; empty: not checked
	}{
		{"gone", func() error { return os.Rename(keys.dir, movedDir) }, "no such file"},
		{"empty", func() error { return os.Mkdir(keys.dir, 0o755) }, ""},
		{"truncated", func() error { return os.WriteFile(keysFile, valid[:len(valid)/2], 0o644) },
			"not a whole JWK set"},
		{"writable by others", func() error {
			return errors.Join(os.WriteFile(keysFile, valid, 0o644), os.Chmod(keysFile, 0o666))
		}, "lets others write it"},
	} {
		if err := c.change(); err != nil {
			t.Fatal(err)
		}
		if c.wantLogged != "" {
			bed.waitLogged(c.wantLogged)
		}
		if !isAccepted() {
			t.Errorf("directory %s: token rejected, want it accepted by the old key set", c.name)
		}
	}
	if err := errors.Join(os.Chmod(keysFile, 0o644),
		os.Rename(filepath.Join(movedDir, "private"), private)); err != nil {
		t.Fatal(err)
	}
	keys.mustRun("key", "rotate", "--id", "k9", "--publish", "0s", "--accept", "0s", "--overlap", "1h")
	token = keys.token("lane-1", "lanes", time.Hour)
	bed.waitUntil("a token of the new key is accepted", isAccepted)
}
