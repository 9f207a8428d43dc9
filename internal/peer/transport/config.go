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

// Config is the block `peers` of the settings.
type Config struct {
	Listen, Advertise  string // host:port, TCP and UDP; an empty Advertise stands for Listen
	Seeds              []string
	KeyFile            string
	MembersFile        string // for addresses of others; empty: none
	Pollers, FleetSize int    // as bootstrap.Config has them; a FleetSize of 0: the platform's settings have it
	MaxMembers         int
	keys               [][]byte // of KeyFile; the first encrypts
}

// The defaults of a Config.
const (
	defaultPollers    = 3
	defaultMaxMembers = 2000
)

// KeyFileError is returned for a key file that can't be used.
type KeyFileError struct {
	Path   string
	Line   int // 0: all of it
	Reason string
}

// Error names the file, the line and the reason.
func (err *KeyFileError) Error() string {
	if err.Line == 0 {
		return fmt.Sprintf("%s: %s", err.Path, err.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", err.Path, err.Line, err.Reason)
}

// NewConfig returns settings with these values and the defaults.
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

// Section sets the defaults and returns the directives of the block.
func (c *Config) Section() *config.Section {
	c.Pollers = defaultPollers
	c.MaxMembers = defaultMaxMembers
	section := &config.Section{}
	section.Text("listen", &c.Listen, checkAddress, "where other proxies reach this one, by TCP and UDP")
	section.Text("advertise", &c.Advertise, checkAddress, "the same as they see it, where it differs")
	section.Words("seed", &c.Seeds, checkAddress, "addresses of some proxies; a few that start first will do")
	section.Text("key-file", &c.KeyFile, nil,
		"file with the fleet's keys, 16, 24 or 32 bytes in base64, a line each; the first encrypts")
	section.Text("remember", &c.MembersFile, checkFolder,
		"file, on a disk that lasts, of some addresses of others: seeds of the next start")
	section.Int("askers", &c.Pollers, 1, 100, "proxies of a zone that poll the list service")
	section.Int("fleet", &c.FleetSize, 0, 100_000, "proxies that there are, for the time over which they poll "+
		"where no peer is heard; 0: as the platform's settings tell")
	section.Int("most", &c.MaxMembers, 1, 100_000, "other proxies that are remembered")
	section.Check(func() error {
		if c.Listen == "" || c.KeyFile == "" {
			return errors.New("listen and key-file are needed")
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

// checkFolder checks that the folder of a file exists.
func checkFolder(path string) error {
	if info, err := os.Stat(filepath.Dir(path)); err != nil || !info.IsDir() {
		return fmt.Errorf("%.120s is in no folder", path)
	}
	return nil
}

// readKeys reads the fleet's keys from a file that nobody else may read.
func readKeys(path string) ([][]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, &KeyFileError{Path: path, Reason: "others may read it; chmod 600"}
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
