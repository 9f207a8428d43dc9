package drill

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"sloequay/internal/emulator"
)

// maxSeeds is how many proxies serve as seeds through which peers join the fleet.
const maxSeeds = 3

// joinPeers gives each proxy a relay through which its peers reach it, and writes the key that all of them share.
func (c *Cluster) joinPeers() error {
	key := fmt.Sprintf("%016x%016x", c.seed, c.seed+1)
	c.keyFile = filepath.Join(c.Dir, "peers.key")
	text := base64.StdEncoding.EncodeToString([]byte(key)) + "\n"
	if err := os.WriteFile(c.keyFile, []byte(text), 0o600); err != nil {
		return err
	}
	for number, p := range c.proxies {
		var err error
		if p.peerListen, err = freeAddress(p.ip); err != nil {
			return err
		}
		ip := c.hostAddress(firstRelaySubnet, number)
		if p.relay, err = c.network.newRelay(p.name, ip, p.peerListen); err != nil {
			return err
		}
	}
	return nil
}

// peerSeeds returns the addresses through which a peer joins the fleet.
func (c *Cluster) peerSeeds() []string {
	var seeds []string
	for _, p := range c.proxies[:min(maxSeeds, len(c.proxies))] {
		seeds = append(seeds, p.relay.address())
	}
	return seeds
}

// peerSettings returns the peers section of a proxy's settings.
func (p *proxy) peerSettings() string {
	if !p.cluster.Plan.Peers {
		return ""
	}
	return fmt.Sprintf("peers {\nlisten %s\nadvertise %s\nseed %s\nkey-file %s\nremember %s\n}\n", p.peerListen,
		p.relay.address(), strings.Join(p.cluster.peerSeeds(), " "), p.cluster.keyFile, filepath.Join(p.disk, "peers"))
}

// writeSettings writes a proxy's configuration and settings files.
func (p *proxy) writeSettings() error {
	platform, err := p.platformSettings()
	if err != nil {
		return err
	}
	configuration, settings := p.cluster.list.proxySettings()
	configuration["name"] = p.name
	configuration["listen"] = p.listen
	configuration["seed"] = fmt.Sprintf("%x", p.cluster.seed+uint64(p.number))
	configuration["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": p.cluster.Plan.Sockets}
	configuration["settings"] = platform
	text, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	p.settingsWritten++
	settings += fmt.Sprintf("# revision %d\nbind %s\n%s", p.settingsWritten, p.ip, p.peerSettings())
	if p.clockOffset != 0 {
		settings += fmt.Sprintf("clock-ahead %v\n", p.clockOffset)
	}
	replacer := strings.NewReplacer("@{", "{", "@}", "}", "@dir", p.disk, "@ip", p.ip, "@name", p.name,
		"@plaza", zoneName(p.zone))
	for _, line := range p.cluster.Plan.Settings {
		settings += replacer.Replace(line) + "\n"
	}
	return errors.Join(os.WriteFile(filepath.Join(p.dir, configurationFile), text, 0o600),
		os.WriteFile(filepath.Join(p.dir, settingsFile), []byte(settings), 0o600))
}

// platformSettings returns the platform's settings for a proxy: those of the emulator with the plan's zones, deadline
// and slow start.
func (p *proxy) platformSettings() (map[string]any, error) {
	var settings map[string]any
	if err := json.Unmarshal([]byte(emulator.Settings), &settings); err != nil {
		return nil, err
	}
	plan := p.cluster.Plan
	zones := []string{parentZone}
	proxiesByZone := []int{0}
	for zone := range plan.Zones {
		zones = append(zones, zoneName(zone+1))
		proxiesByZone = append(proxiesByZone, (plan.Proxies-zone+plan.Zones-1)/plan.Zones)
	}
	settings["dcs"] = zones
	settings["zone"] = p.zone
	settings["n-instances"] = plan.Proxies
	settings["ordinal"] = p.number
	if plan.Deadline > 0 {
		setDeadlines(settings, plan.Deadline)
	}
	family := settings["family-info"].(map[string]any)
	family["instances-by-zone"] = proxiesByZone
	family["upper-cold-from"] = plan.ColdCapacity
	family["upper-cold-ms"] = plan.WarmUp.Milliseconds()
	family["upper-fall-multiple"] = plan.OverloadFactor
	safety := settings["safety"].(map[string]any)
	safety["cold-from"] = plan.ColdCapacity
	safety["cold-ms"] = plan.WarmUp.Milliseconds()
	safety["tip-multiple"] = plan.OverloadFactor
	safety["overload-for-ms"] = plan.OverloadWindow.Milliseconds()
	return settings, nil
}

// objectiveShare is the longest latency objective that a class may have, as a share of its deadline.
const objectiveShare = 0.4

// setDeadlines sets one deadline for all classes of the platform's settings, and shortens their latency objectives to
// fit.
func setDeadlines(settings map[string]any, deadline time.Duration) {
	milliseconds := float64(deadline.Milliseconds())
	for _, entry := range settings["classes"].([]any) {
		class := entry.(map[string]any)
		class["deadline-ms"] = milliseconds
		class["on-time-ms"] = min(class["on-time-ms"].(float64), objectiveShare*milliseconds)
	}
}

// breakSettings writes a truncated configuration, like that of a file that is being replaced.
func (p *proxy) breakSettings() error {
	return os.WriteFile(filepath.Join(p.dir, configurationFile), []byte(`{"listen":`), 0o600)
}
