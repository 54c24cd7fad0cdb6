package control

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/job"
	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

// TestLateResults: a write of results has no response and is applied after a newer
// one. What the newer one says is retained, also by the next leader.
func TestLateResults(t *testing.T) {
	tests := []struct {
		name     string
		outcomes []commitOutcome // of the writes of results
	}{
		{"the first", []commitOutcome{appliedAfterNewer}},
		{"the second", []commitOutcome{applied, appliedAfterNewer}},
		{"two in a row", []commitOutcome{applied, appliedAfterNewer, appliedAfterNewer}},
		{"applied, its answer lost", []commitOutcome{applied, appliedUnanswered}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStateService(t)
				s.put(job.ActivePrefix+"run-4", &job.Record{Spec: job.Spec{ID: "run-4", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 5, CPUs: 1}})
				st := startLeader(t, s, 7)
				s.setOutcomes(job.DonePrefix[:1], tt.outcomes...)
				for i := range 4 {
					st.reportTasks("host-1", uint64(1+i), wire.TaskStatus{Task: fmt.Sprintf("run-4/%d", i), Attempt: 1, Phase: wire.TaskExited, Cause: wire.CauseDone})
					time.Sleep(2 * time.Second)
				}
				time.Sleep(20 * time.Second)
				if _, left := s.outcomeCounts(); left > 0 {
					t.Errorf("%d writes did not come", left)
				}
				st.stop()
				next := startLeader(t, s, 8)
				var got wire.JobStatus
				if p := next.request(rpc.KindStatus, "run-4", nil); wire.Unmarshal(p.Body, &got) != nil || got.Done != 4 {
					t.Errorf("the next leader knows %d results of 4", got.Done)
				}
			})
		})
	}
}

// TestLateRecords: a change of a roll-out or of the calendar has no response, and is
// applied at once or after newer ones. What operators were told last remains true,
// also at the next leader.
func TestLateRecords(t *testing.T) {
	for _, rec := range lateRecordCases {
		for name, outcomes := range map[string][]commitOutcome{"carried out at once": {appliedUnanswered}, "late": {appliedLate}, "after newer ones": {appliedAfterNewer}, "twice": {appliedAfterNewer, appliedAfterNewer},
			"the second at once": {applied, appliedUnanswered}, "the second late": {applied, appliedAfterNewer}} {
			t.Run(rec.name+", "+name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { checkLateRecord(t, rec, outcomes) })
			})
		}
	}
}

// lateOp is an operation of TestLateRecords, with the spec that goes into its body.
type lateOp struct {
	rpc.Operation
	spec map[string]any
}

// simulatedTime is hour h of day d of the simulated time, which begins in 2000.
func simulatedTime(d, h int) string {
	return time.Date(2000, 1, 1+d, h, 0, 0, 0, time.UTC).Format(time.RFC3339)
}

// namedOp is an operation on the roll-out of service x, or the calendar entry x.
func namedOp(verb rpc.Verb, window bool) lateOp {
	return lateOp{rpc.Operation{Verb: verb, Name: "x", Window: window}, nil}
}

// lateRecordCase is a case of TestLateRecords.
type lateRecordCase struct {
	name   string
	kind   rpc.RequestKind
	prefix string
	ops    []lateOp
	want   string // in the state after the last of them; empty: it is not there
}

// lateRecordCases are the cases of TestLateRecords.
var lateRecordCases = []lateRecordCase{
	{"a roll-out is started", rpc.KindRollout, "r", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart}, map[string]any{"service": "x", "from": "run-1", "to": map[string]any{"uid": "run-2", "reel": "n"}}}}, "run-2"},
	{"a roll-out is started and paused", rpc.KindRollout, "r", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart}, map[string]any{"service": "x", "from": "run-1", "to": map[string]any{"uid": "run-2", "reel": "n"}}},
		namedOp(rpc.VerbPause, false)}, "paused"},
	{"a reservation is made", rpc.KindCalendar, "c", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart}, map[string]any{"name": "x", "team": "red", "parts": 1, "cpus": 1.0, "mem_gb": 1.0, "start": simulatedTime(2, 1), "end": simulatedTime(2, 2)}}}, "booked"},
	{"a reservation is made and cancelled", rpc.KindCalendar, "c", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart}, map[string]any{"name": "x", "team": "red", "parts": 1, "cpus": 1.0, "mem_gb": 1.0, "start": simulatedTime(2, 1), "end": simulatedTime(2, 2)}},
		namedOp(rpc.VerbCancel, false)}, ""},
	{"a window is planned", rpc.KindCalendar, "c", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart, Window: true}, map[string]any{"name": "x", "yard": "a", "start": simulatedTime(3, 1), "end": simulatedTime(3, 2), "force": true}}}, "2000-01-04"},
	{"a window is planned and cancelled", rpc.KindCalendar, "c", []lateOp{
		{rpc.Operation{Verb: rpc.VerbStart, Window: true}, map[string]any{"name": "x", "yard": "a", "start": simulatedTime(3, 1), "end": simulatedTime(3, 2), "force": true}},
		namedOp(rpc.VerbCancel, true)}, ""},
}

// checkLateRecord carries out the operations of rec while its transactions have the
// given outcomes, and checks what this leader and the next one say of it.
func checkLateRecord(t *testing.T, rec lateRecordCase, outcomes []commitOutcome) {
	s := newFakeStateService(t)
	s.put(job.ActivePrefix+"run-1", &job.Record{Spec: job.Spec{ID: "run-1", Team: "red", ShapeName: "daemon", PriorityName: "idle", Tasks: 1, CPUs: 1, Image: "o"}})
	on := func(tun *config.Tuning) { tun.Rollouts.Enabled, tun.Calendar.Enabled = true, true }
	st := startLeaderWith(t, s, 7, on)
	s.setOutcomes(rec.prefix, outcomes...)
	for _, o := range rec.ops {
		if p := requestUntilAnswered(t, st, rec.kind, o); p.Status/100 != 2 {
			t.Fatalf("%s: %d %s", o.Verb, p.Status, p.Body)
		}
	}
	if _, left := s.outcomeCounts(); left == len(outcomes) {
		t.Error("no transaction met its outcome")
	}
	look := namedOp(rpc.VerbStatus, strings.Contains(rec.name, "window"))
	told := func(st *testLeader, who string) {
		p := requestUntilAnswered(t, st, rec.kind, look)
		if (rec.want == "") != (p.Status == http.StatusNotFound) || !strings.Contains(string(p.Body), rec.want) {
			t.Errorf("%s: %d %q, want %q", who, p.Status, p.Body, rec.want)
		}
	}
	told(st, "the leader")
	time.Sleep(20 * time.Second)
	told(st, "the leader, later")
	st.stop()
	told(startLeaderWith(t, s, 8, on), "the next one")
}

// requestUntilAnswered asks st to carry out o, and asks again while the answer is a
// server error, 30 times at most, a second apart.
func requestUntilAnswered(t *testing.T, st *testLeader, kind rpc.RequestKind, o lateOp) *rpc.Reply {
	if o.spec != nil {
		b, err := wire.Marshal(o.spec)
		if err != nil {
			t.Fatal(err)
		}
		o.Spec = b
	}
	b, err := wire.Marshal(o.Operation)
	if err != nil {
		t.Fatal(err)
	}
	p := st.request(kind, "", b)
	for range 30 {
		if p.Status < 500 {
			break
		}
		time.Sleep(time.Second)
		p = st.request(kind, "", b)
	}
	return p
}
