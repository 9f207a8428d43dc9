package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testPlan() Plan {
	pictures := []Selector{{Zones: []int{1}, IDs: []string{"cam-*", "p?"}}, {Kinds: []int{2}}}
	migration := MigrationConfig{Steps: []float64{0.5, 1}, Hold: time.Second, MinResults: 2}
	return Plan{
		Pools:      []Pool{{Name: "main"}, {Name: "pictures", Selectors: pictures, Share: 0.4}},
		Services:   map[string]string{"billing": "main", "cameras": "pictures"},
		Rules:      []Rule{{Team: "cams", Service: "cameras"}, {Class: "charge", Service: "billing"}},
		Migrations: []MigrationPlan{{"lanes", "pictures", migration}},
	}
}

// TestTable checks the services and pools of requests, the pools of endpoints, and the errors of invalid plans.
func TestTable(t *testing.T) {
	table, err := NewTable(start, testPlan())
	if err != nil {
		t.Fatal(err)
	}
	if pools := table.Pools(); pools[0].Share != 0.6 || pools[1].Share != 0.4 {
		t.Errorf("shares of the pools: got %v, want 0.6 and 0.4", pools)
	}
	for _, test := range []struct {
		team, class, service string
		pool                 int
	}{{"cams", "charge", "cameras", 1}, {"x", "charge", "billing", 0}, {"x", "lookup", "", 0}} {
		got := table.Choose(test.team, test.class, "", 1)
		if got.Service != test.service || got.Pool != test.pool {
			t.Errorf("choice for team %s, class %s: got %+v, want another", test.team, test.class, got)
		}
	}
	for _, test := range []struct {
		id         string
		zone, kind int
		inMain     bool
		inPictures bool
	}{
		{"cam-1", 1, 0, false, true}, {"cam-1", 0, 0, true, false}, {"p7", 1, 1, false, true},
		{"q7", 1, 1, true, false}, {"o", 0, 2, false, true},
	} {
		inMain := table.Contains(0, test.id, test.zone, test.kind)
		inPictures := table.Contains(1, test.id, test.zone, test.kind)
		if inMain != test.inMain || inPictures != test.inPictures {
			t.Errorf("endpoint %+v: got in main %v, in pictures %v", test, inMain, inPictures)
		}
	}
	for want, change := range map[string]func(*Plan){
		"no pool":                  func(p *Plan) { p.Pools = nil },
		"named twice":              func(p *Plan) { p.Pools[1].Name = "main" },
		"nothing is left":          func(p *Plan) { p.Pools[1].Share = 1 },
		"there is no pool nowhere": func(p *Plan) { p.Services["x"] = "nowhere" },
		"syntax error in pattern":  func(p *Plan) { p.Pools[1].Selectors[0].IDs[0] = "[" },
		"moved twice":              func(p *Plan) { p.Migrations = append(p.Migrations, p.Migrations[0]) },
		"steps must rise":          func(p *Plan) { p.Migrations[0].Config.Steps = []float64{0.5, 0.4, 1} },
		"rule 1: no service":       func(p *Plan) { p.Rules[0].Service = "" },
	} {
		plan := testPlan()
		change(&plan)
		if _, err := NewTable(start, plan); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error of the plan: want %s, got %v", want, err)
		}
	}
}

// TestTableMigrations checks that each object of a migrating team goes to one pool, and that migrated objects remain in
// the new pool while the share rises.
func TestTableMigrations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, err := NewTable(start, testPlan())
		if err != nil {
			t.Fatal(err)
		}
		now, migrated := start, map[uint64]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			share, _ := table.MigrationStatus("lanes")
			table.Step(now)
			object := uint64(rapid.IntRange(0, 50).Draw(t, "object"))
			choice := table.Choose("lanes", "lookup", "", object)
			if again := table.Choose("lanes", "lookup", "", object); again != choice {
				t.Fatal("choice for the same request: got another destination, want the same")
			}
			if after, _ := table.MigrationStatus("lanes"); after < share {
				clear(migrated)
			}
			if migrated[object] && choice.Pool != 1 {
				t.Fatalf("migrated object %d: got the old pool, want the new one", object)
			}
			migrated[object] = choice.Pool == 1
			result := Success
			if rapid.IntRange(0, 19).Draw(t, "failed if 0") == 0 {
				result = Failure
			}
			if table.RecordResult(now, choice, result) != "" {
				clear(migrated)
			}
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	plan := testPlan()
	for i := range 1000 {
		plan.Rules = append(plan.Rules, Rule{Team: fmt.Sprint("t", i), Class: "lookup", Service: "cameras"})
	}
	table, err := NewTable(start, plan)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := range b.N {
		table.Choose("lanes", "lookup", "", uint64(i))
	}
}
