// Package tsig checks the transaction signatures of DNS queries and signs their answers (RFC 8945), by keys that stand for
// subjects of tenants. It does no I/O; the time is handed in.
package tsig

import (
	"encoding/base64"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"

	"sloequay/internal/identity"
)

// Key is a shared secret and whose it is.
type Key struct {
	Name      string // a domain name
	Algorithm string // as hmac-sha256
	Secret    string // base64
	Tenant    string
	Subject   string
}

// Algorithms are those that are taken. MD5 and SHA-1 are not.
var Algorithms = []string{"hmac-sha256", "hmac-sha384", "hmac-sha512"}

// MaxKeys bounds a set.
const MaxKeys = 4096

// leastSecret is the shortest secret that is taken, in bytes: RFC 8945, section 8 asks for the hash's length.
const leastSecret = 32

// Keys is a set of keys, by name. It does not change. Nil is one without keys.
type Keys struct{ keys map[string]*held }

type held struct {
	Key
	caller identity.Caller
}

// New makes a set. An error names the key and what is wrong with it, never the secret.
func New(all []Key) (*Keys, error) {
	if len(all) > MaxKeys {
		return nil, fmt.Errorf("%d keys, at most %d are held", len(all), MaxKeys)
	}
	s := &Keys{keys: map[string]*held{}}
	for _, k := range all {
		k.Name = dns.CanonicalName(k.Name)
		secret, err := base64.StdEncoding.DecodeString(k.Secret)
		_, isName := dns.IsDomainName(k.Name)
		switch {
		case !isName || k.Name == ".":
			return nil, fmt.Errorf("key %.64q: the name is no domain name", k.Name)
		case !slices.Contains(Algorithms, k.Algorithm):
			return nil, fmt.Errorf("key %s: algorithm %.32q: expected one of %s", k.Name, k.Algorithm, strings.Join(Algorithms, ", "))
		case err != nil || len(secret) < leastSecret:
			return nil, fmt.Errorf("key %s: the secret must be at least %d bytes in base64", k.Name, leastSecret)
		case k.Tenant == "" || k.Subject == "":
			return nil, fmt.Errorf("key %s: tenant and subject are needed", k.Name)
		case s.keys[k.Name] != nil:
			return nil, fmt.Errorf("key %s is there twice", k.Name)
		}
		s.keys[k.Name] = &held{k, identity.Caller{Front: "dns", Tenant: k.Tenant, Subject: k.Subject}}
	}
	return s, nil
}

// Signed is what the signature of a query was found to be.
type Signed struct {
	Error  uint16 // 0, or dns.RcodeBadKey, RcodeBadSig, RcodeBadTime
	key    *held
	record *dns.TSIG
}

// ErrForm says that a TSIG record stands where none may.
var ErrForm = errors.New("a TSIG record that is not the last, not the only one, or not of class ANY")

// Check looks for a signature on a query: nil where it has none. skew is how far its time may be off, whatever the query
// says; a query is to be answered alike as often as it comes within it.
func (k *Keys) Check(packet []byte, m *dns.Msg, now, skew time.Duration) (*Signed, error) {
	for section, rrs := range [3][]dns.RR{m.Answer, m.Ns, m.Extra} {
		for i, rr := range rrs {
			if rr.Header().Rrtype == dns.TypeTSIG && (section < 2 || i < len(rrs)-1) {
				return nil, ErrForm
			}
		}
	}
	record := m.IsTsig()
	if record == nil {
		return nil, nil
	}
	if record.Hdr.Class != dns.ClassANY || record.Hdr.Ttl != 0 { // RFC 8945, section 4.2
		return nil, ErrForm
	}
	s := &Signed{record: record}
	if k != nil {
		s.key = k.keys[dns.CanonicalName(record.Hdr.Name)]
	}
	if s.key == nil || dns.CanonicalName(record.Algorithm) != s.key.Algorithm+"." {
		s.key, s.Error = nil, dns.RcodeBadKey
		return s, nil
	}
	// The library looks at the signature first, and then at the time by a clock of its own; ours decides about that. It
	// writes into what it reads.
	if err := dns.TsigVerify(slices.Clone(packet), s.key.Secret, "", false); err != nil && !errors.Is(err, dns.ErrTime) {
		s.Error = dns.RcodeBadSig
		return s, nil
	}
	off := now - time.Duration(record.TimeSigned)*time.Second
	if limit := min(time.Duration(record.Fudge)*time.Second, skew) + time.Second; record.TimeSigned > 1<<33 || max(off, -off) > limit {
		s.Error = dns.RcodeBadTime
	}
	return s, nil
}

// Caller is whom the key stands for, as the gate knows it.
func (s *Signed) Caller() *identity.Caller { return &s.key.caller }

// Size is at most how many bytes Sign adds to a message.
func (s *Signed) Size() int { return 160 + 2*len(s.record.Hdr.Name) }

// Sign packs an answer with its signature: by the query's key, or with the error alone where there is no key for it or its
// signature did not hold (RFC 8945, section 5.3.2).
func (s *Signed) Sign(m *dns.Msg, now time.Duration) ([]byte, error) {
	signed := now
	if s.Error == dns.RcodeBadTime {
		signed = time.Duration(s.record.TimeSigned) * time.Second // the client's, and ours beside it
	}
	m.SetTsig(s.record.Hdr.Name, s.record.Algorithm, s.record.Fudge, int64(signed/time.Second))
	t := m.Extra[len(m.Extra)-1].(*dns.TSIG)
	t.OrigId, t.Error = s.record.OrigId, s.Error
	secret := ""
	if s.key != nil {
		secret = s.key.Secret
	}
	if s.Error == dns.RcodeBadTime {
		t.TimeSigned, t.OtherLen, t.OtherData = s.record.TimeSigned, 6, fmt.Sprintf("%012x", uint64(now/time.Second))
	}
	out, _, err := dns.TsigGenerate(m, secret, s.record.MAC, false)
	return out, err
}
