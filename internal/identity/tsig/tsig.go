// Package tsig checks the transaction signatures of DNS queries and signs their answers (RFC 8945), by keys that
// stand for subjects of tenants. It does no I/O and asks no clock: the time is passed in.
package tsig

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/miekg/dns"

	"sloequay/internal/identity"
)

// ErrMalformed is returned for a misplaced or malformed TSIG record.
var ErrMalformed = errors.New("a TSIG record that is not the last, not the only one, or not of class ANY")

const (
	// maxTimeSigned is the latest accepted time of a signature, in Unix seconds: as a Duration it does not overflow.
	maxTimeSigned = 1 << 33
	// timeGranularity is the resolution of the times of signatures.
	timeGranularity = time.Second
	// recordBytes is at most how long the record of a signature is, without its two names.
	recordBytes = 160
	// serverTimeBytes is the size of the server's time in an answer with the error BADTIME (RFC 8945, section 5.2.3).
	serverTimeBytes = 6
)

// QuerySignature is what the signature of a query was found to be.
type QuerySignature struct {
	Error  uint16    // 0, or dns.RcodeBadKey, RcodeBadSig, RcodeBadTime
	key    *boundKey // nil: there is none for it
	record *dns.TSIG
}

// Check checks the signature of a query; it returns nil if there is none. skew bounds how far its time may be off,
// whatever the query itself allows. Within that time a replayed query passes, so it must get the same answer.
func (k *Keys) Check(packet []byte, message *dns.Msg, now, skew time.Duration) (*QuerySignature, error) {
	if hasMisplacedRecord(message) {
		return nil, ErrMalformed
	}
	record := message.IsTsig()
	if record == nil {
		return nil, nil
	}
	if record.Hdr.Class != dns.ClassANY || record.Hdr.Ttl != 0 { // RFC 8945, section 4.2
		return nil, ErrMalformed
	}
	signed := &QuerySignature{record: record, key: k.get(record)}
	switch {
	case signed.key == nil:
		signed.Error = dns.RcodeBadKey
	case !signed.verify(packet):
		signed.Error = dns.RcodeBadSig
	case !signed.isInTime(now, skew):
		signed.Error = dns.RcodeBadTime
	}
	return signed, nil
}

// hasMisplacedRecord reports whether a TSIG record stands elsewhere than at the end of a message.
func hasMisplacedRecord(message *dns.Msg) bool {
	isTSIG := func(record dns.RR) bool { return record.Header().Rrtype == dns.TypeTSIG }
	if slices.ContainsFunc(message.Answer, isTSIG) || slices.ContainsFunc(message.Ns, isTSIG) {
		return true
	}
	last := len(message.Extra) - 1
	return last > 0 && slices.ContainsFunc(message.Extra[:last], isTSIG)
}

// verify reports whether the signature is that of the key.
func (s *QuerySignature) verify(packet []byte) bool {
	// The library writes into what it reads. It looks at the signature first, and then at the time by a clock of its
	// own; isInTime decides about that.
	err := dns.TsigVerify(slices.Clone(packet), s.key.Secret, "", false)
	return err == nil || errors.Is(err, dns.ErrTime)
}

// isInTime reports whether the time of the signature is no further off than the query itself and skew allow.
func (s *QuerySignature) isInTime(now, skew time.Duration) bool {
	if s.record.TimeSigned > maxTimeSigned {
		return false
	}
	off := now - s.timeSigned()
	allowed := min(time.Duration(s.record.Fudge)*time.Second, skew) + timeGranularity
	return max(off, -off) <= allowed
}

// timeSigned returns when the query was signed, on the Unix clock.
func (s *QuerySignature) timeSigned() time.Duration {
	return time.Duration(s.record.TimeSigned) * time.Second
}

// Caller returns the caller that the key identifies.
func (s *QuerySignature) Caller() *identity.Caller { return &s.key.caller }

// MaxSize returns at most how many bytes Sign adds to a message.
func (s *QuerySignature) MaxSize() int { return recordBytes + 2*len(s.record.Hdr.Name) }

// Sign packs an answer with its signature: by the query's key, or with the error alone where there is no key for it
// or its signature did not hold (RFC 8945, section 5.3.2).
func (s *QuerySignature) Sign(message *dns.Msg, now time.Duration) ([]byte, error) {
	signedAt := now
	if s.Error == dns.RcodeBadTime {
		signedAt = s.timeSigned() // the client's, and ours beside it
	}
	message.SetTsig(s.record.Hdr.Name, s.record.Algorithm, s.record.Fudge, int64(signedAt/time.Second))
	record := message.Extra[len(message.Extra)-1].(*dns.TSIG)
	record.OrigId = s.record.OrigId
	record.Error = s.Error
	if s.Error == dns.RcodeBadTime {
		record.TimeSigned = s.record.TimeSigned
		record.OtherLen = serverTimeBytes
		record.OtherData = fmt.Sprintf("%012x", uint64(now/time.Second))
	}
	secret := ""
	if s.key != nil {
		secret = s.key.Secret
	}
	packet, _, err := dns.TsigGenerate(message, secret, s.record.MAC, false)
	return packet, err
}
