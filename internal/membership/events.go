package membership

import "time"

// SourceEvent is what a source reports: the endpoint list watch, Consul's catalogue, or the start's settings. Sources
// publish these events and know nothing of who takes them; the assembly applies them.
type SourceEvent interface{ isSourceEvent() }

// ListReceived is a list of a source's endpoints, complete unless List says otherwise.
type ListReceived struct {
	Source int // its place in Config.Sources
	List   List
}

// DeltaReceived is changes to what a source has reported before.
type DeltaReceived struct {
	Source    int // its place in Config.Sources
	Version   uint64
	Endpoints []Endpoint
}

// SourceStatus says that a source answers though it has nothing new to report, or that it has fallen silent.
type SourceStatus struct {
	Source int // its place in Config.Sources
	Silent bool
}

// PurgeReceived says that copies from before it are out of date: those of one object or those of a group.
type PurgeReceived struct {
	IsObject bool // Object says which copies; without it Group does
	Object   uint64
	Group    int
	Issued   time.Duration // on the Unix clock of whoever stamped it
}

func (ListReceived) isSourceEvent()  {}
func (DeltaReceived) isSourceEvent() {}
func (SourceStatus) isSourceEvent()  {}
func (PurgeReceived) isSourceEvent() {}
