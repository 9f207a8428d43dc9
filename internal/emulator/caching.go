package emulator

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// maxCached bounds how many objects the endpoints of CachingResponder cache.
const maxCached = 1 << 16

// CachingResponder is a responder by which endpoints cache what was filled into them, for as long as it is used. The
// origins have everything.
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
		minted := time.Now().UnixMilli()
		switch {
		case isHit:
			request.Answer(wordServed, fmt.Sprintf("tag=t1,minted=%d,remark=hit", minted), object)
		case isFilled:
			request.Answer(wordServed, fmt.Sprintf("tag=t1,minted=%d,remark=filled,lag=1", minted), object)
		default:
			request.Answer(wordLacks, "-", "")
		}
	}
}
