package upstream

import (
	"strings"
	"testing"

	"sloequay/internal/broker"
	"sloequay/internal/policy"
)

// TestParseResponse checks the meaning of each code and field, and that partial responses are incomplete and invalid
// ones are errors.
func TestParseResponse(t *testing.T) {
	for _, c := range []struct {
		text   string
		code   responseCode
		end    broker.End
		note   policy.Note
		digest string
	}{
		{"r1 ACK tag=a,remark=hit 3\r\nabc\r\n", codeServed, broker.Served, policy.NoteHit,
			"ACK tag=a,remark=hit 3"},
		{"r1 NOMOD - 0\r\n\r\n", codeNotModified, broker.NotModified, 0, "NOMOD - 0"},
		{"r1 NOENT lag=2.5 0\r\n\r\n", codeCacheMiss, broker.CacheMiss, 0, "NOENT lag=2.5 0"},
		{"r1 AGAIN remark=no_slot 0\r\n\r\n", codeRejected, broker.Rejected, policy.NoteNoCapacity,
			"AGAIN remark=no_slot 0"},
		{"r1 EIO lag=-1 0\r\n\r\n", codeFailed, broker.Failed, 0, "EIO lag=-1 0"},
		{"r1 STALE - 0\r\n\r\n", codeAlreadyEnded, broker.AlreadyEnded, 0, "STALE - 0"},
	} {
		r, used, err := parseResponse([]byte(c.text + "next"))
		if err != nil || used != len(c.text) {
			t.Errorf("%q: got used %d, error %v, want the whole text and no error", c.text, used, err)
			continue
		}
		ended := r.attemptEnded(nil)
		if r.id != "r1" || r.code != c.code || r.digest != c.digest || !r.code.endsAttempt() {
			t.Errorf("%q: got response %+v, want id r1 and the expected code and digest", c.text, r)
		}
		if ended.End != c.end || ended.Note != c.note {
			t.Errorf("%q: got attempt end %+v, want the expected end and note", c.text, ended)
		}
		for n := range len(c.text) {
			if _, used, err := parseResponse([]byte(c.text[:n])); used != 0 || err != nil {
				t.Errorf("%q: got used %d, error %v, want 0 and no error", c.text[:n], used, err)
			}
		}
	}
	for _, text := range []string{"p1 READY - 0\r\n\r\n", "p1 AILING - 0\r\n\r\n"} {
		if r, used, err := parseResponse([]byte(text)); err != nil || used != len(text) || r.code.endsAttempt() {
			t.Errorf("%q: got used %d, error %v, response %+v, want the answer to a check", text, used, err, r)
		}
	}
	for _, text := range []string{
		"r1 ACK - 0 x\r\n\r\n", "r1 ACK -\r\n", "r1 ACK - -1\r\n\r\n", "r1 ACK - 262145\r\n", "r1 ACK - 1\r\nabc",
		"r1 OK - 0\r\n\r\n", "r1 ACK tag 0\r\n\r\n", "r1 ACK =a 0\r\n\r\n", strings.Repeat("r", maxLine),
	} {
		if _, _, err := parseResponse([]byte(text)); err == nil {
			t.Errorf("%.40q: got no error, want one", text)
		}
	}
}

// TestPartialResponseID checks that the id of a partial response is returned once the id is complete.
func TestPartialResponseID(t *testing.T) {
	for text, want := range map[string]string{"": "", "r1": "", "r1 ": "r1", "r1 ACK - 3\r\na": "r1"} {
		if got := partialResponseID([]byte(text)); got != want {
			t.Errorf("%q: got id %q, want %q", text, got, want)
		}
	}
}
