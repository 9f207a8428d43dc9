package transport

import (
	"crypto/ed25519"
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

const (
	maxMessageBytes  = 256 << 10
	maxMetadataBytes = 512 // memberlist's own limit
	// maxInitialLength bounds the memory that is taken by the announced length of a list, before its elements came.
	maxInitialLength = 1024
)

// envelope is a message as it travels. Its signature covers all other fields.
type envelope struct {
	From        string `codec:"From"`
	Incarnation uint64 `codec:"Epoch"`
	Number      uint64 `codec:"Number"` // of the incarnation's messages, from 1
	To          string `codec:"To"`     // so that it can't be replayed to another one; empty in an exchange of state
	Body        []byte `codec:"Body"`
	Signature   []byte `codec:"Sig"`
}

// signedBytes returns what the signature covers.
func (e envelope) signedBytes() []byte {
	e.Signature = nil
	encoded, _ := Encode(e)
	return encoded
}

// sign signs an envelope with this incarnation's key.
func (t *Transport) sign(e *envelope) { e.Signature = ed25519.Sign(t.privateKey, e.signedBytes()) }

// isSignedBy reports whether a public key's owner signed the envelope.
func (e envelope) isSignedBy(publicKey string) bool {
	if len(publicKey) != ed25519.PublicKeySize {
		return false
	}
	return ed25519.Verify(ed25519.PublicKey(publicKey), e.signedBytes(), e.Signature)
}

// memberMetadata is what a member announces of itself.
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

// MetadataSizeError is returned for an Identity that is too long to be announced.
type MetadataSizeError struct{ Bytes int }

// Error gives the size and its bound.
func (err *MetadataSizeError) Error() string {
	return fmt.Sprintf("peers: the metadata of this proxy has %d bytes, at most %d may be",
		err.Bytes, maxMetadataBytes)
}

// MessageSizeError is returned for an encoded message that is too long.
type MessageSizeError struct{ Bytes int }

// Error gives the size and its bound.
func (err *MessageSizeError) Error() string {
	return fmt.Sprintf("%d bytes, at most %d expected", err.Bytes, maxMessageBytes)
}

// MalformedError is returned for a message on which the decoder panicked.
type MalformedError struct{ Cause any }

// Error gives what the decoder said.
func (err *MalformedError) Error() string { return fmt.Sprintf("malformed: %v", err.Cause) }

// Encode returns a message as MessagePack.
func Encode(message any) ([]byte, error) {
	var encoded []byte
	err := codec.NewEncoderBytes(&encoded, messagePack).Encode(message)
	return encoded, err
}

// Decode reads what Encode has written, up to maxMessageBytes. It is safe for malformed input.
func Decode(encoded []byte, message any) (err error) {
	defer func() { // the library panics on some malformed input
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
