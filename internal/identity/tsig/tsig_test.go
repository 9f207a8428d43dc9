package tsig

import (
	"encoding/base64"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"
)

const skew = 5 * time.Second

var secret = base64.StdEncoding.EncodeToString([]byte("0123456789abcdef0123456789abcdef"))

func keys(t testing.TB) *Keys {
	t.Helper()
	k, err := New([]Key{
		{"lane-3.", "hmac-sha256", secret, "lanes", "lane-3"},
		{"old.", "hmac-sha512", secret, "lanes", "old"},
	})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// query returns a packed query that is signed at a time, and its MAC. change may modify the packed query.
func query(t testing.TB, name, algorithm, secret string, signed time.Duration, change func([]byte)) ([]byte, string) {
	t.Helper()
	m := new(dns.Msg).SetQuestion("n0.example.", dns.TypeTXT)
	m.Id = 7
	m.SetEdns0(1232, false)
	m.SetTsig(name, algorithm, 300, int64(signed/time.Second))
	out, mac, err := dns.TsigGenerate(m, secret, "", false)
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(out)
	}
	return out, mac
}

// TestCheck checks the result for each kind of signature, and that the answer is signed as RFC 8945 requires.
func TestCheck(t *testing.T) {
	now := time.Duration(time.Now().UnixNano())
	other := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("x", 32)))
	for _, c := range []struct {
		name, key, algorithm, secret string
		at                           time.Duration
		change                       func([]byte)
		want                         uint16
	}{
		{"valid", "lane-3.", dns.HmacSHA256, secret, now, nil, 0},
		{"valid, name in capitals", "LANE-3.", dns.HmacSHA256, secret, now, nil, 0},
		{"unknown key", "lane-4.", dns.HmacSHA256, secret, now, nil, dns.RcodeBadKey},
		{"another algorithm", "lane-3.", dns.HmacSHA512, secret, now, nil, dns.RcodeBadKey},
		{"another secret", "lane-3.", dns.HmacSHA256, other, now, nil, dns.RcodeBadSig},
		{"changed question", "lane-3.", dns.HmacSHA256, secret, now, func(b []byte) { b[14] ^= 1 },
			dns.RcodeBadSig},
		{"one hour old", "lane-3.", dns.HmacSHA256, secret, now - time.Hour, nil, dns.RcodeBadTime},
		{"one day ahead", "lane-3.", dns.HmacSHA256, secret, now + 24*time.Hour, nil, dns.RcodeBadTime},
		{"older than skew, within its own fudge", "lane-3.", dns.HmacSHA256, secret,
			now - 20*time.Second, nil, dns.RcodeBadTime},
		{"4 s old, within skew", "lane-3.", dns.HmacSHA256, secret, now - 4*time.Second, nil, 0},
	} {
		packet, mac := query(t, c.key, c.algorithm, c.secret, c.at, c.change)
		m := &dns.Msg{}
		if err := m.Unpack(packet); err != nil {
			t.Fatal(err)
		}
		s, err := keys(t).Check(packet, m, now, skew)
		if err != nil || s == nil || s.Error != c.want {
			t.Errorf("%s: got %+v, error %v, want TSIG error %d", c.name, s, err, c.want)
			continue
		}
		if s.Error == 0 && (s.Caller().Subject != "lane-3" || s.Caller().Tenant != "lanes") {
			t.Errorf("%s: got caller %+v, want lane-3 of lanes", c.name, s.Caller())
		}
		answer := new(dns.Msg).SetRcode(m, dns.RcodeSuccess)
		out, err := s.Sign(answer, now)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		back := &dns.Msg{}
		if err := back.Unpack(out); err != nil {
			t.Fatal(err)
		}
		tsig := back.IsTsig()
		if tsig == nil || tsig.Error != c.want {
			t.Errorf("%s: got the TSIG record %v in the answer, want one with the same error", c.name, tsig)
			continue
		}
		err = dns.TsigVerify(out, c.secret, mac, false)
		switch c.want {
		case dns.RcodeBadKey, dns.RcodeBadSig:
			if tsig.MAC != "" {
				t.Errorf("%s: got a signed answer, want no MAC", c.name)
			}
		case dns.RcodeBadTime:
			if tsig.OtherLen != 6 || err != nil && !errors.Is(err, dns.ErrTime) {
				t.Errorf("%s: got TSIG record %v, error %v, want signed server time", c.name, tsig, err)
			}
		default:
			if err != nil {
				t.Errorf("%s: signature of the answer: got error %v, want none", c.name, err)
			}
		}
	}
}

func TestKeys(t *testing.T) {
	valid := Key{"a.", "hmac-sha256", secret, "t", "s"}
	for name, k := range map[string][]Key{
		"root as the name":      {{".", "hmac-sha256", secret, "t", "s"}},
		"unsupported algorithm": {{"a.", "hmac-md5", secret, "t", "s"}},
		"short secret":          {{"a.", "hmac-sha256", "AAAA", "t", "s"}},
		"secret not in base64":  {{"a.", "hmac-sha256", "!", "t", "s"}},
		"no tenant":             {{"a.", "hmac-sha256", secret, "", "s"}},
		"duplicate name":        {valid, {"A", "hmac-sha256", secret, "t", "s"}},
	} {
		_, err := New(k)
		if err == nil || strings.Contains(err.Error(), secret) {
			t.Errorf("%s: got error %v, want one without the secret", name, err)
		}
	}
	m := new(dns.Msg).SetQuestion("n0.example.", dns.TypeTXT)
	if s, err := keys(t).Check(nil, m, 0, skew); s != nil || err != nil {
		t.Errorf("query without a signature: got %+v, error %v, want nil, nil", s, err)
	}
	m.SetTsig("a.", dns.HmacSHA256, 300, 0)
	m.SetEdns0(1232, false)
	if _, err := keys(t).Check(nil, m, 0, skew); !errors.Is(err, ErrMalformed) {
		t.Errorf("TSIG record before another record: got error %v, want ErrMalformed", err)
	}
}

// FuzzCheck checks that no message causes a panic, that only the validly signed query is accepted, and that rejected
// queries can be answered.
func FuzzCheck(f *testing.F) {
	now := 1_800_000_000 * time.Second // constant, so that it is the same in all processes of the fuzzer
	valid, _ := query(f, "lane-3.", dns.HmacSHA256, secret, now, nil)
	f.Add(valid)
	invalid, _ := query(f, "lane-3.", dns.HmacSHA256, secret, now, func(b []byte) { b[len(b)-8] ^= 1 })
	f.Add(invalid)
	k, signed := keys(f), &dns.Msg{}
	if err := signed.Unpack(valid); err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, packet []byte) {
		m := &dns.Msg{}
		if m.Unpack(packet) != nil {
			return
		}
		s, err := k.Check(packet, m, now, skew)
		if err != nil || s == nil {
			return
		}
		// The signature covers the whole question. It covers neither the message id, the case of names nor data after
		// the message.
		sameQuestion := len(m.Question) == 1 && strings.EqualFold(m.Question[0].String(), signed.Question[0].String())
		sameSignature := s.record.MAC == signed.IsTsig().MAC && s.record.TimeSigned == signed.IsTsig().TimeSigned
		if s.Error == 0 && (!sameQuestion || !sameSignature || len(m.Answer)+len(m.Ns) > 0) {
			t.Fatalf("packet %x: got no TSIG error, want one", packet)
		}
		if len(m.Question) == 1 {
			_, err := s.Sign(new(dns.Msg).SetRcode(m, dns.RcodeNotAuth), now)
			if err != nil && s.Error != dns.RcodeBadKey {
				t.Fatalf("signing the answer: got error %v, want none", err)
			}
		}
	})
}
