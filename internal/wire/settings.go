package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"bridgehook/control"
)

type classJSON struct {
	Name       string  `json:"name"`
	OnTimeMS   float64 `json:"on-time-ms"`
	Stretch    float64 `json:"aim-stretch"`
	DeadlineMS float64 `json:"deadline-ms"`
	Effect     string  `json:"idempotency"`
	Group      string  `json:"group"`
	WindowMS   float64 `json:"window-ms"`
	Streamed   bool    `json:"streamed"`
	Worth      float64 `json:"worth"`
	Late       float64 `json:"late-value"`
}

type familyJSON struct {
	MaxAge       []float64 `json:"max-age-ms"`
	StaleFor     []float64 `json:"stale-for-ms"`
	ClassParts   []bool    `json:"class-parts"`
	StaleEarns   []float64 `json:"stale-earns"`
	Uncached     []bool    `json:"uncached"`
	Direct       bool      `json:"pass-through-ok"`
	FlowKB       float64   `json:"one-flow-kb-per-s"`
	Merges       bool      `json:"merges-fills"`
	OriginFall   float64   `json:"origin-fall-multiple"`
	OriginOver   float64   `json:"origin-over-for-ms"`
	OriginKind   *int      `json:"master-kind"`
	ColdFrom     float64   `json:"upper-cold-from"`
	ColdMS       float64   `json:"upper-cold-ms"`
	ColdFall     float64   `json:"upper-fall-multiple"`
	ParentKind   *int      `json:"shield-kind"`
	PurgeTakes   float64   `json:"purge-takes-ms"`
	PurgeSlack   float64   `json:"purge-slack-ms"`
	PeersFill    string    `json:"peers-fill"`
	Detail       string    `json:"detail"`
	ZoneInsts    []int     `json:"instances-by-zone"`
	ZoneHub      []int     `json:"zone-hub"`
	ZoneLinkKBps []float64 `json:"link-in-kb-per-s"`
}

type settingsJSON struct {
	Instances int                `json:"n-instances"`
	Classes   []classJSON        `json:"classes"`
	Discovery string             `json:"discovery"`
	Family    familyJSON         `json:"family-info"`
	Kinds     []string           `json:"machine-types"`
	Ordinal   int                `json:"ordinal"`
	Prices    map[string]float64 `json:"prices"`
	PeriodMS  float64            `json:"period-ms"`
	Weights   string             `json:"weights"`
	Zone      int                `json:"zone"`
	Zones     []string           `json:"dcs"`
	Limits    struct {
		Cancelling bool    `json:"cancelling"`
		Attempts   int     `json:"attempts-cap"`
		MaxRetry   float64 `json:"max-retry-after-ms"`
		MayProbe   bool    `json:"may-probe"`
		RetryAfter bool    `json:"retry-after"`
		Second     bool    `json:"second-copies"`
	} `json:"limits"`
	Load struct {
		How   string   `json:"how"`
		Names []string `json:"names"`
	} `json:"load-info"`
	Safety struct {
		AnswerSlack float64 `json:"answer-slack-ms"`
		AskWithin   float64 `json:"ask-within-ms"`
		ColdFrom    float64 `json:"cold-from"`
		ColdMS      float64 `json:"cold-ms"`
		DrainGrace  float64 `json:"drain-grace-ms"`
		Tip         float64 `json:"tip-multiple"`
		OverloadFor float64 `json:"overload-for-ms"`
	} `json:"safety"`
}

var effects = map[string]control.Effect{
	"": control.Safe, "repeatable": control.Safe, "by_key": control.Keyed, "once": control.Unsafe,
}

var groups = map[string]control.Group{
	"": control.GroupAll, "all": control.GroupAll, "zone": control.GroupZone, "cell": control.GroupCell,
}

var reaches = map[string]control.Reach{
	"": control.ReachNone, "off": control.ReachNone, "location": control.ReachZone, "any": control.ReachAny,
}

var details = map[string]control.Detail{
	"": control.DetailOff, "off": control.DetailOff, "hit": control.DetailHit, "all": control.DetailAll,
}

// ms turns milliseconds of the wire into a duration; what no duration can hold becomes the nearest one.
func ms(v float64) time.Duration {
	const most = float64(1 << 62)
	ns := v * float64(time.Millisecond)
	switch {
	case ns != ns:
		return 0
	case ns > most:
		return 1 << 62
	case ns < -most:
		return -(1 << 62)
	}
	return time.Duration(ns)
}

func toMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// at gives element i of list, or the zero value where the list is shorter.
func at[T any](list []T, i int) T {
	var zero T
	if i < len(list) {
		return list[i]
	}
	return zero
}

// index gives the place named by p, or -1 where the key is absent.
func index(p *int) int {
	if p == nil {
		return -1
	}
	return *p
}

// word looks a word of the settings up and names the key when it is unknown.
func word[T any](table map[string]T, key, text string) (T, error) {
	v, ok := table[text]
	if !ok {
		return v, fmt.Errorf("settings: %s: unknown word %q", key, text)
	}
	return v, nil
}

// ParseSettings reads the settings of a HELLO. Unknown keys are passed over.
func ParseSettings(text []byte) (control.Config, error) {
	var s settingsJSON
	if err := json.Unmarshal(text, &s); err != nil {
		return control.Config{}, fmt.Errorf("settings: %w", err)
	}
	f := &s.Family
	siblings, err := word(reaches, "family-info.peers-fill", f.PeersFill)
	if err != nil {
		return control.Config{}, err
	}
	detail, err := word(details, "family-info.detail", f.Detail)
	if err != nil {
		return control.Config{}, err
	}
	cfg := control.Config{
		Ordinal: s.Ordinal, Instances: s.Instances, Zone: s.Zone, ZoneNames: s.Zones, KindNames: s.Kinds,
		Tick: ms(s.PeriodMS), ParentKind: index(f.ParentKind), OriginKind: index(f.OriginKind),
		ZoneInstances: f.ZoneInsts, ZoneHub: f.ZoneHub, ZoneLinkKBps: f.ZoneLinkKBps, FlowKBps: f.FlowKB,
		WeightsTold: s.Weights != "" && s.Weights != "off", WeightsLive: s.Weights == "live",
		Siblings: siblings, Detail: detail, Direct: f.Direct, Joins: f.Merges,
		PurgeGrace: ms(f.PurgeSlack), PurgeTakes: ms(f.PurgeTakes),
		OriginFallMultiple: f.OriginFall, OriginFallFor: ms(f.OriginOver),
		DrainGrace: ms(s.Safety.DrainGrace), AnswerSlack: ms(s.Safety.AnswerSlack),
		ColdFrom: s.Safety.ColdFrom, ColdFor: ms(s.Safety.ColdMS),
		FallMultiple: s.Safety.Tip, FallFor: ms(s.Safety.OverloadFor),
		ParentFrom: f.ColdFrom, ParentFor: ms(f.ColdMS), ParentFall: f.ColdFall,
		MaxAttempts: s.Limits.Attempts, Cancel: s.Limits.Cancelling, SecondCopies: s.Limits.Second,
		Probes: s.Limits.MayProbe, ProbePrice: s.Prices["probe"],
		AskDiscovery: s.Discovery == "on_request", AskWithin: ms(s.Safety.AskWithin),
	}
	if s.Load.How != "" && s.Load.How != "off" {
		cfg.LoadNames = s.Load.Names
	}
	if s.Limits.RetryAfter {
		cfg.MaxRetryAfter = ms(s.Limits.MaxRetry)
	}
	for i, c := range s.Classes {
		effect, err := word(effects, "classes[].idempotency", c.Effect)
		if err != nil {
			return control.Config{}, err
		}
		group, err := word(groups, "classes[].group", c.Group)
		if err != nil {
			return control.Config{}, err
		}
		cfg.Classes = append(cfg.Classes, control.Class{
			Name: c.Name, Aim: ms(c.OnTimeMS), AimStretch: c.Stretch, Deadline: ms(c.DeadlineMS),
			Worth: c.Worth, LateWorth: c.Late, StaleWorth: at(f.StaleEarns, i),
			Effect: effect, Group: group, Window: ms(c.WindowMS), Streamed: c.Streamed,
			Parts: at(f.ClassParts, i), Write: at(f.Uncached, i),
			Fresh: ms(at(f.MaxAge, i)), Grace: ms(at(f.StaleFor, i)),
		})
	}
	return cfg, nil
}
