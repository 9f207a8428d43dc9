package digesttest

import (
	"crypto/sha256"
	"slices"
	"testing"
	"time"
)

func TestAgendaKeepsTheOrderOfTimesAndOfPlanning(t *testing.T) {
	var agenda EventQueue[string]
	for _, event := range []string{"3 a", "1 a", "2 a", "1 b", "3 b", "1 c", "9 a"} {
		agenda.Schedule(time.Duration(event[0]-'0'), event)
	}
	var got []string
	for at, event := range agenda.PopDue(3) {
		if at != time.Duration(event[0]-'0') {
			t.Errorf("%s is due at %d", event, at)
		}
		got = append(got, event)
		if event == "1 b" {
			agenda.Schedule(1, "1 d") // in the past or now: after what was planned for the same time
			agenda.Schedule(4, "4 a")
		}
	}
	if want := []string{"1 a", "1 b", "1 c", "1 d", "2 a", "3 a", "3 b"}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	for _, event := range agenda.PopDue(4) {
		got = append(got, event)
	}
	if last := got[len(got)-1]; len(got) != 8 || last != "4 a" || agenda.Scheduled() != 9 {
		t.Errorf("got %q after %d were planned", got, agenda.Scheduled())
	}
}

func TestDifferencesFindsEveryChangeOfAFile(t *testing.T) {
	lines := []string{"1 5 aa", "2 6 bb"}
	if faults := differences("1 5 aa\n2 6 bb\n", lines); faults != nil {
		t.Errorf("faults in an equal file: %q", faults)
	}
	for _, text := range []string{
		"", "1 5 aa\n2 6 bb", "1 5 aa\n2 6 bb\n\n", "\n1 5 aa\n2 6 bb\n", "1 5 aa\n", "1 5 aa\n2 7 bb\n",
		"1 5 aa\n2 6 bc\n", "1 5 aa\n3 6 bb\n", "1 5 aa \n2 6 bb\n", "2 6 bb\n1 5 aa\n",
	} {
		if differences(text, lines) == nil {
			t.Errorf("no fault in %q", text)
		}
	}
}

func TestLineCountsResultsByTheFormat(t *testing.T) {
	recorder := &Recorder{digest: sha256.New()}
	recorder.Add("a %d", 1)
	recorder.AddUncounted("state")
	const digest = "c04bfe42c0f133f277a79172b42e3141"
	if line := recorder.line(Format{}, 7); line != "7 1 "+digest {
		t.Errorf("line %q", line)
	}
	if line := recorder.line(Format{OmitResultCount: true}, 7); line != "7 "+digest {
		t.Errorf("line %q without the number of results", line)
	}
}
