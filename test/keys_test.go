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

// TestKeyCommands tries the steps of the run-book, each as an operator would.
func TestKeyCommands(t *testing.T) {
	t.Parallel()
	keys := newKeyring(t)
	expect := func(out string, wants ...string) {
		t.Helper()
		for _, want := range wants {
			if !matches(want, out) {
				t.Errorf("nothing fits %q in\n%s", want, out)
			}
		}
	}
	expectRejected := func(want string, args ...string) {
		t.Helper()
		if out, err := keys.run(args...); err == nil || !strings.Contains(out, want) {
			t.Errorf("%v: %v, want an error and %q in\n%s", args, err, want, out)
		}
	}
	keys.mustRun("key", "new", "--id", "a")
	expectRejected("rotate", "key", "new")
	token := keys.token("s1", "staff", time.Hour)
	expect(keys.mustRun("token", "verify", token, "--audience", "proxy"),
		"^good: subject s1 of tenant staff, by key a")
	expect(keys.mustRun("token", "show", token), `"tenant": "staff"`, `"kid": "a"`)
	expectRejected("refused: audience", "token", "verify", token, "--audience", "other")
	expect(keys.mustRun("key", "rotate", "--id", "b", "--algorithm", "ES256"), "b +ES256 +coming", "a +EdDSA +signing")
	keys.mustRun("key", "revoke", "token", "t123", "--for", "1h")
	keys.mustRun("key", "retire", "a")
	expectRejected("refused: retired", "token", "verify", token)
	expectRejected("no key signs now", "token", "sign", "--subject", "x", "--tenant", "y")
	expectRejected("expected token, subject or key", "key", "revoke", "team", "x")
}

// TestKeyRotationUnderLoad: rotations while requests are in flight. No request whose token is good is rejected, and
// after the overlap every one of the retired key is, with that reason.
func TestKeyRotationUnderLoad(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	keys := bed.enableIdentity("")
	bed.start()
	first := keys.token("lane-1", "lanes", time.Hour)
	var token atomic.Value
	token.Store(first)
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
		token.Store(keys.token("lane-1", "lanes", time.Hour)) // tokens of the old key are in flight still
		bed.waitUntil("the old key is retired", func() bool {
			return matches(old+" +EdDSA +retired", keys.mustRun("key", "list"))
		})
	}
	load.stopAndExpectServed(t)
	answer := bed.dial().call(1, "lookup", map[string]string{"token": first})
	if answer.Error != "Denied" || answer.Fields["reason"] != "retired" {
		t.Errorf("%+v, want the retired key's token denied as such", answer)
	}
}

// TestUnreadableKeysKeepOldSet: the directory vanishes, comes back empty, half-written, and right. Until it is right
// the old set is in force.
func TestUnreadableKeysKeepOldSet(t *testing.T) {
	t.Parallel()
	bed := newTestbed(t, nil)
	keys := bed.enableIdentity("")
	bed.start()
	token := keys.token("lane-1", "lanes", time.Hour)
	client := bed.dial()
	id := uint64(0)
	taken := func() bool {
		id++
		return client.call(id, "lookup", map[string]string{"token": token}).Error == ""
	}
	if !taken() {
		t.Fatal("the token is rejected at first, want it taken")
	}
	keysFile, private := filepath.Join(keys.dir, "keys.json"), filepath.Join(keys.dir, "private")
	sound := []byte(readFile(t, keysFile))
	away := keys.dir + ".away"
	for _, c := range []struct {
		name   string
		change func() error
		fault  string // as the log has it; empty: not looked at
	}{
		{"gone", func() error { return os.Rename(keys.dir, away) }, "no such file"},
		{"empty", func() error { return os.Mkdir(keys.dir, 0o755) }, ""},
		{"half-written", func() error { return os.WriteFile(keysFile, sound[:len(sound)/2], 0o644) },
			"not a whole JWK set"},
		{"writable by others", func() error {
			return errors.Join(os.WriteFile(keysFile, sound, 0o644), os.Chmod(keysFile, 0o666))
		}, "lets others write it"},
	} {
		if err := c.change(); err != nil {
			t.Fatal(err)
		}
		if c.fault != "" {
			bed.waitLogged(c.fault)
		}
		if !taken() {
			t.Errorf("%s: the token is rejected, want the old set in force", c.name)
		}
	}
	if err := errors.Join(os.Chmod(keysFile, 0o644), os.Rename(filepath.Join(away, "private"), private)); err != nil {
		t.Fatal(err)
	}
	keys.mustRun("key", "rotate", "--id", "k9", "--publish", "0s", "--accept", "0s", "--overlap", "1h")
	token = keys.token("lane-1", "lanes", time.Hour)
	bed.waitUntil("a token of the next key is taken", taken)
}
