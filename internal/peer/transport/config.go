package transport

import (
	"encoding/base64"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/hashicorp/memberlist"

	"sloequay/internal/config"
)

// Config is the `peers` block of the settings.
type Config struct {
	Listen, Advertise  string // ip:port, TCP and UDP; an empty Advertise stands for Listen
	Seeds              []string
	KeyFile            string
	MembersFile        string // stores addresses of other members; empty: none
	Pollers, FleetSize int    // as in bootstrap.Config; a FleetSize of 0 is taken from the platform configuration
	MaxMembers         int
	MaxStreamBytes     int      // received on all open streams; 0: a default; not in the block
	keys               [][]byte // from KeyFile; the first one encrypts
}

// Defaults of a Config.
const (
	defaultPollers    = 3
	defaultMaxMembers = 2000
)

// KeyFileError is returned for a key file that cannot be used.
type KeyFileError struct {
	Path   string
	Line   int // 0: the whole file
	Reason string
}

// Error returns the file, the line if there is one, and the reason.
func (err *KeyFileError) Error() string {
	if err.Line == 0 {
		return fmt.Sprintf("%s: %s", err.Path, err.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", err.Path, err.Line, err.Reason)
}

// NewConfig returns a Config with these values, the keys of the key file and the defaults.
func NewConfig(listen, advertise, keyFile string, seeds []string) (Config, error) {
	keys, err := readKeys(keyFile)
	return Config{
		Listen:     listen,
		Advertise:  advertise,
		Seeds:      seeds,
		KeyFile:    keyFile,
		Pollers:    defaultPollers,
		MaxMembers: defaultMaxMembers,
		keys:       keys,
	}, err
}

// Section sets the defaults and returns the directives of the `peers` block.
func (c *Config) Section() *config.Section {
	c.Pollers = defaultPollers
	c.MaxMembers = defaultMaxMembers
	section := &config.Section{}
	section.Text("listen", &c.Listen, checkAddress, "address at which other proxies reach this one, for TCP and UDP")
	section.Text("advertise", &c.Advertise, checkAddress,
		"address that other proxies use to reach this one, if it differs")
	section.Words("seed", &c.Seeds, checkAddress, "addresses of some proxies; a few that start first are enough")
	section.Text("key-file", &c.KeyFile, nil,
		"file with the fleet's keys of 16, 24 or 32 bytes in base64, one per line; the first one encrypts")
	section.Text("remember", &c.MembersFile, checkDirectory,
		"file on a persistent disk for addresses of other proxies, which are seeds at the next start")
	section.Int("askers", &c.Pollers, 1, 100, "number of proxies in a zone that poll the list service")
	section.Int("fleet", &c.FleetSize, 0, 100_000, "number of proxies in the fleet, for the time over which they "+
		"spread their polls without a peer in view; 0: the number in the platform configuration")
	section.Int("most", &c.MaxMembers, 1, 100_000, "maximum number of other proxies in the view")
	section.Check(func() error {
		if c.Listen == "" || c.KeyFile == "" {
			return errors.New("listen and key-file are required")
		}
		var err error
		c.keys, err = readKeys(c.KeyFile)
		return err
	})
	return section
}

func checkAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().Unmap().Is4() || address.Port() == 0 {
		return fmt.Errorf("expected an IPv4 address with a port, got %.80q", text)
	}
	return nil
}

// checkDirectory returns an error if the directory of a file does not exist.
func checkDirectory(path string) error {
	if info, err := os.Stat(filepath.Dir(path)); err != nil || !info.IsDir() {
		return fmt.Errorf("directory of %.120s does not exist", path)
	}
	return nil
}

// readKeys reads the fleet's keys from a file that is accessible to its owner only.
func readKeys(path string) ([][]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, &KeyFileError{Path: path, Reason: "accessible to other users; run chmod 600"}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var keys [][]byte
	for i, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(line))
		if err != nil || memberlist.ValidateKey(key) != nil {
			return nil, &KeyFileError{Path: path, Line: i + 1, Reason: "expected 16, 24 or 32 bytes in base64"}
		}
		keys = append(keys, key)
	}
	return keys, nil
}
