package emulator

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// maxCached is the largest number of parts of objects that the endpoints of one CachingResponder cache together.
const maxCached = 1 << 16

// CachingResponder returns a responder with which endpoints cache parts of objects for the responder's lifetime. An
// endpoint that misses a part fills it if the request names a source (the field via). The origins have all objects.
func CachingResponder(origins ...string) func(*ReceivedRequest) {
	var mu sync.Mutex
	cached := map[string]bool{}
	return func(request *ReceivedRequest) {
		object := request.Fields["thing"]
		key := request.Endpoint + " " + object + " " + request.Fields["nth"]
		mu.Lock()
		isHit := cached[key] || slices.Contains(origins, request.Endpoint)
		isFilled := !isHit && request.Fields["via"] != ""
		if isFilled && len(cached) < maxCached {
			cached[key] = true
		}
		mu.Unlock()
		nowMillis := time.Now().UnixMilli()
		switch {
		case isHit:
			request.Answer(codeServed, fmt.Sprintf("tag=t1,minted=%d,remark=hit", nowMillis), object)
		case isFilled:
			request.Answer(codeServed, fmt.Sprintf("tag=t1,minted=%d,remark=filled,lag=1", nowMillis), object)
		default:
			request.Answer(codeCacheMiss, "-", "")
		}
	}
}
