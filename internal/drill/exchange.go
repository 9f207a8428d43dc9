package drill

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"sloequay/internal/emulator"
)

const (
	// sourceTimeout is how long an endpoint waits for a source that does not respond.
	sourceTimeout = 300 * time.Millisecond
	// sourceDelay is the latency of a fetch from the origin or a sibling, in addition to the transfer time.
	sourceDelay = 20 * time.Millisecond
)

// The classes of the clients' requests, with the names that emulator.Settings gives them.
const (
	lookupClass = "lookup"
	chargeClass = "charge" // keyed writes
)

// The fields and words of the endpoints' protocol that the emulated endpoints use.
const (
	fieldIdempotencyKey = "replay" // the key of a keyed request
	fieldClass          = "profile"
	fieldObject         = "thing"
	fieldPart           = "nth"
	fieldSource         = "via"
	fieldOptions        = "opts"
	fieldCacheRank      = "tier" // 0 or absent: the object must not be cached
	fieldTimeout        = "max"  // milliseconds
	optionCachedOnly    = "have-only"
	optionBypassParent  = "through" // the source does not cache what it fetches
	wordRequest         = "ASK"
	wordCancel          = "QUIT"
	wordServed          = "ACK"
	wordCacheMiss       = "NOENT"
	wordFailed          = "EIO"
)

// exchange is one attempt at one endpoint.
type exchange struct {
	cluster  *Cluster
	endpoint *endpoint
	received *emulator.ReceivedRequest
	attempt  *Attempt
}

// serve handles an attempt as its endpoint would.
func (c *Cluster) serve(received *emulator.ReceivedRequest) {
	x := &exchange{
		cluster:  c,
		endpoint: c.endpoints[received.Endpoint],
		received: received,
		attempt:  c.recordAttempt(received),
	}
	serviceTime, ok := c.beginWork(x.endpoint, x.cost())
	if !ok {
		return
	}
	defer x.endpoint.finishWork()
	object := received.Fields[fieldObject] + "." + received.Fields[fieldPart]
	switch {
	case x.attempt.Class == chargeClass:
		x.serveCharge(serviceTime)
	case x.endpoint.has(object):
		time.Sleep(serviceTime)
		x.answerServed("remark=hit")
	default:
		x.fill(object, serviceTime)
	}
}

// recordAttempt records an attempt when it arrives.
func (c *Cluster) recordAttempt(received *emulator.ReceivedRequest) *Attempt {
	conn, _ := received.Conn.(*linkedConn)
	attempt := &Attempt{
		ID:         received.ID,
		Key:        received.Fields[fieldIdempotencyKey],
		Class:      received.Fields[fieldClass],
		Endpoint:   received.Endpoint,
		From:       unknownNode,
		ReceivedAt: received.At.Sub(c.startedAt),
		conn:       conn,
	}
	if conn != nil {
		attempt.From = conn.from
	}
	if timeout, err := strconv.ParseInt(received.Fields[fieldTimeout], 10, 64); err == nil {
		attempt.Timeout = time.Duration(timeout) * time.Millisecond
	}
	c.Record.update(func() {
		c.Record.Attempts = append(c.Record.Attempts, attempt)
		c.Record.latest[attemptKey{received.ID, received.Endpoint}] = attempt
	})
	return attempt
}

// recordCancellation records that the proxy canceled an attempt.
func (c *Cluster) recordCancellation(received *emulator.ReceivedRequest) {
	if received.Word != wordCancel {
		return
	}
	at := c.now()
	c.Record.update(func() {
		if attempt := c.Record.latest[attemptKey{received.ID, received.Endpoint}]; attempt != nil {
			attempt.CanceledAt = at
		}
	})
}

// cost returns the cost of an answer, which is the same for all: its transfer time in seconds at flowKBps.
func (x *exchange) cost() float64 { return x.cluster.Plan.SizeKB / flowKBps }

// answer records the answer and sends it.
func (x *exchange) answer(word, fields string) {
	at := x.cluster.now()
	executed := word == wordServed
	x.cluster.Record.update(func() { x.attempt.AnsweredAt, x.attempt.Executed = at, executed })
	body := ""
	if executed {
		body = x.received.Fields[fieldObject]
	}
	x.received.Answer(word, fields, body)
}

// answerServed sends a successful answer with further fields, if any.
func (x *exchange) answerServed(more ...string) {
	fields := append([]string{"tag=t1", fmt.Sprintf("minted=%d", time.Now().UnixMilli())}, more...)
	x.answer(wordServed, strings.Join(fields, ","))
}

// serveCharge executes a keyed request. An endpoint other than the origin answers a cache miss unless the request names
// a source to pass it to.
func (x *exchange) serveCharge(serviceTime time.Duration) {
	time.Sleep(serviceTime)
	if x.endpoint.class != classOrigin && x.received.Fields[fieldSource] == "" {
		x.answer(wordCacheMiss, "-")
		return
	}
	x.cluster.Record.addExecution(x.attempt.Key)
	x.answerServed()
}

// fill answers with an object that the endpoint fetches from the source named in the request.
func (x *exchange) fill(object string, serviceTime time.Duration) {
	source := x.cluster.endpoints[x.received.Fields[fieldSource]]
	if source == nil || source == x.endpoint {
		x.answer(wordCacheMiss, "-")
		return
	}
	if x.isCutFrom(source) {
		time.Sleep(sourceTimeout)
		x.answer(wordFailed, "remark=src_broke")
		return
	}
	remark := "filled"
	switch source.class {
	case classParent:
		fetchTime, finish, ok := x.fetchFromParent(source, object)
		if !ok {
			return
		}
		defer finish()
		serviceTime += fetchTime
	case classOrigin:
		remark = "via_origin"
		serviceTime += sourceDelay
	default:
		serviceTime += sourceDelay
	}
	time.Sleep(serviceTime)
	if tier := x.received.Fields[fieldCacheRank]; tier != "" && tier != "0" {
		x.endpoint.cache(object)
	}
	x.answerServed("remark="+remark, fmt.Sprintf("lag=%d", serviceTime.Milliseconds()))
}

// isCutFrom reports whether the link between the endpoint and a source is cut in either direction.
func (x *exchange) isCutFrom(source *endpoint) bool {
	own, other := endpointNode(x.endpoint.id), endpointNode(source.id)
	to, from := x.cluster.network.faults(own, other), x.cluster.network.faults(other, own)
	return to.cut || from.cut
}

// fetchFromParent adds the fetch to a parent's load; the parent fetches from the origin what it has not cached. If ok
// is false, the attempt has been answered. Otherwise the caller must call finish once it has answered the attempt.
func (x *exchange) fetchFromParent(parent *endpoint, object string) (fetchTime time.Duration, finish func(), ok bool) {
	options := x.received.Fields[fieldOptions]
	isHit := parent.has(object)
	if !isHit && strings.Contains(options, optionCachedOnly) {
		x.answer(wordCacheMiss, "remark=src_lacks")
		return 0, nil, false
	}
	fetchTime, ok = x.cluster.beginWork(parent, x.cost())
	if !ok {
		x.answer(wordFailed, "remark=src_broke")
		return 0, nil, false
	}
	if isHit {
		return fetchTime, parent.finishWork, true
	}
	finish = func() {
		if !strings.Contains(options, optionBypassParent) {
			parent.cache(object)
		}
		parent.finishWork()
	}
	return fetchTime + sourceDelay, finish, true
}
