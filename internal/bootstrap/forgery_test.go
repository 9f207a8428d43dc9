package bootstrap

import (
	"math/bits"
	"testing"

	"sloequay/internal/membership"
)

// The primes of xxHash64.
const (
	prime1 = 11400714785074694791
	prime2 = 14029467366897019727
	prime3 = 1609587929392839161
	prime4 = 9650029242287828579
)

// inverse returns the multiplicative inverse of an odd number modulo 2^64, by Newton's iteration.
func inverse(odd uint64) uint64 {
	x := odd
	for range 6 {
		x *= 2 - odd*x
	}
	return x
}

// stateOf returns the state of xxHash64 from which a sum was computed, after the last bytes were mixed in.
func stateOf(sum uint64) uint64 {
	sum ^= sum >> 32
	sum *= inverse(prime3)
	sum ^= sum>>29 ^ sum>>58
	sum *= inverse(prime2)
	return sum ^ sum>>33
}

// mixed returns what a last word of 8 bytes is mixed into the state as.
func mixed(word uint64) uint64 { return bits.RotateLeft64(word*prime2, 31) * prime1 }

// wordOf is the inverse of mixed.
func wordOf(mix uint64) uint64 {
	return bits.RotateLeft64(mix*inverse(prime1), -31) * inverse(prime2)
}

// beforeLastWord returns the state before a last word was mixed in, combined with the mixed word.
func beforeLastWord(sum uint64) uint64 {
	return bits.RotateLeft64((stateOf(sum)-prime4)*inverse(prime1), -27)
}

// forge changes the incarnation of the last endpoint, the last word of the content, so that the list gets a checksum.
func forge(t *testing.T, version uint64, endpoints []membership.Endpoint, sum uint64) []membership.Endpoint {
	t.Helper()
	last := &endpoints[len(endpoints)-1]
	last.Incarnation = 0
	unforged, _ := digests(version, endpoints)
	last.Incarnation = wordOf(beforeLastWord(sum) ^ beforeLastWord(unforged) ^ mixed(0))
	if forged, _ := digests(version, endpoints); forged != sum {
		t.Fatalf("got checksum %x, want the forged one %x", forged, sum)
	}
	return endpoints
}

// TestForgedChecksumIsRejected guards against requests to endpoints that a lying peer has invented: it advertised the
// list that others advertise, and served other content with the same checksum, which a quorum then seemed to confirm.
func TestForgedChecksumIsRejected(t *testing.T) {
	h := newHintHarness("byzantine", "honest1", "honest2")
	h.handle(h.ListFromService(h.now, 0, 1, []membership.Endpoint{testEndpoint("t1")}))
	honest := newEndpointList(0, 2, []membership.Endpoint{testEndpoint("t1"), testEndpoint("t2")})
	// The content has 104 bytes: three blocks of xxHash64, and the incarnation as the only word behind them.
	forgery := forge(t, 2, []membership.Endpoint{{ID: "f1", Address: "false.example.test:808", State: membership.Up}},
		honest.Sum)

	advertised := honest.ListVersion
	digest := Message{From: "byzantine", Digest: []Advertisement{{ListVersion: advertised}}}
	h.handle(h.MessageReceived(h.now, digest))
	part := &Part{ListVersion: advertised, Total: 1, Endpoints: forgery}
	h.handle(h.MessageReceived(h.now, Message{From: "byzantine", Part: part}))
	h.advertise("honest1", 2, honest.endpoints...)
	if _, isInUse := h.published["f1"]; isInUse {
		t.Fatal("the forged content is in force, want it rejected")
	}
	h.advertise("honest2", 2, honest.endpoints...)
	h.check(t, true, "t1", "t2")
}

// TestEarlierVersionsFormAQuorum checks that peers of an earlier version, which advertise no hash, are still believed
// where two of them agree, and that one of them and one with a hash are not counted together.
func TestEarlierVersionsFormAQuorum(t *testing.T) {
	for _, c := range []struct {
		name       string
		hasHash    []bool // by peer
		wantQuorum bool
	}{
		{"two earlier", []bool{false, false}, true},
		{"two of this version", []bool{true, true}, true},
		{"one each", []bool{false, true}, false},
		{"one earlier and two of this version", []bool{false, true, true}, true},
		{"two of this version and one earlier", []bool{true, true, false}, true},
		{"one of this version and two earlier", []bool{true, false, false}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			names := []string{"p1", "p2", "p3"}
			h := newHintHarness(names...)
			for i, hasHash := range c.hasHash {
				list := newEndpointList(0, 2, []membership.Endpoint{testEndpoint("t1")})
				if !hasHash {
					list.Hash = ""
				}
				h.lists[names[i]] = list
				digest := []Advertisement{{ListVersion: list.ListVersion}}
				h.handle(h.MessageReceived(h.now, Message{From: names[i], Digest: digest}))
			}
			if _, inForce := h.Version(0); inForce != c.wantQuorum {
				t.Errorf("got list in force %v, want %v", inForce, c.wantQuorum)
			}
		})
	}
}

// TestForgedHashIsRefuted checks that the service's list refutes an advertisement with its version and checksum and
// another hash.
func TestForgedHashIsRefuted(t *testing.T) {
	h := newHintHarness("byzantine", "honest", "earlier")
	endpoints := []membership.Endpoint{testEndpoint("t1")}
	version := VersionOf(0, 3, endpoints)
	trueHash := version.Hash
	for peer, hash := range map[string]string{"byzantine": "0123456789abcdef", "honest": trueHash, "earlier": ""} {
		version.Hash = hash
		h.handle(h.MessageReceived(h.now, Message{From: peer, Digest: []Advertisement{{ListVersion: version}}}))
	}
	h.handle(h.ListFromService(h.now, 0, 3, endpoints))
	for peer, want := range map[string]bool{"byzantine": true, "honest": false, "earlier": false} {
		if got := h.isDistrusted(peer); got != want {
			t.Errorf("%s: got distrusted %v, want %v", peer, got, want)
		}
	}
}
