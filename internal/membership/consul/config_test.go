package consul

import "testing"

// TestConfigErrors checks that each error names the position and the directive that is missing or invalid.
func TestConfigErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"service cache {\n}",
			"test:1: catalogue: at least one agent is required"},
		{"agent 127.0.0.1:8500",
			"test:1: catalogue: at least one of service, purges and register is required"},
		{"agent here\nservice cache {\n}",
			`test:2: catalogue.agent: expected host:port, got "here"`},
		{"agent 127.0.0.1:1\nservice a/b {\n}",
			"test:3: catalogue.service: expected the name of one service"},
		{"agent 127.0.0.1:1\nservice a {\n}\nservice a {\n}",
			"test:5: catalogue.service: the service a is named twice"},
		{"agent 127.0.0.1:1\nservice a {\nid host\n}",
			`test:4: catalogue.service.id: expected one of service, node, node/service or meta:KEY, got "host"`},
		{"agent 127.0.0.1:1\nregister {\n}",
			"test:3: catalogue.register: service is missing"},
		{"agent 127.0.0.1:1\nservice a {\n}\ntls {\ncert /nowhere\n}",
			"test:6: catalogue.tls.cert: open /nowhere: no such file or directory"},
	} {
		if _, err := parse(c.text); err == nil || err.Error() != c.want {
			t.Errorf("%q:\n got %v\nwant %s", c.text, err, c.want)
		}
	}
}
