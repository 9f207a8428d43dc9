// Package platformconfig reads what a doorman is told at its start: the configuration of the platform, and in it the
// settings of the site, which the simulator gives its instances too.
package platformconfig

import (
	"fmt"
	"math"
	"time"

	"github.com/tidwall/gjson"

	"sloequay/internal/policy"
)

// The words of the settings.
var (
	effects = map[string]policy.Idempotency{
		"": policy.Idempotent, "repeatable": policy.Idempotent, "by_key": policy.IdempotentByKey, "once": policy.NotIdempotent,
	}
	groups = map[string]policy.DedupScope{
		"": policy.DedupAll, "all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupCell,
	}
	reaches = map[string]policy.Reach{
		"": policy.ReachNone, "off": policy.ReachNone, "location": policy.ReachZone, "any": policy.ReachAny,
	}
	details = map[string]policy.Detail{
		"": policy.DetailOff, "off": policy.DetailOff, "hit": policy.DetailHit, "all": policy.DetailAll,
	}
)

// MS turns milliseconds into a duration; what no duration can hold becomes the nearest one.
func MS(v float64) time.Duration {
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

// reader takes values out of one JSON object and keeps the first that is of the wrong type, by its key.
type reader struct {
	json  gjson.Result
	where string // of the object, with a dot behind it
	err   error
}

func parse(text []byte, where string) *reader {
	r := &reader{json: gjson.ParseBytes(text), where: where}
	if !gjson.ValidBytes(text) {
		r.err = fmt.Errorf("%s: not valid JSON", where)
	} else if !r.json.IsObject() {
		r.err = fmt.Errorf("%s: not an object", where)
	}
	if where != "" {
		r.where += "."
	}
	return r
}

// get looks key up; an absent or null value is the zero Result and no fault.
func (r *reader) get(key, want string, fits func(gjson.Result) bool) gjson.Result {
	v := r.json.Get(key)
	if !v.Exists() || v.Type == gjson.Null {
		return gjson.Result{}
	}
	if !fits(v) {
		r.fail(key, "expected "+want)
		return gjson.Result{}
	}
	return v
}

func (r *reader) fail(key, what string) {
	if r.err == nil {
		r.err = fmt.Errorf("%s%s: %s", r.where, key, what)
	}
}

func isNumber(v gjson.Result) bool { return v.Type == gjson.Number }

func (r *reader) number(key string) float64 { return r.get(key, "a number", isNumber).Float() }

func (r *reader) ms(key string) time.Duration { return MS(r.number(key)) }

func (r *reader) whole(key string) int { return r.wholeOr(key, 0) }

func (r *reader) wholeOr(key string, absent int) int {
	v := r.get(key, "a whole number", func(v gjson.Result) bool {
		return isNumber(v) && v.Num == math.Trunc(v.Num) && math.Abs(v.Num) < 1<<53
	})
	if !v.Exists() {
		return absent
	}
	return int(v.Num)
}

func (r *reader) text(key string) string {
	return r.get(key, "a text", func(v gjson.Result) bool { return v.Type == gjson.String }).String()
}

func (r *reader) flag(key string) bool {
	return r.get(key, "true or false", gjson.Result.IsBool).Bool()
}

// list reads an array whose elements all satisfy fits.
func list[T any](r *reader, key, want string, fits func(gjson.Result) bool, take func(gjson.Result) T) []T {
	var out []T
	for i, v := range r.get(key, "a list", gjson.Result.IsArray).Array() {
		if !fits(v) {
			r.fail(fmt.Sprintf("%s[%d]", key, i), "expected "+want)
		}
		out = append(out, take(v))
	}
	return out
}

func (r *reader) numbers(key string) []float64 {
	return list(r, key, "a number", isNumber, gjson.Result.Float)
}

func (r *reader) wholes(key string) []int {
	return list(r, key, "a number", isNumber, func(v gjson.Result) int { return int(v.Int()) })
}

func (r *reader) flags(key string) []bool {
	return list(r, key, "true or false", gjson.Result.IsBool, gjson.Result.Bool)
}

func (r *reader) texts(key string) []string {
	return list(r, key, "a text", func(v gjson.Result) bool { return v.Type == gjson.String }, gjson.Result.String)
}

// word looks a text up in a table and names the key when it is unknown.
func word[T any](r *reader, key string, table map[string]T) T {
	text := r.text(key)
	v, ok := table[text]
	if !ok {
		r.fail(key, fmt.Sprintf("unknown word %q", text))
	}
	return v
}

// at gives element i of list, or the zero value where the list is shorter.
func at[T any](list []T, i int) T {
	var zero T
	if i < len(list) {
		return list[i]
	}
	return zero
}

// ParseControl reads the settings of a site for the decision module. Unknown keys are passed over.
func ParseControl(text []byte) (policy.Config, error) {
	r := parse(text, "settings")
	cfg := policy.Config{
		Ordinal: r.whole("ordinal"), Instances: r.whole("n-instances"), Zone: r.whole("zone"),
		ZoneNames: r.texts("dcs"), KindNames: r.texts("machine-types"), Tick: r.ms("period-ms"),
		ParentKind:    r.wholeOr("family-info.shield-kind", -1),
		OriginKind:    r.wholeOr("family-info.master-kind", -1),
		ZoneInstances: r.wholes("family-info.instances-by-zone"), ZoneRegion: r.wholes("family-info.zone-hub"),
		ZoneLinkKBps: r.numbers("family-info.link-in-kb-per-s"),
		FlowKBps:     r.number("family-info.one-flow-kb-per-s"),
		Siblings:     word(r, "family-info.peers-fill", reaches), Detail: word(r, "family-info.detail", details),
		DirectFetch: r.flag("family-info.pass-through-ok"), JoinFills: r.flag("family-info.merges-fills"),
		PurgeGrace: r.ms("family-info.purge-slack-ms"), PurgePropagation: r.ms("family-info.purge-takes-ms"),
		OriginOverloadMultiple: r.number("family-info.origin-fall-multiple"),
		OriginOverloadWindow:   r.ms("family-info.origin-over-for-ms"),
		DrainGrace:             r.ms("safety.drain-grace-ms"), ResponseSlack: r.ms("safety.answer-slack-ms"),
		ColdStartShare: r.number("safety.cold-from"), WarmupTime: r.ms("safety.cold-ms"),
		OverloadMultiple: r.number("safety.tip-multiple"), OverloadWindow: r.ms("safety.overload-for-ms"),
		ParentStartShare: r.number("family-info.upper-cold-from"), ParentWarmupTime: r.ms("family-info.upper-cold-ms"),
		ParentOverloadMultiple: r.number("family-info.upper-fall-multiple"),
		MaxAttempts:            r.whole("limits.attempts-cap"), MayCancel: r.flag("limits.cancelling"),
		Hedging: r.flag("limits.second-copies"), HealthChecks: r.flag("limits.may-probe"),
		HealthCheckCost: r.number("prices.probe"), PollDiscovery: r.text("discovery") == "on_request",
		PollWithin: r.ms("safety.ask-within-ms"),
	}
	weights := r.text("weights")
	cfg.WeightsReported, cfg.WeightsLive = weights != "" && weights != "off", weights == "live"
	if how := r.text("load-info.how"); how != "" && how != "off" {
		cfg.LoadNames = r.texts("load-info.names")
	}
	if r.flag("limits.retry-after") {
		cfg.MaxRetryAfter = r.ms("limits.max-retry-after-ms")
	}
	fresh, grace := r.numbers("family-info.max-age-ms"), r.numbers("family-info.stale-for-ms")
	parts, writes := r.flags("family-info.class-parts"), r.flags("family-info.uncached")
	stale := r.numbers("family-info.stale-earns")
	for i, v := range r.get("classes", "a list", gjson.Result.IsArray).Array() {
		c := parse([]byte(v.Raw), fmt.Sprintf("settings.classes[%d]", i))
		cfg.Classes = append(cfg.Classes, policy.Class{
			Name: c.text("name"), LatencyObjective: c.ms("on-time-ms"), ObjectiveStretch: c.number("aim-stretch"),
			Deadline: c.ms("deadline-ms"), PriorityWeight: c.number("worth"), SlowWeight: c.number("late-value"),
			StaleWeight: at(stale, i), Idempotency: word(c, "idempotency", effects), DedupScope: word(c, "group", groups),
			DedupWindow: c.ms("window-ms"), Streamed: c.flag("streamed"), Parts: at(parts, i), Write: at(writes, i),
			FreshFor: MS(at(fresh, i)), StaleFor: MS(at(grace, i)),
		})
		if r.err == nil {
			r.err = c.err
		}
	}
	return cfg, r.err
}
