package snapshot

import (
	"bytes"
	"fmt"
	"hash/crc32"
)

// magic is the first word of each snapshot.
const magic = "sloequay-list"

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// header returns the line that precedes a snapshot's JSON.
func header(text []byte) []byte {
	return fmt.Appendf(nil, "%s %d %d %08x\n", magic, Version, len(text), crc32.Checksum(text, castagnoli))
}

// verify checks the version, length and checksum in a snapshot's header, and returns the snapshot's JSON.
func verify(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, []byte(magic+" ")) {
		if len(data) < len(magic) && bytes.HasPrefix([]byte(magic), data) {
			return nil, ErrCorrupt // truncated within its first word
		}
		return nil, ErrInvalid
	}
	line, text, found := bytes.Cut(data, []byte("\n"))
	if !found {
		return nil, ErrCorrupt
	}
	var version, length int
	var checksum uint32
	fields, err := fmt.Sscanf(string(line), magic+" %d %d %x", &version, &length, &checksum)
	if fields < 1 {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	// A later version may have other fields, so check the version before missing fields.
	if version != Version {
		return nil, fmt.Errorf("%w: got %d, want %d", ErrVersion, version, Version)
	}
	if fields < 3 {
		return nil, ErrCorrupt
	}
	if len(text) != length || crc32.Checksum(text, castagnoli) != checksum {
		return nil, fmt.Errorf("%w: got %d bytes, want %d with the header's checksum", ErrCorrupt, len(text), length)
	}
	return text, nil
}
