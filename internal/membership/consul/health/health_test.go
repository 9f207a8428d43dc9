package health

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sloequay/internal/membership"
)

// instance returns a valid instance after applying change, if it is not nil.
func instance(change func(*Instance)) *Instance {
	instance := &Instance{
		ID: "c1", Node: "n1", Address: "10.0.0.1", Port: 8443, PassingWeight: 4, WarningWeight: 1, CreateIndex: 7,
		Meta: map[string]string{"site": "edge", "class": "std"},
	}
	if change != nil {
		change(instance)
	}
	return instance
}

// checks returns a function that adds checks to an instance. Each is written as id=status.
func checks(all ...string) func(*Instance) {
	return func(in *Instance) {
		for _, c := range all {
			id, status, _ := strings.Cut(c, "=")
			service := "c1"
			if strings.HasPrefix(id, "node") || id == "_node_maintenance" || id == "serfHealth" {
				service = ""
			}
			in.Checks = append(in.Checks, Check{ID: id, ServiceID: service, Status: status})
		}
	}
}

// TestRulesEntry checks the entry or the error that each rule gives for an instance.
func TestRulesEntry(t *testing.T) {
	up := membership.Entry{ID: "c1", Address: "10.0.0.1:8443", Zone: "edge", Kind: "std", State: membership.Up,
		Weight: 4, Incarnation: 7}
	with := func(change func(*membership.Entry)) membership.Entry {
		e := up
		change(&e)
		return e
	}
	state := func(s membership.State) membership.Entry {
		return with(func(e *membership.Entry) { e.State = s })
	}
	for _, c := range []struct {
		name  string
		rules func(*Rules)
		in    func(*Instance)
		want  membership.Entry
		err   string
	}{
		{name: "no checks", want: up},
		{name: "passing", in: checks("a=passing", "serfHealth=passing"), want: up},
		{name: "warning sets the warning weight", in: checks("a=warning"),
			want: with(func(e *membership.Entry) { e.Weight = 1 })},
		{name: "warning may drain", rules: func(r *Rules) { r.Warning = membership.Draining }, in: checks("a=warning"),
			want: with(func(e *membership.Entry) { e.Weight, e.State = 1, membership.Draining })},
		{name: "critical", in: checks("a=passing", "b=critical", "c=warning"),
			want: with(func(e *membership.Entry) { e.Weight, e.State = 1, membership.Gone })},
		{name: "critical node check", in: checks("a=passing", "serfHealth=critical"),
			want: state(membership.Gone)},
		{name: "service maintenance", in: checks("a=critical", "_service_maintenance:c1=critical"),
			want: state(membership.Draining)},
		{name: "node maintenance", in: checks("_node_maintenance=critical"),
			want: state(membership.Draining)},
		{name: "node checks do not count", rules: func(r *Rules) { r.Checks = []string{"service"} },
			in:   checks("serfHealth=critical"),
			want: up},
		{name: "only one check selected", rules: func(r *Rules) { r.Checks = []string{"b"} },
			in:   checks("a=critical", "b=passing"),
			want: up},
		{name: "maintenance always counts", rules: func(r *Rules) { r.Checks = []string{"b"} },
			in:   checks("_node_maintenance=critical"),
			want: state(membership.Draining)},
		{name: "ignored check", rules: func(r *Rules) { r.IgnoredChecks = []string{"a"} },
			in:   checks("a=critical"),
			want: up},
		{name: "unknown status", in: checks("a=fine"), err: `c1: check "a" has the unknown status "fine"`},
		{name: "capacity", in: func(in *Instance) { in.Meta["capacity"] = "12.5" },
			want: with(func(e *membership.Entry) { e.Weight = 12.5 })},
		{name: "invalid capacity", in: func(in *Instance) { in.Meta["capacity"] = "NaN" },
			err: `c1: capacity "NaN"`},
		{name: "start time", in: func(in *Instance) { in.Meta["born_ms"] = "1700" },
			want: with(func(e *membership.Entry) { e.StartedAtMS = 1700 })},
		{name: "invalid start time", in: func(in *Instance) { in.Meta["born_ms"] = "soon" },
			err: `c1: born_ms "soon"`},
		{name: "address of the node", in: func(in *Instance) { in.Address, in.NodeAddress = "", "10.9.9.9" },
			want: with(func(e *membership.Entry) { e.Address = "10.9.9.9:8443" })},
		{name: "IPv6 address", in: func(in *Instance) { in.Address = "::1" },
			want: with(func(e *membership.Entry) { e.Address = "[::1]:8443" })},
		{name: "no port", in: func(in *Instance) { in.Port = 0 }, err: "c1: port 0 is not in the range 1 to 65535"},
		{name: "ID of the node", rules: func(r *Rules) { r.ID = "node" },
			want: with(func(e *membership.Entry) { e.ID = "n1" })},
		{name: "ID of node and service", rules: func(r *Rules) { r.ID = "node/service" },
			want: with(func(e *membership.Entry) { e.ID = "n1/c1" })},
		{name: "ID from the metadata", rules: func(r *Rules) { r.ID = "meta:box" },
			in:   func(in *Instance) { in.Meta["box"] = "b9" },
			want: with(func(e *membership.Entry) { e.ID = "b9" })},
		{name: "zone and kind from the settings", rules: func(r *Rules) { r.Zone, r.Kind = "hub", "parent" },
			want: with(func(e *membership.Entry) { e.Zone, e.Kind = "hub", "parent" })},
	} {
		rules := DefaultRules()
		if c.rules != nil {
			c.rules(&rules)
		}
		got, err := rules.Entry(instance(c.in))
		if c.err != "" {
			if err == nil || !strings.HasPrefix(err.Error(), c.err) {
				t.Errorf("%s: got error %v, want prefix %s", c.name, err, c.err)
			}
			continue
		}
		if diff := cmp.Diff(c.want, got); err != nil || diff != "" {
			t.Errorf("%s: got error %v, entry (-want +got):\n%s", c.name, err, diff)
		}
	}
	for _, form := range []string{"", "meta:", "host"} {
		if ValidateIDForm(form) == nil {
			t.Errorf("ValidateIDForm(%q): got no error, want one", form)
		}
	}
}
