package test

import (
	"path/filepath"
	"regexp"
	"testing"
)

// shippedSettings returns the text of deploy/sloequay.conf.
func shippedSettings(t *testing.T) string {
	t.Helper()
	return readFile(t, "../deploy/sloequay.conf")
}

// exampleSettings returns the shipped settings with all commented-out examples enabled.
func exampleSettings(t *testing.T) string {
	t.Helper()
	text := regexp.MustCompile(`(?m)^#([^ \n])`).ReplaceAllString(shippedSettings(t), "$1")
	return regexp.MustCompile(`(?m)^#(    +[a-z}])`).ReplaceAllString(text, "$1")
}

// makeSettingsDir creates a directory with all files that the examples in the shipped settings refer to.
func makeSettingsDir(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	mustRunProgram(t, "key", "new", "--dir", filepath.Join(dir, "keys"))
	authority := newAuthority(t)
	cert, key := makeCertificateFiles(t, authority, "proxy", "proxy.test")
	sources := map[string]string{"boxes-ca.pem": authority.CertFile, "doorman.pem": cert, "doorman.key": key}
	for name, source := range sources {
		writeFile(t, filepath.Join(dir, name), readFile(t, source))
	}
	writeFile(t, filepath.Join(dir, "peers.key"), "MDEyMzQ1Njc4OWFiY2RlZg==\n")
	return dir
}
