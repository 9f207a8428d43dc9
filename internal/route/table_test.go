package route

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testPlan() Plan {
	return Plan{Pools: []Pool{{Name: "main"}, {Name: "pictures", Selectors: []Selector{{Zones: []int{1}, IDs: []string{"cam-*", "p?"}}, {Kinds: []int{2}}}, Share: 0.4}},
		Services:   map[string]string{"billing": "main", "cameras": "pictures"},
		Rules:      []Rule{{Team: "cams", Service: "cameras"}, {Class: "charge", Service: "billing"}},
		Migrations: []MigrationPlan{{"lanes", "pictures", MigrationConfig{Steps: []float64{0.5, 1}, Hold: time.Second, MinResults: 2}}}}
}

// TestTable: requests by rule and move, boxes by claim, and what is wrong with a plan.
func TestTable(t *testing.T) {
	table, err := NewTable(start, testPlan())
	if err != nil {
		t.Fatal(err)
	}
	if parts := table.Pools(); parts[0].Share != 0.6 || parts[1].Share != 0.4 {
		t.Errorf("parts: %v", parts)
	}
	for _, c := range []struct {
		team, class, service string
		pool                 int
	}{{"cams", "charge", "cameras", 1}, {"x", "charge", "billing", 0}, {"x", "lookup", "", 0}} {
		if got := table.Choose(c.team, c.class, "", 1); got.Service != c.service || got.Pool != c.pool {
			t.Errorf("%s %s: %+v", c.team, c.class, got)
		}
	}
	for _, c := range []struct {
		id         string
		zone, kind int
		main, pics bool
	}{{"cam-1", 1, 0, false, true}, {"cam-1", 0, 0, true, false}, {"p7", 1, 1, false, true}, {"q7", 1, 1, true, false}, {"o", 0, 2, false, true}} {
		if main, pics := table.Contains(0, c.id, c.zone, c.kind), table.Contains(1, c.id, c.zone, c.kind); main != c.main || pics != c.pics {
			t.Errorf("%+v: in main %v, in pictures %v", c, main, pics)
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
		p := testPlan()
		change(&p)
		if _, err := NewTable(start, p); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// TestTableMoves: while a team moves, each object goes to one pool, and those that were moved stay so as the share rises.
func TestTableMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, err := NewTable(start, testPlan())
		if err != nil {
			t.Fatal(err)
		}
		now, moved := start, map[uint64]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			share, _ := table.MigrationStatus("lanes")
			table.Step(now)
			object := uint64(rapid.IntRange(0, 50).Draw(t, "object"))
			c := table.Choose("lanes", "lookup", "", object)
			if again := table.Choose("lanes", "lookup", "", object); again != c {
				t.Fatal("the same request goes elsewhere")
			}
			if after, _ := table.MigrationStatus("lanes"); after < share {
				clear(moved)
			}
			if moved[object] && c.Pool != 1 {
				t.Fatalf("the object %d was moved and came back", object)
			}
			moved[object] = c.Pool == 1
			result := Success
			if rapid.IntRange(0, 19).Draw(t, "luck") == 0 {
				result = Failure
			}
			if table.RecordResult(now, c, result) != "" {
				clear(moved)
			}
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	p := testPlan()
	for i := range 1000 {
		p.Rules = append(p.Rules, Rule{Team: fmt.Sprint("t", i), Class: "lookup", Service: "cameras"})
	}
	table, err := NewTable(start, p)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := range b.N {
		table.Choose("lanes", "lookup", "", uint64(i))
	}
}
