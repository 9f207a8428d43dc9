package listwatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/tidwall/gjson"

	"sloequay/internal/membership"
)

var testDecoder = Decoder{Source: 2, Names: membership.Names{Zones: []string{"hub", "edge"}, Kinds: []string{"std"}}}

const endpointText = `{"host":"c1","dial":"10.0.0.1:80","site":"edge","class":"std","block":3,"health":"up",
	"share":2.5,"born_ms":1700}`

var decodedEndpoint = membership.Endpoint{ID: "c1", Address: "10.0.0.1:80", Zone: 1, Cell: 3, Weight: 2.5,
	StartedAt: 1700 * time.Millisecond, State: membership.Up}

// TestDecode checks the decoding of each kind of event in the watch's format.
func TestDecode(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []membership.SourceEvent
	}{
		{"only a number", `{"no":7}`, nil},
		{"a complete list", `{"no":7,"roster":{"seq":9,"whole":true,"hosts":[` + endpointText + `]}}`,
			[]membership.SourceEvent{membership.ListReceived{Source: 2,
				List: membership.List{Version: 9, Endpoints: []membership.Endpoint{decodedEndpoint}}}}},
		{"a delta", `{"no":7,"roster":{"seq":9,"hosts":[` + endpointText + `]}}`,
			[]membership.SourceEvent{membership.DeltaReceived{Source: 2, Version: 9,
				Endpoints: []membership.Endpoint{decodedEndpoint}}}},
		{"a purge of an object", `{"no":7,"recall":{"item":"00ff","issued":5}}`,
			[]membership.SourceEvent{
				membership.PurgeReceived{IsObject: true, Object: 255, Issued: 5 * time.Millisecond}}},
		{"a purge of the object 0", `{"no":7,"recall":{"item":"0","issued":5}}`,
			[]membership.SourceEvent{membership.PurgeReceived{IsObject: true, Issued: 5 * time.Millisecond}}},
		{"a purge of a group", `{"no":7,"recall":{"lot":3,"issued":5}}`,
			[]membership.SourceEvent{membership.PurgeReceived{Group: 3, Issued: 5 * time.Millisecond}}},
		{"a delta and a purge", `{"no":7,"roster":{"seq":9,"hosts":[]},"recall":{"lot":0,"issued":5}}`,
			[]membership.SourceEvent{
				membership.DeltaReceived{Source: 2, Version: 9, Endpoints: []membership.Endpoint{}},
				membership.PurgeReceived{Issued: 5 * time.Millisecond},
			}},
	} {
		number, got, err := testDecoder.Decode(gjson.Parse(c.text))
		if diff := cmp.Diff(c.want, got); diff != "" || number != 7 || err != nil {
			t.Errorf("%s: got number %d, error %v; want 7, no error; events (-want +got):\n%s",
				c.name, number, err, diff)
		}
	}
}

// TestDecodeErrors checks the error and the event number returned for each kind of invalid line.
func TestDecodeErrors(t *testing.T) {
	many := strings.Repeat(endpointText+",", maxEndpoints) + endpointText
	for _, c := range []struct {
		text   string
		number int64
		want   string
	}{
		{`{"no":`, 0, "not valid JSON"},
		{`[7]`, 0, "not an event with a number"},
		{`{"no":"7"}`, 0, "not an event with a number"},
		{`{"no":7,"roster":{"hosts":3}}`, 7, "event 7: roster: hosts: expected a list of at most 4096 endpoints"},
		{
			`{"no":7,"roster":{"hosts":[` + many + `]}}`, 7,
			"event 7: roster: hosts: expected a list of at most 4096 endpoints",
		},
		{`{"no":7,"roster":{"hosts":[{"health":"odd"}]}}`, 7, `event 7: roster: hosts[0]: health: unknown state "odd"`},
		{`{"no":7,"roster":{"hosts":[{"health":"up"}]}}`, 7, `event 7: roster: hosts[0]: host ""`},
		{`{"no":7,"recall":{"lot":3}}`, 7, "event 7: recall: issued: expected Unix milliseconds"},
		{`{"no":7,"recall":{"lot":3,"issued":-1}}`, 7, "event 7: recall: issued: expected Unix milliseconds"},
		{
			`{"no":7,"recall":{"item":"zz","issued":1}}`, 7,
			`event 7: recall: item: expected a hexadecimal object id, got "zz"`,
		},
		{`{"no":7,"recall":{"lot":-1,"issued":1}}`, 7, "event 7: recall: lot: expected the number of an object group"},
	} {
		number, events, err := testDecoder.decodeLine([]byte(c.text))
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || number != c.number || events != nil {
			t.Errorf("%.60s: got number %d, %d events, error %v; want number %d, no events, error %s",
				c.text, number, len(events), err, c.number, c.want)
		}
	}
}

// TestDecodeInitial checks the decoding of the initial events, and of the number after which the watch resumes.
func TestDecodeInitial(t *testing.T) {
	text := fmt.Sprintf(`{"no":9,"items":[{"no":8,"roster":{"whole":true,"hosts":[%[1]s]}},
		{"no":9,"roster":{"hosts":[%[1]s]}}]}`, endpointText)
	last, events, err := testDecoder.DecodeInitial(gjson.Parse(text))
	if last != 9 || len(events) != 2 || CountEndpoints(events) != 2 || err != nil {
		t.Errorf("got last number %d, %d events with %d endpoints, error %v; want 9, 2 events with 2, no error",
			last, len(events), CountEndpoints(events), err)
	}
	if last, events, err := testDecoder.DecodeInitial(gjson.Result{}); last != 0 || events != nil || err != nil {
		t.Errorf("without initial events: got last number %d, %d events, error %v; want 0, none, no error",
			last, len(events), err)
	}
	for _, text := range []string{`{"items":[]}`, `{"no":9}`, `{"no":9,"items":[{}]}`} {
		if _, _, err := testDecoder.DecodeInitial(gjson.Parse(text)); err == nil {
			t.Errorf("%s: got no error, want one", text)
		}
	}
}
