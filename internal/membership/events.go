package membership

import "time"

// SourceEvent is an event published by a source: the endpoint list watch, Consul's catalogue, or the configuration at
// start. Sources do not know who consumes their events; package proxy applies them.
type SourceEvent interface{ isSourceEvent() }

// ListReceived carries a list of a source's endpoints, complete unless List says otherwise.
type ListReceived struct {
	Source int // index in Config.Sources
	List   List
}

// DeltaReceived carries changes to a source's earlier reports.
type DeltaReceived struct {
	Source    int // index in Config.Sources
	Version   uint64
	Endpoints []Endpoint
}

// SourceStatus says that a source answers though it has nothing new to report, or that it has fallen silent.
type SourceStatus struct {
	Source int // index in Config.Sources
	Silent bool
}

// PurgeReceived invalidates the cached copies of one object, or of an object group, that are older than the purge.
type PurgeReceived struct {
	IsObject bool // true: the purge is of Object; false: of Group
	Object   uint64
	Group    int
	Issued   time.Duration // Unix time, by the clock of the purge's issuer
}

func (ListReceived) isSourceEvent()  {}
func (DeltaReceived) isSourceEvent() {}
func (SourceStatus) isSourceEvent()  {}
func (PurgeReceived) isSourceEvent() {}
