package platformconfig

import (
	"fmt"

	"sloequay/internal/policy"
)

// The values that the platform's settings accept, where "" stands for an absent setting.
var (
	idempotencyValues = map[string]policy.Idempotency{
		"":           policy.Idempotent,
		"repeatable": policy.Idempotent,
		"by_key":     policy.IdempotentByKey,
		"once":       policy.NotIdempotent,
	}
	dedupScopeValues = map[string]policy.DedupScope{
		"":     policy.DedupAll,
		"all":  policy.DedupAll,
		"zone": policy.DedupZone,
		"cell": policy.DedupCell,
	}
	siblingScopeValues = map[string]policy.SiblingScope{
		"":         policy.SiblingsNone,
		"off":      policy.SiblingsNone,
		"location": policy.SiblingsZone,
		"any":      policy.SiblingsAny,
	}
	detailValues = map[string]struct{}{"": {}, "off": {}, "hit": {}, "all": {}}
)

// ParsePolicy parses the site settings, a JSON object, into the configuration of the policy. Unknown keys are ignored.
//
// Settings that no decision depends on are read too, so that their faults are reported like those of the others. The
// calls for them discard the result.
func ParsePolicy(text []byte) (policy.Config, error) {
	settings := parseObject(text, "settings")
	config := policy.Config{}
	readFleet(settings, &config)
	readCaching(settings, &config)
	readWarmup(settings, &config)
	readLimits(settings, &config)
	readReports(settings, &config)
	config.Classes = readClasses(settings)
	return config, settings.err
}

// readFleet reads the number of proxies, the position of this proxy among them, and the names of zones and kinds.
func readFleet(settings *reader, config *policy.Config) {
	config.Ordinal = settings.integer("ordinal")
	config.Instances = settings.integer("n-instances")
	config.Zone = settings.integer("zone")
	config.ZoneNames = settings.texts("dcs")
	config.KindNames = settings.texts("machine-types")
	settings.number("period-ms")
}

// readCaching reads the settings of caches, parents and the origin: their kinds, fills and purges.
func readCaching(settings *reader, config *policy.Config) {
	config.ParentKind = settings.integerOr("family-info.shield-kind", -1)
	config.OriginKind = settings.integerOr("family-info.master-kind", -1)
	config.ZoneInstances = settings.integers("family-info.instances-by-zone")
	settings.integers("family-info.zone-hub")
	settings.numbers("family-info.link-in-kb-per-s")
	config.FlowKBps = settings.number("family-info.one-flow-kb-per-s")
	config.Siblings = enum(settings, "family-info.peers-fill", siblingScopeValues)
	enum(settings, "family-info.detail", detailValues)
	config.DirectFetch = settings.flag("family-info.pass-through-ok")
	config.JoinFills = settings.flag("family-info.merges-fills")
	settings.number("family-info.purge-slack-ms")
	config.PurgePropagation = settings.milliseconds("family-info.purge-takes-ms")
	settings.number("family-info.origin-fall-multiple")
	settings.number("family-info.origin-over-for-ms")
}

// readWarmup reads the warm-up after a start and the overload thresholds of caches and parents.
func readWarmup(settings *reader, config *policy.Config) {
	settings.number("safety.drain-grace-ms")
	settings.number("safety.answer-slack-ms")
	config.ColdStartShare = settings.number("safety.cold-from")
	config.WarmupTime = settings.milliseconds("safety.cold-ms")
	config.OverloadMultiple = settings.number("safety.tip-multiple")
	config.OverloadWindow = settings.milliseconds("safety.overload-for-ms")
	config.ParentStartShare = settings.number("family-info.upper-cold-from")
	config.ParentWarmupTime = settings.milliseconds("family-info.upper-cold-ms")
	config.ParentOverloadMultiple = settings.number("family-info.upper-fall-multiple")
}

// readLimits reads which actions the proxy may take, how many attempts a request may have, and how endpoints are
// discovered.
func readLimits(settings *reader, config *policy.Config) {
	config.MaxAttempts = settings.integer("limits.attempts-cap")
	config.MayCancel = settings.flag("limits.cancelling")
	config.Hedging = settings.flag("limits.second-copies")
	config.HealthChecks = settings.flag("limits.may-probe")
	settings.number("prices.probe")
	config.PollDiscovery = settings.text("discovery") == "on_request"
	settings.number("safety.ask-within-ms")
}

// readReports reads which weights and loads endpoints report, and the longest Retry-After for clients.
func readReports(settings *reader, config *policy.Config) {
	weights := settings.text("weights")
	config.WeightsReported = weights != "" && weights != "off"
	config.WeightsLive = weights == "live"
	if loadReports := settings.text("load-info.how"); loadReports != "" && loadReports != "off" {
		settings.texts("load-info.names")
	}
	if settings.flag("limits.retry-after") {
		config.MaxRetryAfter = settings.milliseconds("limits.max-retry-after-ms")
	}
}

// readClasses reads the classes of requests. Their settings for cached copies are in separate lists, indexed by class.
func readClasses(settings *reader) []policy.Class {
	freshFor := settings.numbers("family-info.max-age-ms")
	staleFor := settings.numbers("family-info.stale-for-ms")
	settings.flags("family-info.class-parts")
	writes := settings.flags("family-info.uncached")
	settings.numbers("family-info.stale-earns")
	var classes []policy.Class
	for i, object := range settings.array("classes") {
		class, err := readClass([]byte(object.Raw), fmt.Sprintf("settings.classes[%d]", i))
		class.Write = elementOrZero(writes, i)
		class.FreshFor = Milliseconds(elementOrZero(freshFor, i))
		class.StaleFor = Milliseconds(elementOrZero(staleFor, i))
		classes = append(classes, class)
		if settings.err == nil {
			settings.err = err
		}
	}
	return classes
}

func readClass(text []byte, path string) (policy.Class, error) {
	settings := parseObject(text, path)
	class := policy.Class{}
	class.Name = settings.text("name")
	class.LatencyObjective = settings.milliseconds("on-time-ms")
	class.ObjectiveStretch = settings.number("aim-stretch")
	class.Deadline = settings.milliseconds("deadline-ms")
	class.PriorityWeight = settings.number("worth")
	settings.number("late-value")
	class.Idempotency = enum(settings, "idempotency", idempotencyValues)
	class.DedupScope = enum(settings, "group", dedupScopeValues)
	class.DedupWindow = settings.milliseconds("window-ms")
	settings.flag("streamed")
	return class, settings.err
}
