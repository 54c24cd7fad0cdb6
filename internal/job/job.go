package job

import (
	"encoding/base64"
	"fmt"
	"math"
	"math/bits"
	"time"

	"vetchstream/internal/wire"
)

// Keys of the durable records: a job is under active until it is over, then
// under final. The move is one transaction, so a job is never under neither.
//
// Jobs that arrive together share a group record. A job's entry there stands for
// its active record; when the job is over its entry says so, until it is moved to
// its final key, in one transaction.
const (
	ActivePrefix = "j/"
	FinalPrefix  = "f/"
	DonePrefix   = "d/"
	GroupPrefix  = "g/"
)

// Record is a job's durable record.
type Record struct {
	Spec Spec `codec:"spec"`
	// Phase is empty for an active job, then done or aborted, for ever.
	Phase string `codec:"phase,omitempty"`
	Done  int    `codec:"done,omitempty"`
	// At is the time of day of the submission, in milliseconds.
	At int64 `codec:"at"`
}

// Group is the record of jobs that were accepted together.
type Group struct {
	Jobs []Record `codec:"jobs"`
}

// chunkTasks is the number of tasks whose results share one key: its text is
// well below the smallest value limit (16 KiB) that a state service has.
const chunkTasks = 32768

// Chunk is the durable set of completed tasks among chunkTasks of them.
type Chunk struct {
	Bits string `codec:"bits"`
}

// Job is a job that the leader looks after. Only the leader's actor touches it.
type Job struct {
	Spec
	Shape     Shape
	Rank      Rank
	TeamIdx   int
	ZoneIdx   int // -1: any
	TypeOK    []bool
	ImageIdx  int
	Version   uint64 // of the active record
	At        int64  // of the record
	Submitted time.Time
	// Phase is empty until the final record is committed.
	Phase string
	// Closing is the final phase whose commit has been sent: nothing is launched
	// from that moment on, whatever becomes of the commit.
	Closing string
	// CancelledAt is when the commit of the job's cancellation was first sent: its user
	// may have been told from then on. Zero where an earlier leader sent it.
	CancelledAt time.Time

	done      []uint64
	DoneCount int
	dirty     map[int]bool
	saved     map[int]uint64 // versions of the chunks that may exist as keys

	// Quota is which replicas of a service may run while it is rolled out; nil: all.
	Quota *Quota
	// Versions are the other versions of the service, and Handle tells that this job
	// is its user's name for all of them.
	Versions []*Job
	Handle   bool

	// Live counts, for each task, the placements that may be on a machine.
	Live map[int32]int
	// undone counts the tasks of Live that have not completed.
	undone int
	// RecordedHosts are the machines for which the registry certainly names the job. It is
	// launched on these alone, so that a successor knows what a silent machine may
	// run.
	RecordedHosts Set
	// scan is the lowest task that may still need a placement.
	scan int32

	// GangAttempt is the attempt that members are placed with; 0: none.
	GangAttempt uint64
	// GangBroken: a member of the running attempt is gone; the rest must leave
	// before there is another.
	GangBroken bool
	GangRan    bool

	// NotBefore holds back a job that keeps failing.
	NotBefore time.Time
	// Notice is what its user is told beside the state; empty: nothing.
	Notice  string
	Backoff time.Duration
	// ErrorHosts are the machines on which a task failed; Worked: a task of this
	// job has completed or run for a while, so the job itself is sound.
	ErrorHosts map[string]bool
	Worked     bool

	// RunSum, RunCount and RunsOn tell how long completed tasks ran, in all and
	// by machine: a faulty machine shows as far slower than the others.
	RunSum   float64
	RunCount int
	RunsOn   map[string]Runs

	// LastHost is the machine of the job's previous task.
	LastHost int
	WaitFrom time.Time
}

// New makes the runtime form of a record.
func New(r *Record, submitted time.Time) *Job {
	return &Job{
		Spec: r.Spec, Shape: shapes[r.Spec.ShapeName], Rank: ranks[r.Spec.RankName],
		TeamIdx: -1, ZoneIdx: -1, ImageIdx: -1, LastHost: -1,
		At: r.At, Phase: r.Phase, Submitted: submitted, WaitFrom: submitted,
		done: make([]uint64, (r.Spec.Tasks+63)/64), dirty: map[int]bool{}, saved: map[int]uint64{},
		Live: map[int32]int{}, ErrorHosts: map[string]bool{}, RunsOn: map[string]Runs{},
	}
}

// Runs sums up run times.
type Runs struct {
	Sum   float64
	Count int
}

// Ran notes the run time of a completed task.
func (j *Job) Ran(host string, secs float64) {
	j.RunSum += secs
	j.RunCount++
	x := j.RunsOn[host]
	x.Sum += secs
	x.Count++
	j.RunsOn[host] = x
}

// IsDone reports whether a task has completed.
func (j *Job) IsDone(task int32) bool {
	return int(task) < j.Tasks && j.done[task/64]&(1<<(task%64)) != 0
}

// SetDone records a completed task and reports whether that is news.
func (j *Job) SetDone(task int32) bool {
	if j.IsDone(task) {
		return false
	}
	j.done[task/64] |= 1 << (task % 64)
	j.DoneCount++
	if j.Live[task] > 0 {
		j.undone--
	}
	j.dirty[int(task)/chunkTasks] = true
	return true
}

// Over reports whether the job's work is complete.
func (j *Job) Over() bool {
	return j.Shape != Service && j.DoneCount == j.Tasks
}

// Quota is which replicas of a service may run, and in which zone each (-1: any).
type Quota struct {
	Allowed []bool
	Zone    []int
}

// May reports whether a task may run.
func (j *Job) May(task int32) bool {
	return j.Quota == nil || (int(task) < len(j.Quota.Allowed) && j.Quota.Allowed[task])
}

// ZoneOf is the only zone that a task may run in, or -1.
func (j *Job) ZoneOf(task int32) int {
	if j.Quota != nil && int(task) < len(j.Quota.Zone) && j.Quota.Zone[task] >= 0 {
		return j.Quota.Zone[task]
	}
	return j.ZoneIdx
}

// Waiting is the number of tasks that need a placement.
func (j *Job) Waiting() int {
	if j.Quota != nil {
		n := 0
		for t := range int32(j.Tasks) {
			if j.May(t) && j.Live[t] == 0 {
				n++
			}
		}
		return n
	}
	if j.Shape == Service {
		return j.Tasks - len(j.Live)
	}
	return j.Tasks - j.DoneCount - j.undone
}

// Needs calls yield for each task that needs a placement, until it says stop.
func (j *Job) Needs(yield func(task int32) bool) {
	if j.Shape != Service {
		for int(j.scan) < j.Tasks && j.IsDone(j.scan) {
			j.scan++
		}
	}
	for t := j.scan; int(t) < j.Tasks; t++ {
		if t%64 == 0 && j.Shape != Service && j.done[t/64] == math.MaxUint64 {
			t += 63 // a large job that is nearly over must not cost a look at each task
			continue
		}
		if j.Live[t] > 0 || !j.May(t) || (j.Shape != Service && j.IsDone(t)) {
			continue
		}
		if !yield(t) {
			return
		}
	}
}

// AddLive changes the number of placements that may be on a machine.
func (j *Job) AddLive(task int32, by int) {
	was := j.Live[task]
	n := was + by
	if n > 0 {
		j.Live[task] = n
	} else {
		delete(j.Live, task)
	}
	if (was > 0) != (n > 0) && !j.IsDone(task) {
		if n > 0 {
			j.undone++
		} else {
			j.undone--
		}
	}
}

// Become replaces what is known of a job by its record; what may be on machines
// stays.
func (j *Job) Become(r *Record, submitted time.Time) {
	live, noted, quota, versions, handle := j.Live, j.RecordedHosts, j.Quota, j.Versions, j.Handle
	*j = *New(r, submitted)
	j.Live, j.RecordedHosts, j.Quota, j.Versions, j.Handle = live, noted, quota, versions, handle
	j.recount()
}

// Cancelled reports whether the job's user may have been told that it is cancelled.
func (j *Job) Cancelled() bool {
	return j.Phase == wire.JobAborted || (j.Phase == "" && j.Closing == wire.JobAborted)
}

func (j *Job) recount() {
	j.DoneCount, j.undone = 0, 0
	for _, w := range j.done {
		j.DoneCount += bits.OnesCount64(w)
	}
	for t := range j.Live {
		if int(t) < j.Tasks && !j.IsDone(t) {
			j.undone++
		}
	}
}

// Dirty returns the chunks that have not been stored as they stand.
func (j *Job) Dirty() []int {
	var out []int
	for c := range j.dirty {
		out = append(out, c)
	}
	return out
}

// ChunkKey is the key of one chunk.
func (j *Job) ChunkKey(c int) string { return fmt.Sprintf("%s%s/%d", DonePrefix, j.ID, c) }

// TakeChunk encodes a chunk and marks it as clean; a failed write has to mark it
// again with MarkDirty.
func (j *Job) TakeChunk(c int) Chunk {
	lo := c * chunkTasks / 64
	hi := min(len(j.done), lo+chunkTasks/64)
	b := make([]byte, 0, (hi-lo)*8)
	for _, w := range j.done[lo:hi] {
		for i := range 8 {
			b = append(b, byte(w>>(8*i)))
		}
	}
	delete(j.dirty, c)
	return Chunk{Bits: base64.StdEncoding.EncodeToString(b)}
}

// MarkDirty notes that a chunk has to be stored.
func (j *Job) MarkDirty(c int) { j.dirty[c] = true }

// MarkSaved notes that a chunk may exist as a key, and its version; 0: it did not when
// it was last read.
func (j *Job) MarkSaved(c int, version uint64) { j.saved[c] = version }

// ChunkVersion is the version of a chunk's key as far as it is known; 0: none.
func (j *Job) ChunkVersion(c int) uint64 { return j.saved[c] }

// SavedChunks returns the chunks that may exist as keys.
func (j *Job) SavedChunks() []int {
	var out []int
	for c := range j.saved {
		out = append(out, c)
	}
	return out
}

// LoadChunk takes in a stored chunk.
func (j *Job) LoadChunk(c int, ch Chunk, version uint64) error {
	b, err := base64.StdEncoding.DecodeString(ch.Bits)
	if err != nil {
		return fmt.Errorf("job %s: chunk %d: %w", j.ID, c, err)
	}
	lo := c * chunkTasks / 64
	for i, x := range b {
		if lo+i/8 < len(j.done) {
			j.done[lo+i/8] |= uint64(x) << (8 * (i % 8))
		}
	}
	if r := j.Tasks % 64; r != 0 {
		j.done[len(j.done)-1] &= 1<<r - 1
	}
	j.recount()
	j.saved[c] = version
	return nil
}

// Status is what the job's user is told.
func (j *Job) Status(running int) wire.Status {
	s := wire.Status{ID: j.ID, Phase: wire.JobPending, Done: j.DoneCount, Running: running, Notice: j.Notice}
	switch {
	case j.Phase != "":
		s.Phase, s.Running = j.Phase, 0
	case running > 0:
		s.Phase = wire.JobRunning
	}
	return s
}
