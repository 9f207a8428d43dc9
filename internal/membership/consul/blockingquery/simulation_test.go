package blockingquery

import "time"

const (
	ms    = time.Millisecond
	start = 1_000_000 * time.Second
	rtt   = 2 * ms
)

// faultFunc returns the fault that an agent has at a time, if any.
type faultFunc func(now time.Duration) (fault Fault, isFaulty bool)

func noFault(time.Duration) (Fault, bool) { return 0, false }

func faultBetween(fault Fault, from, to time.Duration) faultFunc {
	return func(now time.Duration) (Fault, bool) { return fault, now >= from && now < to }
}

// fakeAgent is a simulated agent whose faults are given by a function of time.
type fakeAgent struct {
	faultAt   faultFunc
	queriedAt []time.Duration // the times of all queries sent to it
}

// queriesSince returns the number of queries sent to the agent from a time on.
func (a *fakeAgent) queriesSince(from time.Duration) int {
	count := 0
	for _, at := range a.queriedAt {
		if at >= from {
			count++
		}
	}
	return count
}

// simulation runs a watch against fake agents in simulated time. Of the list, it simulates only the version number.
type simulation struct {
	watch               *Watch
	agents              []*fakeAgent
	now                 time.Duration
	version             uint64 // of the current list, which agents respond with
	receivedVersion     uint64 // of the last list that the watch accepted
	receivedAt          time.Duration
	inFlight            map[uint64]*scheduled
	verdicts            []Verdict
	availabilityChanges int
	wasUnavailable      bool
}

// scheduled is a query in flight and the earliest time of its response.
type scheduled struct {
	query      Query
	respondsAt time.Duration
}

// newSimulation returns the simulation of one watch with a number of agents.
func newSimulation(config Config, agents int) *simulation {
	return newSimulations(config, agents, 1)[0]
}

// simulations are several watches that share their agents.
type simulations []*simulation

func newSimulations(config Config, agentCount, watchCount int) simulations {
	config.AgentCount = agentCount
	config = config.WithDefaults()
	if config.ProbeAfter == 0 {
		config.ProbeAfter = time.Second
	}
	var agents []*fakeAgent
	for range agentCount {
		agents = append(agents, &fakeAgent{faultAt: noFault})
	}
	shared := NewSharedAgents(agentCount)
	var all simulations
	for range watchCount {
		all = append(all, &simulation{
			watch:    New(config, shared),
			agents:   agents,
			now:      start,
			version:  10,
			inFlight: map[uint64]*scheduled{},
		})
		config.Seed++
	}
	return all
}

// run runs all simulations in turn until a time.
func (all simulations) run(until time.Duration) {
	for now := all[0].now; now < until; now += ms {
		for _, simulation := range all {
			simulation.run(now + ms)
		}
	}
}

// run advances the simulation to a time in increments of 1 ms and steps the watch whenever a step is due.
func (s *simulation) run(until time.Duration) {
	for ; s.now < until; s.now += ms {
		for serial, query := range s.inFlight {
			s.respond(serial, query)
		}
		if next := s.watch.Next(); next != 0 && next > s.now {
			continue
		}
		for _, action := range s.watch.Step(s.now) {
			if action.Start == nil {
				delete(s.inFlight, action.Cancel)
				continue
			}
			query := *action.Start
			agent := s.agents[query.Agent]
			agent.queriedAt = append(agent.queriedAt, s.now)
			s.inFlight[query.Serial] = &scheduled{query, s.now + rtt}
		}
		if unavailable := s.watch.Unavailable(); unavailable != s.wasUnavailable {
			s.wasUnavailable = unavailable
			s.availabilityChanges++
		}
	}
}

// respond reports the result of a query to the watch, if there is one by now.
func (s *simulation) respond(serial uint64, scheduled *scheduled) {
	query := scheduled.query
	fault, isFaulty := s.agents[query.Agent].faultAt(s.now)
	switch {
	case isFaulty && fault == TimedOut, s.now < scheduled.respondsAt:
	case isFaulty:
		delete(s.inFlight, serial)
		s.watch.QueryFailed(s.now, serial, fault)
	case query.Kind == LivenessProbe:
		delete(s.inFlight, serial)
		s.watch.ProbeSucceeded(s.now, serial)
	case query.Index == 0 || s.version != query.Index || s.now >= scheduled.respondsAt+query.Wait:
		delete(s.inFlight, serial)
		verdict, ok := s.watch.ListReceived(s.now, serial, ResponseMeta{Index: s.version, KnownLeader: true})
		if !ok {
			return
		}
		s.verdicts = append(s.verdicts, verdict)
		if verdict.Disposition == Complete && s.receivedVersion != s.version {
			s.receivedVersion = s.version
			s.receivedAt = s.now
		}
	}
}

// isCurrent reports whether the current list has been received.
func (s *simulation) isCurrent() bool { return s.receivedVersion == s.version }

// change makes a new version of the list.
func (s *simulation) change() { s.version++ }
