package drill

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sloequay/internal/emulator"
	"sloequay/internal/emulator/consul"
)

// Cluster is a drill's ends: processes of doormans, and in this process boxes, the list service and clients.
type Cluster struct {
	Plan    *Plan
	Dir     string // folders of the doormans, with their logs
	Program string
	Record  *Record

	fabric   *Fabric
	began    time.Time
	seed     uint64
	base     string // of all addresses: 127.N
	key      string // file with the fleet's key
	boxes    map[string]*box
	order    []*box
	fleet    *emulator.Endpoints
	list     lister
	doormans []*doorman
	spawn    *spawner
	clients  *clients
	liars    []*byzantinePeer
	ids      atomic.Uint64
}

// lister is the list service.
type lister interface {
	change(b *box)                     // tells what has changed of a box
	fault(kind string, amount float64) // see listFault
	settings(d *doorman, site map[string]any) (config map[string]any, own string)
	stuff(n int, address string) // names so many more boxes, all at one address
	close()
}

// worlds numbers the worlds of this process, so that their addresses differ.
var worlds atomic.Int32

// New builds a world. Nothing runs in it but the stand-ins.
func New(p *Plan, program, dir string, seed uint64) (*Cluster, error) {
	w := &Cluster{Plan: p, Dir: dir, Program: program, seed: seed, Record: &Record{limit: p.Limit, Posted: map[string]int{}, last: map[string]time.Time{}, Sent: map[string][]int{}, out: map[string]*Attempt{}}, boxes: map[string]*box{}}
	w.base = fmt.Sprintf("127.%d", 80+(os.Getpid()*13+int(worlds.Add(1))*29)%150)
	w.began = time.Now()
	w.fabric = NewFabric(seed, func(from, to string) {
		at := w.now()
		w.Record.add(func() { w.Record.Made = append(w.Record.Made, Made{at, from, to}) })
	})
	w.fabric.sent = func(from string, n int) { w.Record.sent(w.now(), from, n) }
	w.fleet = emulator.NewEndpoints(w.serve)
	w.fleet.OnControlLine(w.quit)
	if err := w.build(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// now is the time of the drill.
func (w *Cluster) now() time.Duration { return time.Since(w.began) }

func (w *Cluster) rng(salt uint64) *rand.Rand { return rand.New(rand.NewPCG(w.seed, salt)) }

func (w *Cluster) build() error {
	p := w.Plan
	w.fabric.Join(w.base+".201.1", "list")
	w.fabric.Join(w.base+".202.1", "clients")
	add := func(id, site, class string) error {
		b := &box{id: id, site: site, class: class, state: "up", held: map[string]bool{}}
		address := fmt.Sprintf("%s.101.%d", w.base, len(w.order)+1)
		w.fabric.Join(address, "box:"+id)
		ln, err := w.fabric.Listen("box:"+id, address+":0")
		if err != nil {
			return err
		}
		b.address = ln.Addr().String()
		if p.Cold {
			b.born = time.Now()
		}
		w.boxes[id] = b
		w.order = append(w.order, b)
		go w.fleet.Serve(id, &door{ln, b})
		w.fleet.Register(id, ln)
		return nil
	}
	for z := range p.Plazas {
		for c := range p.Caches {
			if err := add(fmt.Sprintf("c%d-%d", z+1, c+1), fmt.Sprintf("p%d", z+1), "std"); err != nil {
				return err
			}
		}
	}
	for n := range p.Trunks {
		if err := add(fmt.Sprintf("t%d", n+1), "hub", "parent"); err != nil {
			return err
		}
	}
	if err := add("o1", "hub", "origin"); err != nil {
		return err
	}
	var err error
	if p.List == "catalogue" {
		w.list, err = newCatalogue(w)
	} else {
		w.list, err = newBulletin(w)
	}
	if err != nil {
		return err
	}
	w.spawn = newSpawner()
	for n := range p.Proxies {
		d, err := w.newDoorman(n)
		if err != nil {
			return err
		}
		w.doormans = append(w.doormans, d)
	}
	if p.Peers {
		if err := w.meet(); err != nil {
			return err
		}
	}
	w.clients = newClients(w)
	return nil
}

// meet gives each doorman a relay by which the others reach it, and all of them one key.
func (w *Cluster) meet() error {
	key := fmt.Sprintf("%016x%016x", w.seed, w.seed+1)
	w.key = filepath.Join(w.Dir, "peers.key")
	if err := os.WriteFile(w.key, []byte(base64.StdEncoding.EncodeToString([]byte(key))+"\n"), 0o600); err != nil {
		return err
	}
	for n, d := range w.doormans {
		var err error
		if d.peers, err = vacant(d.ip); err != nil {
			return err
		}
		if d.relay, err = w.fabric.NewRelay(d.name, fmt.Sprintf("%s.%d.%d", w.base, 51+n/200, 1+n%200), d.peers); err != nil {
			return err
		}
	}
	return nil
}

// seeds is how many doormans the others ask to be let in.
const seeds = 3

// peersBlock is the settings of a doorman's link to the others.
func (w *Cluster) peersBlock(d *doorman) string {
	if !w.Plan.Peers {
		return ""
	}
	var known []string
	for _, o := range w.doormans[:min(seeds, len(w.doormans))] {
		known = append(known, o.relay.Address())
	}
	return fmt.Sprintf("peers {\nlisten %s\nadvertise %s\nseed %s\nkey-file %s\nremember %s\n}\n", d.peers, d.relay.Address(), strings.Join(known, " "), w.key,
		filepath.Join(d.disk, "peers"))
}

// Close ends all that was started.
func (w *Cluster) Close() {
	if w.clients != nil {
		w.clients.close()
	}
	for _, l := range w.liars {
		l.close()
	}
	for _, d := range w.doormans {
		d.close()
	}
	if w.spawn != nil {
		w.spawn.close()
	}
	if w.list != nil {
		w.list.close()
	}
	w.fleet.Close()
}

// box is one cache, trunk or archive: how it is listed, how much it can do, and what it holds.
type box struct {
	id, site, class, address string

	mu     sync.Mutex
	state  string // as listed: up, draining, removed
	born   time.Time
	down   time.Time // until when it takes nothing
	inside int       // requests that it works on
	spent  []cost
	held   map[string]bool
}

type cost struct {
	at   time.Time
	cost float64 // seconds of one flow
}

// door is a box's listener: while the box is down connections are reset.
type door struct {
	net.Listener
	box *box
}

// Accept gives the next connection that finds the box up.
func (d *door) Accept() (net.Conn, error) {
	for {
		conn, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !d.box.isDown() {
			return conn, nil
		}
		reset(conn)
	}
}

func (b *box) isDown() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.down)
}

// flowKBps is the pace of one answer, as standin.Settings tells it.
const flowKBps = 9500

// load books a cost, and says whether the box falls over by it.
func (b *box) load(p *Plan, c float64) (falls bool) {
	now := time.Now()
	b.spent = append(b.spent, cost{now, c})
	for len(b.spent) > 0 && now.Sub(b.spent[0].at) > p.FallFor {
		b.spent = b.spent[1:]
	}
	if p.Fall <= 0 || b.born.IsZero() || b.class == "origin" || now.Sub(b.born) >= p.ColdFor {
		return false
	}
	grown := p.ColdFrom + (1-p.ColdFrom)*float64(now.Sub(b.born))/float64(p.ColdFor)
	sum := 0.0
	for _, s := range b.spent {
		sum += s.cost
	}
	return sum > p.Fall*grown*p.Share*p.FallFor.Seconds()
}

// die has a box lose its connections and what it holds, and take nothing for a time. It is cold when it is back.
func (w *Cluster) die(b *box, for_ time.Duration) {
	b.mu.Lock()
	b.down = time.Now().Add(for_)
	b.born = b.down
	clear(b.held)
	b.spent = nil
	b.mu.Unlock()
	w.fleet.ResetConnections(b.id)
}

// use has a box do its part of a request, and gives how long that takes; not ok: it is down.
func (w *Cluster) use(b *box, c float64) (took time.Duration, ok bool) {
	b.mu.Lock()
	if time.Now().Before(b.down) {
		b.mu.Unlock()
		return 0, false
	}
	falls := b.load(w.Plan, c)
	b.inside++
	crowd := max(1, float64(b.inside)/w.Plan.Share)
	b.mu.Unlock()
	if falls {
		at := w.now()
		w.Record.add(func() { w.Record.Falls = append(w.Record.Falls, EndpointState{at, b.id}) })
		w.die(b, w.Plan.DownFor)
		return 0, false
	}
	return time.Duration(c * crowd * float64(time.Second)), true
}

func (b *box) leave() {
	b.mu.Lock()
	b.inside--
	b.mu.Unlock()
}

// sourceLimit is how long a box waits for a source that says nothing.
const sourceLimit = 300 * time.Millisecond

// serve is the script of all boxes.
func (w *Cluster) serve(a *emulator.ReceivedRequest) {
	b := w.boxes[a.Endpoint]
	conn, _ := a.Conn.(*linked)
	seen := &Attempt{conn: conn, ID: a.ID, Key: a.Fields["replay"], Class: a.Fields["profile"], Endpoint: a.Endpoint, From: "?", At: a.At.Sub(w.began)}
	if conn != nil {
		seen.From = conn.Source()
	}
	if given, err := strconv.ParseInt(a.Fields["max"], 10, 64); err == nil {
		seen.Given = time.Duration(given) * time.Millisecond
	}
	w.Record.add(func() {
		w.Record.Attempts = append(w.Record.Attempts, seen)
		w.Record.out[a.ID+" "+a.Endpoint] = seen
	})
	answer := func(word, fields string, ran bool) {
		at := w.now()
		w.Record.add(func() { seen.Ended, seen.Ran = at, ran })
		body := ""
		if word == "ACK" {
			body = a.Fields["thing"]
		}
		a.Answer(word, fields, body)
	}
	c := w.Plan.SizeKB / flowKBps
	took, ok := w.use(b, c)
	if !ok {
		return
	}
	defer b.leave()
	object := a.Fields["thing"] + "." + a.Fields["nth"]
	if seen.Class == "charge" {
		time.Sleep(took)
		if b.class != "origin" && a.Fields["via"] == "" {
			answer("NOENT", "-", false)
			return
		}
		w.post(seen.Key)
		answer("ACK", fmt.Sprintf("tag=t1,minted=%d", time.Now().UnixMilli()), true)
		return
	}
	b.mu.Lock()
	has := b.class == "origin" || b.held[object]
	b.mu.Unlock()
	if has {
		time.Sleep(took)
		answer("ACK", fmt.Sprintf("tag=t1,minted=%d,remark=hit", time.Now().UnixMilli()), true)
		return
	}
	via := w.boxes[a.Fields["via"]]
	if via == nil || via == b {
		answer("NOENT", "-", false)
		return
	}
	remark := "filled"
	if way, back := w.fabric.link("box:"+b.id, "box:"+via.id), w.fabric.link("box:"+via.id, "box:"+b.id); way.Cut || back.Cut {
		time.Sleep(sourceLimit)
		answer("EIO", "remark=src_broke", false)
		return
	}
	if via.class == "parent" {
		via.mu.Lock()
		has := via.held[object]
		via.mu.Unlock()
		if !has && strings.Contains(a.Fields["opts"], "have-only") {
			answer("NOENT", "remark=src_lacks", false)
			return
		}
		more, ok := w.use(via, c)
		if !ok {
			answer("EIO", "remark=src_broke", false)
			return
		}
		defer via.leave()
		if took += more; !has {
			took += 20 * time.Millisecond // from the archive
			if !strings.Contains(a.Fields["opts"], "through") {
				defer via.keep(object)
			}
		}
	} else if took += 20 * time.Millisecond; via.class == "origin" {
		remark = "via_origin"
	}
	time.Sleep(took)
	if a.Fields["tier"] != "" && a.Fields["tier"] != "0" {
		b.keep(object)
	}
	answer("ACK", fmt.Sprintf("tag=t1,minted=%d,remark=%s,lag=%d", time.Now().UnixMilli(), remark, took.Milliseconds()), true)
}

// post books a charge in the ledger. Boxes drop repeats within the class's window.
func (w *Cluster) post(key string) {
	const window = 3 * time.Second // of standin.Settings
	now := time.Now()
	w.Record.add(func() {
		if last, known := w.Record.last[key]; !known || now.Sub(last) > window {
			w.Record.Posted[key]++
		}
		w.Record.last[key] = now
	})
}

// heldMost bounds what a box holds.
const heldMost = 1 << 16

func (b *box) keep(object string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.held) < heldMost {
		b.held[object] = true
	}
}

// quit notes an attempt that was given up.
func (w *Cluster) quit(a *emulator.ReceivedRequest) {
	if a.Word != "QUIT" {
		return
	}
	at := w.now()
	w.Record.add(func() {
		if t := w.Record.out[a.ID+" "+a.Endpoint]; t != nil {
			t.Quit = at
		}
	})
}

// mark has the list tell a new state of a box.
func (w *Cluster) mark(b *box, state string) {
	at := w.now()
	b.mu.Lock()
	b.state = state
	b.mu.Unlock()
	w.list.change(b)
	w.Record.add(func() {
		w.Record.Changes = append(w.Record.Changes, at)
		if state == "draining" {
			w.Record.Drains = append(w.Record.Drains, EndpointState{at, b.id})
		} else {
			w.Record.Back = append(w.Record.Back, EndpointState{at, b.id})
		}
	})
}

// catalogue is the list service as a stand-in for Consul.
type catalogue struct {
	w       *Cluster
	cluster *consul.Cluster
	agent   *consul.Agent
	mu      sync.Mutex
	rate    float64
	left    float64
	at      time.Time
}

var services = map[string]string{"std": "cache", "parent": "trunk", "origin": "archive"}

func newCatalogue(w *Cluster) (lister, error) {
	c := &catalogue{w: w, cluster: consul.NewCluster(), rate: w.Plan.ListRate, left: 1}
	for _, b := range w.order {
		c.change(b)
	}
	listen := func(address string) (net.Listener, error) { return w.fabric.Listen("list", address) }
	var err error
	c.agent, err = c.cluster.NewAgentOn("agent", w.base+".201.1:0", listen, func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
			host, _, _ := net.SplitHostPort(in.RemoteAddr)
			at, from := w.now(), w.fabric.who(&net.TCPAddr{IP: net.ParseIP(host)})
			w.Record.add(func() { w.Record.Calls = append(w.Record.Calls, Call{at, from}) })
			if !c.take() {
				http.Error(out, "rate limit exceeded, try again later", http.StatusTooManyRequests)
				return
			}
			next.ServeHTTP(out, in)
		})
	})
	return c, err
}

// take says whether the rate bears one more call.
func (c *catalogue) take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rate <= 0 {
		return true
	}
	now := time.Now()
	c.left = min(max(1, c.rate), c.left+now.Sub(c.at).Seconds()*c.rate)
	if c.at = now; c.left < 1 {
		return false
	}
	c.left--
	return true
}

func (c *catalogue) change(b *box) {
	host, port, _ := net.SplitHostPort(b.address)
	number := 0
	_, _ = fmt.Sscan(port, &number)
	b.mu.Lock()
	state, born := b.state, b.born
	b.mu.Unlock()
	service := services[b.class]
	if state == "removed" {
		c.cluster.Remove(service, b.id)
		return
	}
	meta := map[string]string{"site": b.site, "class": b.class}
	if !born.IsZero() {
		meta["born_ms"] = fmt.Sprint(born.UnixMilli())
	}
	c.cluster.Put(consul.Instance{Node: "node-" + b.id, Service: service, ID: b.id, Address: host, Port: number, Meta: meta,
		Weights: consul.Weights{Passing: int(c.w.Plan.Share), Warning: 1}})
	if state == "draining" {
		c.cluster.Mark(service, b.id, "maintenance")
	}
}

func (c *catalogue) fault(kind string, amount float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch kind {
	case "hang":
		c.agent.SetFault(consul.Hang, 0)
	case "refuse":
		c.agent.SetFault(consul.Refuse, 0)
	case "empty":
		c.agent.SetFault(consul.Empty200, 0)
	case "old":
		c.agent.SetFault(consul.StaleBy, time.Duration(amount*float64(time.Second)))
	case "rate":
		c.rate = amount
	case "well":
		c.rate = c.w.Plan.ListRate
		c.agent.SetFault(consul.None, 0)
	}
}

func (c *catalogue) settings(*doorman, map[string]any) (map[string]any, string) {
	return map[string]any{}, "catalogue {\nagent " + c.agent.Address() + "\nservice cache {\n}\nservice trunk {\n}\nservice archive {\n}\n}\n"
}

func (c *catalogue) stuff(n int, address string) {
	host, port, _ := net.SplitHostPort(address)
	number := 0
	_, _ = fmt.Sscan(port, &number)
	list := make([]consul.Instance, 0, n)
	for i := range n {
		list = append(list, consul.Instance{Node: fmt.Sprint("node-x", i), ID: fmt.Sprint("x", i), Service: "cache", Address: host,
			Port: number, Meta: map[string]string{"site": "p1", "class": "std"}, Weights: consul.Weights{Passing: 1, Warning: 1}})
	}
	for _, in := range c.cluster.Instances("cache") {
		list = append(list, in)
	}
	c.cluster.PutAll("cache", list)
}

func (c *catalogue) close() {
	if c.agent != nil {
		c.agent.Close()
	}
}

// bulletin is the list service as the platform has it: numbered events, one JSON object a line.
type bulletin struct {
	w  *Cluster
	ln net.Listener

	mu     sync.Mutex
	events []string
	conns  map[net.Conn]*int // how many events each was told
	kind   string
	ended  chan struct{}
}

func newBulletin(w *Cluster) (lister, error) {
	b := &bulletin{w: w, conns: map[net.Conn]*int{}, ended: make(chan struct{}), kind: "well"}
	b.events = append(b.events, b.roster(1, true, w.order))
	var err error
	if b.ln, err = w.fabric.Listen("list", w.base+".201.1:0"); err != nil {
		return nil, err
	}
	go b.accept()
	go func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				b.tell(true)
			case <-b.ended:
				return
			}
		}
	}()
	return b, nil
}

func (b *bulletin) entry(x *box) map[string]any {
	x.mu.Lock()
	defer x.mu.Unlock()
	born := int64(0)
	if !x.born.IsZero() {
		born = x.born.UnixMilli()
	}
	return map[string]any{"host": x.id, "dial": x.address, "site": x.site, "class": x.class, "block": 0, "health": x.state,
		"share": b.w.Plan.Share, "born_ms": born}
}

func (b *bulletin) roster(no int, whole bool, boxes []*box) string {
	hosts := make([]map[string]any, 0, len(boxes))
	for _, x := range boxes {
		hosts = append(hosts, b.entry(x))
	}
	text, _ := json.Marshal(map[string]any{"no": no, "roster": map[string]any{"seq": no, "whole": whole, "hosts": hosts}})
	return string(text)
}

func (b *bulletin) accept() {
	for {
		conn, err := b.ln.Accept()
		if err != nil {
			return
		}
		at, from := b.w.now(), conn.(interface{ Source() string }).Source()
		b.w.Record.add(func() { b.w.Record.Calls = append(b.w.Record.Calls, Call{at, from}) })
		go func() {
			var after int
			if _, err := fmt.Fscanf(conn, "after %d\n", &after); err != nil {
				_ = conn.Close()
				return
			}
			b.mu.Lock()
			if b.kind == "refuse" {
				_ = conn.Close()
			} else {
				b.conns[conn] = &after
			}
			b.mu.Unlock()
			b.tell(false)
		}()
	}
}

// tell writes to each connection what it has not been told, and with number the last number alone.
func (b *bulletin) tell(number bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.kind == "hang" {
		return
	}
	for conn, told := range b.conns {
		var text strings.Builder
		for ; *told < len(b.events); *told++ {
			text.WriteString(b.events[*told] + "\n")
		}
		if number {
			fmt.Fprintln(&text, len(b.events))
		}
		if text.Len() == 0 {
			continue
		}
		if _, err := conn.Write([]byte(text.String())); err != nil {
			_ = conn.Close()
			delete(b.conns, conn)
		}
	}
}

func (b *bulletin) add(text func(no int) string) {
	b.mu.Lock()
	b.events = append(b.events, text(len(b.events)+1))
	b.mu.Unlock()
	b.tell(false)
}

func (b *bulletin) change(x *box) {
	b.add(func(no int) string { return b.roster(no, false, []*box{x}) })
}

func (b *bulletin) fault(kind string, _ float64) {
	b.mu.Lock()
	b.kind = kind
	if kind == "refuse" {
		for conn := range b.conns {
			_ = conn.Close()
			delete(b.conns, conn)
		}
	}
	b.mu.Unlock()
	switch kind {
	case "empty":
		b.add(func(no int) string { return b.roster(no, true, nil) })
	case "well":
		b.add(func(no int) string { return b.roster(no, true, b.w.order) })
	}
}

func (b *bulletin) settings(_ *doorman, _ map[string]any) (map[string]any, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]any{"bulletin": b.ln.Addr().String(),
		"known": map[string]any{"no": 1, "items": []json.RawMessage{json.RawMessage(b.events[0])}}}, ""
}

func (b *bulletin) stuff(n int, address string) {
	hosts := make([]map[string]any, 0, n)
	for i := range min(n, 4000) {
		hosts = append(hosts, map[string]any{"host": fmt.Sprint("x", i), "dial": address, "site": "p1", "class": "std", "block": 0,
			"health": "up", "share": 1, "born_ms": 0})
	}
	b.add(func(no int) string {
		text, _ := json.Marshal(map[string]any{"no": no, "roster": map[string]any{"seq": no, "whole": false, "hosts": hosts}})
		return string(text)
	})
}

func (b *bulletin) close() {
	close(b.ended)
	_ = b.ln.Close()
}

// site is the platform's settings for a doorman.
func (w *Cluster) site(d *doorman) (map[string]any, error) {
	var site map[string]any
	if err := json.Unmarshal([]byte(emulator.Settings), &site); err != nil {
		return nil, err
	}
	p := w.Plan
	zones, by := []string{"hub"}, []int{0}
	for z := range p.Plazas {
		zones = append(zones, fmt.Sprintf("p%d", z+1))
		by = append(by, (p.Proxies-z+p.Plazas-1)/p.Plazas)
	}
	site["dcs"], site["zone"], site["n-instances"], site["ordinal"] = zones, d.plaza, p.Proxies, d.n
	family, safety := site["family-info"].(map[string]any), site["safety"].(map[string]any)
	family["instances-by-zone"] = by
	for _, of := range []struct {
		in             map[string]any
		from, ms, fall string
	}{{safety, "cold-from", "cold-ms", "tip-multiple"}, {family, "upper-cold-from", "upper-cold-ms", "upper-fall-multiple"}} {
		of.in[of.from], of.in[of.ms], of.in[of.fall] = p.ColdFrom, p.ColdFor.Milliseconds(), p.Fall
	}
	safety["overload-for-ms"] = p.FallFor.Milliseconds()
	return site, nil
}

// write puts a doorman's files into its folder.
func (w *Cluster) write(d *doorman) error {
	site, err := w.site(d)
	if err != nil {
		return err
	}
	config, own := w.list.settings(d, site)
	config["name"], config["listen"], config["seed"] = d.name, d.listen, fmt.Sprintf("%x", w.seed+uint64(d.n))
	config["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}
	config["settings"] = site
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	own += "bind " + d.ip + "\n" + w.peersBlock(d)
	if d.ahead != 0 {
		own += fmt.Sprintf("clock-ahead %v\n", d.ahead)
	}
	for _, line := range w.Plan.Proxy {
		own += strings.NewReplacer("@{", "{", "@}", "}", "@dir", d.disk, "@ip", d.ip, "@name", d.name, "@plaza", fmt.Sprintf("p%d", d.plaza)).Replace(line) + "\n"
	}
	return errors.Join(os.WriteFile(filepath.Join(d.dir, "config.json"), text, 0o600),
		os.WriteFile(filepath.Join(d.dir, "sloequay.conf"), []byte(own), 0o600))
}
