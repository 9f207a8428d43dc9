package proxy

// reload applies those parts of a new configuration that may change while the proxy runs: the address of the endpoint
// list watch, and the contracts. If reading the files has failed, nothing changes: operators replace files under load,
// and the proxy must survive their mistakes.
func (s *server) reload(next *Plan, err error) {
	if err != nil {
		s.log.Event("reload-failed", "error", err)
		return
	}
	listWatch := s.sources.listWatch
	listWatch.SwitchTo(next.platform.ListAddress)
	if contracts := next.settings.Contracts; s.quotas != nil && contracts != nil {
		s.quotas.ReplaceContracts(s.clock.Monotonic(), contracts.Root.Share(contracts.Instances))
		s.limitRetries(contracts)
		s.log.Event("contracts-reloaded", "version", s.quotas.Version, "teams", len(contracts.Root.Children),
			"open", s.quotas.InFlight())
	}
	s.log.Event("reloaded", "list-watch", next.platform.ListAddress, "after", listWatch.LastEvent)
	s.loop.RequestRound()
}
