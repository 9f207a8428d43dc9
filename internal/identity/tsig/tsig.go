// Package tsig checks the transaction signatures (TSIG, RFC 8945) of DNS queries and signs the answers, with keys that
// identify subjects of tenants. It does no I/O and reads no clock: the time is passed in.
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
var ErrMalformed = errors.New("TSIG record is not the last, not the only one, or not of class ANY with TTL 0")

const (
	// maxTimeSigned is the latest accepted time of a signature, in Unix seconds. It does not overflow as a Duration.
	maxTimeSigned = 1 << 33
	// timeGranularity is the resolution of signature times.
	timeGranularity = time.Second
	// maxRecordBytes is the maximum size of a TSIG record without its two names.
	maxRecordBytes = 160
	// serverTimeBytes is the size of the server's time in an answer with error BADTIME (RFC 8945, section 5.2.3).
	serverTimeBytes = 6
)

// QuerySignature is the result of checking the signature of a query. It signs the answer.
type QuerySignature struct {
	Error  uint16    // 0, or dns.RcodeBadKey, RcodeBadSig, RcodeBadTime
	key    *boundKey // nil if no key matches
	record *dns.TSIG
}

// Check checks the signature of a query. It returns nil if the query has none. now is Unix time. skew limits how far
// the signature's time may be off, even if the query allows more. A query that is replayed within that time is valid,
// so it must get the same answer.
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
	signature := &QuerySignature{record: record, key: k.get(record)}
	switch {
	case signature.key == nil:
		signature.Error = dns.RcodeBadKey
	case !signature.verify(packet):
		signature.Error = dns.RcodeBadSig
	case !signature.isTimeValid(now, skew):
		signature.Error = dns.RcodeBadTime
	}
	return signature, nil
}

// hasMisplacedRecord reports whether a message has a TSIG record that is not its last record.
func hasMisplacedRecord(message *dns.Msg) bool {
	isTSIG := func(record dns.RR) bool { return record.Header().Rrtype == dns.TypeTSIG }
	if slices.ContainsFunc(message.Answer, isTSIG) || slices.ContainsFunc(message.Ns, isTSIG) {
		return true
	}
	last := len(message.Extra) - 1
	return last > 0 && slices.ContainsFunc(message.Extra[:last], isTSIG)
}

// verify reports whether the signature verifies with the key.
func (s *QuerySignature) verify(packet []byte) bool {
	// TsigVerify modifies its input, so it gets a copy. It checks the signature first, and then the time by the system
	// clock. isTimeValid checks the time instead.
	err := dns.TsigVerify(slices.Clone(packet), s.key.Secret, "", false)
	return err == nil || errors.Is(err, dns.ErrTime)
}

// isTimeValid reports whether the time of the signature is within the limits of both the query's fudge and skew.
func (s *QuerySignature) isTimeValid(now, skew time.Duration) bool {
	if s.record.TimeSigned > maxTimeSigned {
		return false
	}
	difference := now - s.timeSigned()
	allowed := min(time.Duration(s.record.Fudge)*time.Second, skew) + timeGranularity
	return max(difference, -difference) <= allowed
}

// timeSigned returns the Unix time of the signature.
func (s *QuerySignature) timeSigned() time.Duration {
	return time.Duration(s.record.TimeSigned) * time.Second
}

// Caller returns the caller that the key identifies.
func (s *QuerySignature) Caller() *identity.Caller { return &s.key.caller }

// MaxSize returns the maximum number of bytes that Sign adds to a message.
func (s *QuerySignature) MaxSize() int { return maxRecordBytes + 2*len(s.record.Hdr.Name) }

// Sign packs an answer with a TSIG record. The answer is signed with the query's key. If no key matched or the query's
// signature was invalid, the record only holds the error (RFC 8945, section 5.3.2).
func (s *QuerySignature) Sign(message *dns.Msg, now time.Duration) ([]byte, error) {
	signedAt := now
	if s.Error == dns.RcodeBadTime {
		signedAt = s.timeSigned() // the client's time; the server's time goes into OtherData
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
