package transport

import (
	"crypto/ed25519"
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

const (
	maxMessageBytes  = 256 << 10
	maxMetadataBytes = 512 // memberlist's limit
	// maxInitialLength is the maximum number of elements of a list that are allocated before any of them is decoded,
	// whatever length the list announces.
	maxInitialLength = 1024
)

// envelope is a message on the wire. Its signature covers all other fields.
type envelope struct {
	From        string `codec:"From"`
	Incarnation uint64 `codec:"Epoch"`
	Number      uint64 `codec:"Number"` // counts the incarnation's messages, from 1
	To          string `codec:"To"`     // prevents a replay to another member; empty in a state exchange
	Body        []byte `codec:"Body"`
	Signature   []byte `codec:"Sig"`
}

// signedBytes returns the bytes that the signature covers: the envelope, encoded with an empty signature.
func (e envelope) signedBytes() []byte {
	e.Signature = nil
	encoded, _ := Encode(e)
	return encoded
}

// sign signs an envelope with this incarnation's private key.
func (t *Transport) sign(e *envelope) { e.Signature = ed25519.Sign(t.privateKey, e.signedBytes()) }

// isSignedBy reports whether the envelope's signature is valid for a public key.
func (e envelope) isSignedBy(publicKey string) bool {
	if len(publicKey) != ed25519.PublicKeySize {
		return false
	}
	return ed25519.Verify(ed25519.PublicKey(publicKey), e.signedBytes(), e.Signature)
}

// memberMetadata is what a member announces about itself.
type memberMetadata struct {
	Zone           string `codec:"Zone"`
	ProgramVersion string `codec:"Program"`
	Incarnation    uint64 `codec:"Epoch"`
	Key            []byte `codec:"Key"`
}

func encodeMetadata(self Identity, publicKey ed25519.PublicKey) ([]byte, error) {
	encoded, err := Encode(memberMetadata{
		Zone: self.Zone, ProgramVersion: self.ProgramVersion, Incarnation: self.Incarnation, Key: publicKey,
	})
	if err != nil {
		return nil, err
	}
	if len(encoded) > maxMetadataBytes {
		return nil, &MetadataSizeError{Bytes: len(encoded)}
	}
	return encoded, nil
}

// MetadataSizeError is returned for an Identity whose metadata is too large to be announced.
type MetadataSizeError struct{ Bytes int }

// Error returns a text with the size and the limit.
func (err *MetadataSizeError) Error() string {
	return fmt.Sprintf("peers: metadata of this proxy too large: got %d bytes, limit %d",
		err.Bytes, maxMetadataBytes)
}

// MessageSizeError is returned for an encoded message that is too large.
type MessageSizeError struct{ Bytes int }

// Error returns a text with the size and the limit.
func (err *MessageSizeError) Error() string {
	return fmt.Sprintf("message too large: got %d bytes, limit %d", err.Bytes, maxMessageBytes)
}

// MalformedError is returned for a message on which the decoder panicked.
type MalformedError struct{ Cause any }

// Error returns a text with the value of the decoder's panic.
func (err *MalformedError) Error() string { return fmt.Sprintf("malformed message: %v", err.Cause) }

// Encode returns a message encoded as MessagePack.
func Encode(message any) ([]byte, error) {
	var encoded []byte
	err := codec.NewEncoderBytes(&encoded, messagePack).Encode(message)
	return encoded, err
}

// Decode decodes a message of at most maxMessageBytes that Encode returned. It returns an error for malformed input and
// does not panic.
func Decode(encoded []byte, message any) (err error) {
	defer func() { // the decoder panics on some malformed input
		if cause := recover(); cause != nil {
			err = &MalformedError{cause}
		}
	}()
	if len(encoded) > maxMessageBytes {
		return &MessageSizeError{len(encoded)}
	}
	return codec.NewDecoderBytes(encoded, messagePack).Decode(message)
}

var messagePack = newMessagePack()

func newMessagePack() *codec.MsgpackHandle {
	handle := &codec.MsgpackHandle{}
	handle.MaxInitLen = maxInitialLength
	return handle
}
