// Package drill is the rig for drills: it starts many processes of the built program, each with an address and a folder of
// its own, stand-ins for all that they talk to, and open-loop clients; it puts faults between them by a plan, and audits
// what all ends saw. Everything runs on loopback, bounded in count and time, and all that is started is ended.
package drill

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"sloequay/internal/config"
)

// Plan is a drill: a world, a time line of faults, and what must hold. It is written in the line-based form of our settings.
type Plan struct {
	File string

	Proxies  int // unless the command says otherwise
	Plazas   int // sites of caches; doormans are spread over them evenly
	Caches   int // a plaza
	Trunks   int
	Share    float64 // weight of each box, in flows of answers
	Lasts    time.Duration
	Rate     float64 // requests a second to each doorman
	Objects  int
	SizeKB   float64
	Leaves   float64 // share of requests whose clients leave
	Charges  float64 // share of requests that are keyed
	Limit    time.Duration
	List     string // bulletin or catalogue
	ListRate float64
	Spread   time.Duration // doormans are started over this time
	Peers    bool
	Cold     bool // boxes have just started when the drill begins
	ColdFrom float64
	ColdFor  time.Duration
	Fall     float64 // multiple of what a box can do now, in a window of FallFor, at which it falls over
	FallFor  time.Duration
	DownFor  time.Duration

	Environment []string // of each process, beside this one's; not in a plan's text
	Proxy       []string // further lines of each doorman's settings
	Steps       []Step
	Invariants  []Invariant
	Text        string // of a drawn plan, so that it can be saved
}

// Step is one thing that is done at a time.
type Step struct {
	At    time.Duration
	Do    string
	Words []string
	For   time.Duration // then it is taken back; 0: it stays
	Line  string        // as written
}

// Invariant is one thing that must hold.
type Invariant struct {
	Check    string
	Words    []string
	From, To time.Duration // of the drill; To 0: to its end
	Line     string
}

// acts are what can be done, with the number of words that each takes.
var acts = map[string]struct {
	least, most int
	help        string
}{
	"start":        {1, 2, "WHO [with-disk|without-disk|old-disk]"},
	"kill":         {1, 1, "WHO: SIGKILL"},
	"term":         {1, 1, "WHO: SIGTERM"},
	"stop":         {1, 1, "WHO: SIGSTOP; SIGCONT when it is over"},
	"hup":          {1, 1, "WHO: SIGHUP"},
	"clock":        {2, 2, "WHO TIME: what its Unix clock is ahead, from its next start on"},
	"roll":         {2, 3, "WHO GAP [TIMES]: kill and start again each in turn"},
	"keep-disk":    {1, 1, "WHO: remember the disk, for old-disk"},
	"cut":          {2, 3, "WHO WHO [one-way]"},
	"refuse":       {2, 2, "WHO WHO"},
	"reset":        {2, 2, "WHO WHO"},
	"delay":        {3, 4, "WHO WHO TIME [JITTER]"},
	"lose":         {3, 3, "WHO WHO SHARE"},
	"double":       {3, 3, "WHO WHO SHARE: of datagrams"},
	"reorder":      {3, 3, "WHO WHO SHARE: of datagrams"},
	"slow":         {3, 3, "WHO WHO BYTES/s"},
	"list":         {1, 2, "hang, refuse, empty, old TIME, rate N/s or well"},
	"drain":        {1, 1, "BOX"},
	"up":           {1, 1, "BOX"},
	"die":          {1, 1, "BOX: it is back, cold, when that is over"},
	"liar":         {2, 2, "PLAZA empty, dead or many: a member of the fleet that tells such a list"},
	"same-address": {1, 1, "N: the list names so many ids that share one address"},
}

// checks are what can be held, with the number of words that each takes.
var checks = map[string]struct {
	least, most int
	help        string
}{
	"answers":         {0, 0, "each request has exactly one final answer, unless its doorman was killed or stopped"},
	"repeats":         {0, 0, "never two attempts of a request out together, none after its end, no more than the class allows"},
	"ledger":          {0, 0, "each charge that was answered as posted is posted, and none is twice"},
	"drains":          {1, 1, "TIME after a drain is told, nothing new goes to that box"},
	"left":            {1, 1, "no attempt begins longer than TIME after its client has left"},
	"deadlines":       {1, 1, "no box is given more time than the client has left and TIME"},
	"monitors":        {0, 0, "no doorman has found one of its own invariants violated"},
	"upright":         {0, 0, "no box fell over"},
	"served":          {1, 1, "SHARE of the requests, at least"},
	"ready":           {1, 2, "TIME [SHARE]: so many of the doormans' starts are ready within it; all without SHARE"},
	"alive":           {0, 0, "no doorman ended by itself"},
	"list-calls":      {1, 1, "N calls to the list service at most"},
	"list-peak":       {1, 1, "N calls to the list service in any second at most"},
	"peer-bytes":      {1, 1, "N bytes a second that any one doorman sends to others, at most, as the mean of the time"},
	"box-connections": {1, 1, "N new connections to any one box in any second at most"},
}

// section binds the directives.
func (p *Plan) section() *config.Section {
	s := &config.Section{}
	s.Int("doormans", &p.Proxies, 1, 1000, "processes of the program")
	s.Int("plazas", &p.Plazas, 1, 16, "sites of caches")
	s.Int("caches", &p.Caches, 1, 64, "of each plaza")
	s.Int("trunks", &p.Trunks, 0, 16, "at the hub")
	s.Number("share", &p.Share, 1, 1000, "weight of a box: answers at full pace together")
	s.Duration("lasts", &p.Lasts, time.Second, time.Hour, "the drill")
	s.Rate("rate", &p.Rate, 0.1, 1000, "requests to each doorman")
	s.Int("objects", &p.Objects, 1, 1_000_000, "that are asked for")
	s.Number("size", &p.SizeKB, 0.1, 2000, "KB of each")
	s.Number("charges", &p.Charges, 0, 1, "share of requests that are keyed writes")
	s.Number("leaves", &p.Leaves, 0, 1, "share of requests whose clients leave within 0.12 s")
	s.Duration("limit", &p.Limit, 50*time.Millisecond, time.Minute, "that a client waits")
	s.Choice("list", &p.List, []string{"bulletin", "catalogue"}, "the list service")
	s.Rate("list-rate", &p.ListRate, 0, 1e6, "calls that it answers; 0/s: any number")
	s.Duration("spread", &p.Spread, 0, time.Minute, "over which `start` starts doormans")
	s.Flag("peers", &p.Peers, "doormans know of each other")
	s.Flag("cold", &p.Cold, "boxes have just started")
	s.Number("cold-from", &p.ColdFrom, 0.01, 1, "of its capacity that a cold box has")
	s.Duration("cold-for", &p.ColdFor, 0, time.Minute, "until it has all of it")
	s.Number("fall", &p.Fall, 0, 100, "multiple of its capacity at which a box falls over; 0: never")
	s.Duration("fall-for", &p.FallFor, 100*time.Millisecond, time.Minute, "window for that")
	s.Duration("down-for", &p.DownFor, 100*time.Millisecond, time.Minute, "that a box stays down then")
	s.Each("doorman", func(words []string) error {
		p.Proxy = append(p.Proxy, strings.Join(words, " "))
		return nil
	}, "a line of each doorman's settings; @dir, @ip, @name and @plaza stand for its own, @{ and @} for braces")
	s.Each("at", func(words []string) error {
		a, err := parseAct(words)
		p.Steps = append(p.Steps, a)
		return err
	}, "TIME DEED ... [for TIME]")
	s.Each("hold", func(words []string) error {
		h, err := parseHold(words)
		p.Invariants = append(p.Invariants, h)
		return err
	}, "CHECK ... [from TIME] [to TIME]")
	s.Check(func() error {
		if len(p.Invariants) == 0 {
			return errors.New("nothing has to hold: a drill without `hold` shows nothing")
		}
		for _, a := range p.Steps {
			if a.Do == "liar" && !p.Peers {
				return fmt.Errorf("at %s: there are no peers to lie to", a.Line)
			}
			if a.At > p.Lasts {
				return fmt.Errorf("at %s: beyond the drill's %v", a.Line, p.Lasts)
			}
		}
		return nil
	})
	return s
}

// NewPlan has the values that hold without a line.
func NewPlan() *Plan {
	return &Plan{Proxies: 8, Plazas: 2, Caches: 3, Trunks: 2, Share: 8, Lasts: 15 * time.Second, Rate: 20, Objects: 300, SizeKB: 40,
		Limit: 2 * time.Second, List: "bulletin", ColdFrom: 0.2, ColdFor: 6 * time.Second, Fall: 2, FallFor: time.Second, DownFor: 4 * time.Second}
}

// Load reads a plan. What is wrong is told with file, line and key.
func Load(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads a plan's text.
func Parse(name string, text []byte) (*Plan, error) {
	p := NewPlan()
	p.File = name
	if err := p.section().Parse(name, text); err != nil {
		return nil, err
	}
	return p, nil
}

func parseAct(words []string) (a Step, err error) {
	a.Line = strings.Join(words, " ")
	if len(words) < 2 {
		return a, errors.New("expected a time and a deed")
	}
	if a.At, err = time.ParseDuration(words[0]); err != nil || a.At < 0 {
		return a, fmt.Errorf("expected a time such as 5s, got %.40q", words[0])
	}
	a.Do, a.Words = words[1], words[2:]
	if n := len(a.Words); n >= 2 && a.Words[n-2] == "for" {
		if a.For, err = time.ParseDuration(a.Words[n-1]); err != nil || a.For <= 0 {
			return a, fmt.Errorf("expected a time behind `for`, got %.40q", a.Words[n-1])
		}
		a.Words = a.Words[:n-2]
	}
	known, ok := acts[a.Do]
	if !ok {
		return a, fmt.Errorf("unknown deed %.40q; there are %s", a.Do, names(acts))
	}
	if len(a.Words) < known.least || len(a.Words) > known.most {
		return a, fmt.Errorf("%s takes %s", a.Do, known.help)
	}
	switch a.Do {
	case "cut", "refuse", "reset", "delay", "lose", "double", "reorder", "slow":
		if _, err := linkOf(a); err != nil {
			return a, err
		}
	case "start":
		if len(a.Words) > 1 && !strings.Contains(" with-disk without-disk old-disk ", " "+a.Words[1]+" ") {
			return a, fmt.Errorf("start takes %s", known.help)
		}
	case "clock":
		if _, err := time.ParseDuration(a.Words[1]); err != nil {
			return a, fmt.Errorf("expected a time, got %.40q", a.Words[1])
		}
	case "roll":
		if gap, err := time.ParseDuration(a.Words[1]); err != nil || gap <= 0 {
			return a, fmt.Errorf("expected a time, got %.40q", a.Words[1])
		}
		if len(a.Words) > 2 {
			if n, err := strconv.Atoi(a.Words[2]); err != nil || n < 1 || n > 10 {
				return a, fmt.Errorf("expected a number of 1 to 10, got %.40q", a.Words[2])
			}
		}
	case "list":
		if _, _, err := listFault(a.Words); err != nil {
			return a, err
		}
	case "liar":
		if n, err := strconv.Atoi(a.Words[0]); err != nil || n < 1 || lies[a.Words[1]] == nil {
			return a, fmt.Errorf("liar takes %s", known.help)
		}
	case "same-address":
		if n, err := strconv.Atoi(a.Words[0]); err != nil || n < 1 || n > 20000 {
			return a, fmt.Errorf("expected a number of 1 to 20000, got %.40q", a.Words[0])
		}
	}
	return a, nil
}

// linkOf gives the link that a deed makes.
func linkOf(a Step) (l Link, err error) {
	bad := func(want string, word string) error {
		return fmt.Errorf("%s: expected %s, got %.40q", a.Do, want, word)
	}
	share := func() (v float64) {
		if v, err = strconv.ParseFloat(a.Words[2], 64); err != nil || !(v >= 0 && v <= 1) {
			err = bad("a share of 0 to 1", a.Words[2])
		}
		return v
	}
	switch a.Do {
	case "cut":
		l.Cut = true
		if len(a.Words) > 2 && a.Words[2] != "one-way" {
			err = bad("one-way", a.Words[2])
		}
	case "refuse":
		l.Refuse = true
	case "delay":
		if l.Delay, err = time.ParseDuration(a.Words[2]); err != nil || l.Delay < 0 {
			return l, bad("a time", a.Words[2])
		}
		if len(a.Words) > 3 {
			if l.Jitter, err = time.ParseDuration(a.Words[3]); err != nil || l.Jitter < 0 {
				return l, bad("a time", a.Words[3])
			}
		}
	case "lose":
		l.Loss = share()
	case "double":
		l.Twice = share()
	case "reorder":
		l.Swap = share()
	case "slow":
		number, _ := strings.CutSuffix(a.Words[2], "/s")
		if l.Pace, err = strconv.ParseFloat(number, 64); err != nil || l.Pace < 100 {
			return l, bad("bytes a second, 100/s or more", a.Words[2])
		}
	}
	return l, err
}

// listFault reads how the list service is to fail.
func listFault(words []string) (kind string, amount float64, err error) {
	kind = words[0]
	switch {
	case len(words) == 1 && strings.Contains(" hang refuse empty well ", " "+kind+" "):
		return kind, 0, nil
	case len(words) == 2 && kind == "old":
		d, err := time.ParseDuration(words[1])
		return kind, d.Seconds(), err
	case len(words) == 2 && kind == "rate":
		number, _ := strings.CutSuffix(words[1], "/s")
		amount, err = strconv.ParseFloat(number, 64)
		return kind, amount, err
	}
	return kind, 0, fmt.Errorf("list takes %s", acts["list"].help)
}

func parseHold(words []string) (h Invariant, err error) {
	h.Line = strings.Join(words, " ")
	if len(words) == 0 {
		return h, errors.New("expected a check")
	}
	h.Check, h.Words = words[0], words[1:]
	for n := len(h.Words); n >= 2 && (h.Words[n-2] == "from" || h.Words[n-2] == "to"); n = len(h.Words) {
		d, err := time.ParseDuration(h.Words[n-1])
		if err != nil || d < 0 {
			return h, fmt.Errorf("expected a time behind %s, got %.40q", h.Words[n-2], h.Words[n-1])
		}
		if h.Words[n-2] == "from" {
			h.From = d
		} else {
			h.To = d
		}
		h.Words = h.Words[:n-2]
	}
	known, ok := checks[h.Check]
	if !ok {
		return h, fmt.Errorf("unknown check %.40q; there are %s", h.Check, names(checks))
	}
	if len(h.Words) < known.least || len(h.Words) > known.most {
		return h, fmt.Errorf("%s takes: %s", h.Check, known.help)
	}
	if len(h.Words) > 0 {
		if _, err := bound(h); err != nil {
			return h, err
		}
	}
	return h, nil
}

// bound reads a hold's first word: a time in seconds, or a number.
func bound(h Invariant) (float64, error) {
	if d, err := time.ParseDuration(h.Words[0]); err == nil && d > 0 {
		return d.Seconds(), nil
	}
	v, err := strconv.ParseFloat(h.Words[0], 64)
	if err != nil || !(v >= 0) {
		return 0, fmt.Errorf("%s: expected a number or a time, got %.40q", h.Check, h.Words[0])
	}
	return v, nil
}

func names[T any](m map[string]T) string {
	list := make([]string, 0, len(m))
	for name := range m {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// Draw makes a plan by lot, in the same form: what holds in any world must hold in it.
func Draw(seed uint64) (*Plan, error) {
	rng := rand.New(rand.NewPCG(seed, 7))
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("# drawn by the seed %d", seed)
	line("plazas %d\ncaches %d\ntrunks %d", 1+rng.IntN(3), 2+rng.IntN(3), 1+rng.IntN(2))
	line("rate %d/s\nobjects %d\ncharges %.2f\nlasts 16s", 8+rng.IntN(16), 50+rng.IntN(300), rng.Float64()*0.2)
	line("list %s", []string{"bulletin", "catalogue"}[rng.IntN(2)])
	line("at 0s start doormans")
	who := func() string {
		return []string{"plaza:1", "doormans:0.3", "doorman:1", "boxes", "list", "hub", "clients"}[rng.IntN(7)]
	}
	for range 2 + rng.IntN(4) {
		at := time.Duration(3000+rng.IntN(7000)) * time.Millisecond
		for_ := time.Duration(500+rng.IntN(2500)) * time.Millisecond
		switch rng.IntN(9) {
		case 0:
			line("at %v cut %s doormans for %v", at, who(), for_)
		case 1:
			line("at %v cut doormans:0.4 %s one-way for %v", at, who(), for_)
		case 2:
			line("at %v delay doormans boxes %dms %dms for %v", at, 5+rng.IntN(60), 1+rng.IntN(60), for_)
		case 3:
			line("at %v reset doormans boxes", at)
		case 4:
			line("at %v stop doorman:0 for %v", at, for_)
		case 5:
			line("at %v kill doormans:0.3\nat %v start doormans:0.3", at, at+for_)
		case 6:
			line("at %v die box:c1-1 for %v", at, for_)
		case 7:
			line("at %v drain box:c1-2 for %v", at, for_)
		case 8:
			line("at %v list %s for %v", at, []string{"hang", "refuse"}[rng.IntN(2)], for_)
		}
	}
	line("hold answers\nhold repeats\nhold alive\nhold served 0.9 from 2s to 3s")
	p, err := Parse(fmt.Sprintf("seed %d", seed), []byte(b.String()))
	if err != nil {
		return nil, fmt.Errorf("%w in\n%s", err, b.String())
	}
	p.Text = b.String()
	return p, nil
}
