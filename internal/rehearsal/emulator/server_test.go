package emulator

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
	"pgregory.net/rapid"
)

const second = time.Second

// runJobs sends jobs to a server at exponential intervals. It returns the seconds that each took, the server, and the time of the last
// arrival.
func runJobs(
	tb testing.TB, spec Spec, perSecond float64, work WorkDistribution, jobs int, seed uint64,
) (took []float64, s *Server, end time.Duration) {
	tb.Helper()
	s = NewServer(spec, 0, false)
	gaps, works := rand.New(RandomSource(seed, "gaps")), RandomSource(seed, "work")
	arrived := map[uint64]time.Duration{}
	release := func(done []Completion) {
		for _, d := range done {
			took = append(took, (d.At - arrived[d.ID]).Seconds())
			s.Release(d.At, d.ID)
		}
	}
	var now time.Duration
	until := func(to time.Duration) {
		for {
			next, ok := s.Next()
			if !ok || next > to {
				break
			}
			release(s.Advance(next))
		}
		release(s.Advance(to))
		now = to
	}
	for i := range jobs {
		until(now + time.Duration(gaps.ExpFloat64()/perSecond*1e9))
		if s.Offer(now, uint64(i), work.Draw(works), 0) != Accepted {
			tb.Fatalf("job %d at %v: was rejected, want it accepted", i, now)
		}
		arrived[uint64(i)] = now
	}
	end = now
	until(now + time.Hour)
	if len(took) != jobs || s.Jobs() != 0 {
		tb.Fatalf("an hour after the last arrival: got %d of %d jobs ended and %d held, want all ended", len(took), jobs, s.Jobs())
	}
	return took, s, end
}

// erlangC returns the probability that a job has to wait in an M/M/c queue with offered load a (Gross and Harris, section 2.3).
func erlangC(c int, a float64) float64 {
	term, sum := 1.0, 0.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	last := term / (1 - a/float64(c))
	return last / (sum + last)
}

// With as many slots as cores, a server is an M/M/c queue: the mean time in the system must match the formula within 4%, and the share
// of busy cores the utilization law within 2%.
func TestAgainstMMc(t *testing.T) {
	for _, test := range []struct {
		cores int
		load  float64
	}{{1, 0.5}, {2, 0.7}, {8, 0.9}} {
		const mean = 100 * time.Millisecond
		perSecond := test.load * float64(test.cores) / mean.Seconds()
		a := perSecond * mean.Seconds()
		want := mean.Seconds() + erlangC(test.cores, a)/(float64(test.cores)/mean.Seconds()-perSecond)
		took, s, end := runJobs(t, Spec{Cores: test.cores, Speed: 1, Slots: test.cores, Queue: 1 << 20, ColdShare: 1}, perSecond,
			WorkDistribution{mean, Exponential, 0}, 200_000, 1)
		if got := stat.Mean(took, nil); math.Abs(got/want-1) > 0.04 {
			t.Errorf("M/M/%d at load %v: got a mean of %.4f s in the system, want %.4f s", test.cores, test.load, got, want)
		}
		if util := s.BusyTime().Seconds() / end.Seconds() / float64(test.cores); math.Abs(util/test.load-1) > 0.02 {
			t.Errorf("M/M/%d: got a share of %.3f of the cores busy, want %v", test.cores, util, test.load)
		}
	}
}

// With enough slots for all jobs, the jobs share the core: the mean time in the system of an M/G/1-PS queue depends only on the mean work.
func TestAgainstProcessorSharing(t *testing.T) {
	for _, w := range []WorkDistribution{{Shape: Exponential}, {Shape: Fixed}, {Shape: Lognormal, CV: 1.5}} {
		w.Mean = 50 * time.Millisecond
		const load = 0.6
		took, _, _ := runJobs(t, Spec{Cores: 1, Speed: 1, Slots: 1 << 20, ColdShare: 1}, load/w.Mean.Seconds(), w, 200_000, 2)
		want := w.Mean.Seconds() / (1 - load)
		if got := stat.Mean(took, nil); math.Abs(got/want-1) > 0.05 {
			t.Errorf("%s: got a mean of %.4f s in the system, want %.4f s", w.Shape, got, want)
		}
	}
}

// Draws must have the mean and the coefficient of variation of their distribution.
func TestDraws(t *testing.T) {
	const mean = 100 * time.Millisecond
	for _, w := range []WorkDistribution{{mean, Exponential, 0}, {mean, Lognormal, 0.9}, {mean, Pareto, 0.6}} {
		src := RandomSource(3, "draws")
		var xs []float64
		for range 400_000 {
			xs = append(xs, w.Draw(src).Seconds())
		}
		mean, sd := stat.MeanStdDev(xs, nil)
		cv := w.CV
		if w.Shape == Exponential {
			cv = 1
		}
		if math.Abs(mean/0.1-1) > 0.02 || math.Abs(sd/mean/cv-1) > 0.15 {
			t.Errorf("%s: got mean %.4f and CV %.3f, want 0.1 and %v", w.Shape, mean, sd/mean, cv)
		}
	}
	if d := (WorkDistribution{Mean: second, Shape: Lognormal}).Draw(RandomSource(1, "")); d != second {
		t.Errorf("draw with a CV of 0: got %v, want the mean of 1s", d)
	}
}

// The capacity of a cold server rises linearly: the work done during the warm-up is the integral of the capacity.
func TestWarmingUp(t *testing.T) {
	spec := Spec{Cores: 1, Speed: 2, Slots: 1, Queue: 10, ColdShare: 0.3, WarmUp: 10 * second}
	s := NewServer(spec, 5*second, true)
	s.Advance(5 * second)
	// 2 * (0.3*4 + 0.07*16/2) = 3.52 s of work take 4 s.
	s.Offer(5*second, 1, 3520*time.Millisecond, 0)
	if next, ok := s.Next(); !ok || (next-9*second).Abs() > time.Microsecond {
		t.Errorf("job during the warm-up: got end at %v (known: %v), want 9s", next, ok)
	}
	if done := s.Advance(9*second + time.Microsecond); len(done) != 1 {
		t.Errorf("completions at 9s: got %v, want one", done)
	}
	s.Release(9*second+time.Microsecond, 1)
	if c := s.Capacity(); math.Abs(c-2*0.58) > 1e-3 {
		t.Errorf("capacity at 9s: got %v, want 1.16", c)
	}
	// A job from 14 s to 16 s, across the end of the warm-up at 15 s: 2*(0.93+1)/2*1 + 2*1.
	s.Advance(14 * second)
	s.Offer(14*second, 2, 3930*time.Millisecond, 0)
	if next, _ := s.Next(); (next - 16*second).Abs() > time.Microsecond {
		t.Errorf("job across the end of the warm-up: got end at %v, want 16s", next)
	}
}

// A cold server that is sent more than OverloadFactor times its capacity collapses and stays down. A warm server doesn't, nor does a
// cold one to which the same work is sent over a longer time.
func TestOverload(t *testing.T) {
	spec := Spec{Cores: 2, Speed: 1, Slots: 100, ColdShare: 0.5, WarmUp: 10 * second, OverloadFactor: 3, OverloadWindow: second}
	send := func(cold bool, gap time.Duration) *Server {
		s := NewServer(spec, 0, cold)
		for i := range 40 {
			now := time.Duration(i) * gap
			s.Advance(now)
			s.Offer(now, uint64(i), 100*time.Millisecond, 0)
		}
		return s
	}
	// Cold: 2 * 0.5 * 3 * 1.1 = 3.3 s of work within a second.
	if s := send(true, 10*time.Millisecond); !s.Collapsed() || s.Jobs() != 0 || s.Offer(2*second, 99, second, 0) != Rejected {
		t.Errorf("overloaded cold server: got collapsed %v and %d jobs, want a collapse, no jobs and a rejection", s.Collapsed(), s.Jobs())
	}
	if send(false, 10*time.Millisecond).Collapsed() || send(true, 60*time.Millisecond).Collapsed() {
		t.Error("warm server, or cold server with a lower load: has collapsed, want it up")
	}
	s := NewServer(spec, 0, true)
	if s.Offer(0, 1, time.Hour, 0) != Accepted {
		t.Error("single job of an hour at a cold server: was not accepted, want it accepted")
	}
}

func TestQueueRejectsAndExpires(t *testing.T) {
	s := NewServer(Spec{Cores: 1, Speed: 1, Slots: 1, Queue: 2, ColdShare: 1, DropsExpired: true}, 0, false)
	for i, want := range []Admission{Accepted, Accepted, Accepted, Rejected} {
		if got := s.Offer(0, uint64(i), second, 1500*time.Millisecond); got != want {
			t.Errorf("admission of job %d: got %v, want %v", i, got, want)
		}
	}
	done := s.Advance(second)
	if len(done) != 1 || done[0] != (Completion{ID: 0, At: second}) {
		t.Fatalf("completions at 1s: got %v, want job 0 only", done)
	}
	if s.Release(second, 0) != nil || s.QueueLength() != 1 {
		t.Errorf("after the release of job 0: got a queue of %d, want 1 and nothing expired", s.QueueLength())
	}
	if done = s.Advance(2 * second); len(done) != 1 || done[0].ID != 1 {
		t.Fatalf("completions at 2s: got %v, want job 1 only", done)
	}
	if done = s.Release(2*second, 1); len(done) != 1 || done[0] != (Completion{2, 2 * second, true}) || s.Jobs() != 0 {
		t.Errorf("release of job 1: got completions %v and %d jobs held, want job 2 expired and none held", done, s.Jobs())
	}
}

// Cancel removes a job that waits. Work in progress stops or continues, as CancelStopsWork says.
func TestCancel(t *testing.T) {
	for _, stops := range []bool{false, true} {
		s := NewServer(Spec{Cores: 1, Speed: 1, Slots: 1, Queue: 5, ColdShare: 1, CancelStopsWork: stops}, 0, false)
		for i := range 3 {
			s.Offer(0, uint64(i), second, 0)
		}
		if stopped, _ := s.Cancel(0, 1); !stopped {
			t.Error("cancel of a waiting job: got stopped false, want true")
		}
		if stopped, _ := s.Cancel(500*time.Millisecond, 0); stopped != stops {
			t.Errorf("cancel of a job in work: got stopped %v, want %v", stopped, stops)
		}
		// The last job starts at 0.5 s, or when the work of the cancelled job has ended.
		want := 1500 * time.Millisecond
		if !stops {
			want = 2 * second
		}
		if done := s.Advance(10 * second); len(done) != 1 || done[0].ID != 2 || (done[0].At-want).Abs() > time.Microsecond {
			t.Errorf("CancelStopsWork %v: got completions %v, want job 2 at %v", stops, done, want)
		}
	}
}

// A job that waits for the next tier keeps its slot but uses no core.
func TestWaitingForTheNextTier(t *testing.T) {
	s := NewServer(Spec{Cores: 1, Speed: 1, Slots: 2, Queue: 5, ColdShare: 1}, 0, false)
	for i := range 3 {
		s.Offer(0, uint64(i), second, 0)
	}
	done := s.Advance(2 * second) // two share the core
	if len(done) != 2 || s.QueueLength() != 1 {
		t.Fatalf("at 2s: got completions %v and a queue of %d, want 2 and 1", done, s.QueueLength())
	}
	s.Advance(5 * second)
	s.Resume(5*second, 0, second)
	if done = s.Advance(6 * second); len(done) != 1 || done[0].ID != 0 {
		t.Fatalf("completions at 6s: got %v, want the resumed job 0 only", done)
	}
	s.Release(6*second, 0)
	if s.QueueLength() != 0 || s.Jobs() != 2 {
		t.Errorf("after the release of job 0: got a queue of %d and %d jobs, want 0 and 2", s.QueueLength(), s.Jobs())
	}
	if stopped, _ := s.Cancel(6*second, 1); !stopped || s.Jobs() != 1 {
		t.Errorf("cancel of a job that waits for the next tier: got stopped %v and %d jobs, want true and 1", stopped, s.Jobs())
	}
}

func TestPauseAndSlow(t *testing.T) {
	s := NewServer(Spec{Cores: 1, Speed: 1, Slots: 1, ColdShare: 1}, 0, false)
	s.Offer(0, 1, second, 0)
	s.Advance(500 * time.Millisecond)
	s.Pause(500*time.Millisecond, 3*second)
	s.Advance(3 * second)
	s.Slow(3*second, 4)
	if done := s.Advance(10 * second); len(done) != 1 || (done[0].At-5*second).Abs() > time.Microsecond {
		t.Errorf("job with a pause and a slowdown: got completions %v, want one at 5s", done)
	}
}

// A server that is crowded for too long becomes congested, and recovers when it has been idle for long enough.
func TestCongestion(t *testing.T) {
	spec := Spec{
		Cores: 1, Speed: 1, Slots: 100, ColdShare: 1,
		Congestion: &Congestion{
			MinJobs: 5, After: second, SlowdownFactor: 2, RecoveryUtilization: 0.5, RecoveryTime: 2 * second, MaxDuration: 20 * second,
		},
	}
	s := NewServer(spec, 0, false)
	for i := range 5 {
		s.Offer(0, uint64(i), second, 0)
	}
	// 1 s of work at full speed, and the other 4 s at half speed.
	done := s.Advance(60 * second)
	if len(done) != 5 || (done[0].At-9*second).Abs() > time.Microsecond || s.Congestions() != 1 {
		t.Fatalf("got completions %v and %d congestions, want 5 completions from 9s on and 1 congestion", done, s.Congestions())
	}
	if c := s.Capacity(); c != 1 {
		t.Errorf("capacity after the recovery: got %v, want 1", c)
	}
	s = NewServer(spec, 0, false)
	for i := range 4 {
		s.Offer(0, uint64(i), second, 0)
	}
	if s.Advance(60 * second); s.Congestions() != 0 {
		t.Errorf("server with fewer than MinJobs: got %d congestions, want none", s.Congestions())
	}
}

func TestThrashing(t *testing.T) {
	s := NewServer(Spec{Cores: 1, Speed: 1, Slots: 100, ColdShare: 1, Thrash: 0.5, ThrashAt: 2}, 0, false)
	for i := range 4 {
		s.Offer(0, uint64(i), second, 0)
	}
	// With four jobs the speed is 1 - 0.5*(4-2)/2 of the full one.
	if done := s.Advance(60 * second); len(done) != 4 || (done[0].At-8*second).Abs() > time.Microsecond {
		t.Errorf("four jobs on a thrashing server: got completions %v, want 4 from 8s on", done)
	}
}

// A report becomes visible after ReportDelay, and its utilization is that of the interval before it.
func TestReports(t *testing.T) {
	s := NewServer(Spec{
		Cores: 2, Speed: 1, Slots: 2, Queue: 9, ColdShare: 1,
		ReportEvery: 100 * time.Millisecond, ReportDelay: 50 * time.Millisecond,
	}, 0, false)
	s.Advance(120 * time.Millisecond)
	if _, ok := s.LoadReport(); ok {
		t.Error("report 20 ms after it was generated: got one, want none before ReportDelay")
	}
	for i := range 3 {
		s.Offer(120*time.Millisecond, uint64(i), second, 0)
	}
	s.Advance(240 * time.Millisecond)
	if r, ok := s.LoadReport(); !ok || r != (LoadReport{}) {
		t.Errorf("report of the idle first interval: got %+v (visible: %v), want zero values", r, ok)
	}
	s.Advance(260 * time.Millisecond)
	if r, _ := s.LoadReport(); r.InFlight != 3 || r.Queued != 1 || math.Abs(r.Utilization-0.8) > 1e-6 {
		t.Errorf("report of the second interval: got %+v, want 3 in flight, 1 queued and a utilization of 0.8", r)
	}
}

func TestKeyMemory(t *testing.T) {
	memory := KeyMemory{Window: 10 * second}
	for i, test := range []struct {
		at   time.Duration
		key  string
		want bool
	}{
		{0, "a", true},
		{second, "a", false},
		{second, "b", true},
		{10 * second, "a", true},
		{10*second + 1, "b", false},
		{11 * second, "b", true},
	} {
		if got := memory.Execute(test.at, test.key); got != test.want {
			t.Errorf("execution %d, of key %q at %v: got effect %v, want %v", i, test.key, test.at, got, test.want)
		}
	}
	for i := range 2 * maxKeys {
		memory.Execute(12*second, fmt.Sprint(i))
	}
	if len(memory.executedAt) > maxKeys || len(memory.order) > maxKeys {
		t.Errorf("got %d keys and %d executions, want at most %d of each", len(memory.executedAt), len(memory.order), maxKeys)
	}
}

// For any sequence of calls, no slot is lost, no job ends twice, every job ends, and advancing the server more often gives the same
// result.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := drawSpec(t)
		cold := rapid.Bool().Draw(t, "starts cold")
		c := &modelCheck{
			t: t, server: NewServer(spec, 0, cold), often: NewServer(spec, 0, cold),
			ended: map[uint64]time.Duration{}, held: map[uint64]bool{},
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			// Jobs can end at whole milliseconds, where rounding would decide which event comes first, so the time is never one.
			c.advance(c.now + time.Duration(rapid.IntRange(0, 800).Draw(t, "ms"))*time.Millisecond + 1371)
			c.step(uint64(i))
			c.release(func() bool { return rapid.Bool().Draw(t, "release") })
			s := c.server
			if s.usedSlots() > spec.Slots || s.QueueLength() > spec.Queue || s.Jobs() != s.usedSlots()+s.QueueLength() {
				t.Fatalf("got %d jobs in slots, %d in the queue and %d in all, want at most %d and %d, and their sum",
					s.usedSlots(), s.QueueLength(), s.Jobs(), spec.Slots, spec.Queue)
			}
		}
		for range 40 {
			c.advance(c.now + 3*second)
			c.release(func() bool { return true })
			clear(c.held)
		}
		if jobs := c.server.Jobs(); jobs != 0 {
			t.Fatalf("jobs at the end: got %d, want none", jobs)
		}
		for _, id := range c.accepted {
			if _, ok := c.ended[id]; !ok {
				t.Fatalf("accepted job %d: never ended, want one end", id)
			}
		}
	})
}

// drawSpec draws the spec of a server with every feature except collapses.
func drawSpec(t *rapid.T) Spec {
	return Spec{
		Cores: rapid.IntRange(1, 3).Draw(t, "cores"), Speed: rapid.Float64Range(0.3, 3).Draw(t, "speed"),
		Slots: rapid.IntRange(1, 5).Draw(t, "slots"), Queue: rapid.IntRange(0, 4).Draw(t, "queue"),
		ColdShare: rapid.Float64Range(0.1, 1).Draw(t, "cold"), WarmUp: 3 * second, CancelStopsWork: rapid.Bool().Draw(t, "stops"),
		DropsExpired: rapid.Bool().Draw(t, "drops"), Thrash: 0.1, ThrashAt: 2,
		Congestion: &Congestion{
			MinJobs: 3, After: 500 * time.Millisecond, SlowdownFactor: 2, RecoveryUtilization: 0.5, RecoveryTime: second, MaxDuration: 4 * second,
		},
	}
}

// modelCheck makes the same calls to two equal servers, of which one is advanced more often.
type modelCheck struct {
	t             *rapid.T
	server, often *Server
	now           time.Duration
	ended         map[uint64]time.Duration // time at which each job ended or was cancelled
	held          map[uint64]bool          // jobs that have ended, by ID; true if they still have their slot, false if they expired
	accepted      []uint64                 // IDs of all accepted jobs
}

// recordEnds records jobs that have ended, and fails the test if one has ended before.
func (c *modelCheck) recordEnds(done []Completion) {
	for _, d := range done {
		if _, ok := c.ended[d.ID]; ok {
			c.t.Fatalf("job %d: ended at %v and again at %v, want one end", d.ID, c.ended[d.ID], d.At)
		}
		c.ended[d.ID] = d.At
		c.held[d.ID] = !d.Expired
	}
}

// advance advances both servers to a time, and compares the jobs that have ended.
func (c *modelCheck) advance(to time.Duration) {
	var more []Completion
	for at := c.now; at < to; at += 31 * time.Millisecond {
		more = append(more, c.often.Advance(at)...)
	}
	more = append(more, c.often.Advance(to)...)
	done := c.server.Advance(to)
	if len(done) != len(more) {
		c.t.Fatalf("got completions %v when advanced once and %v when advanced often, want equal ones", done, more)
	}
	for i := range done {
		if done[i].ID != more[i].ID || (done[i].At-more[i].At).Abs() > time.Microsecond {
			c.t.Fatalf("got completions %v when advanced once and %v when advanced often, want equal ones", done, more)
		}
	}
	c.recordEnds(done)
	c.now = to
}

// step makes one random call to both servers.
func (c *modelCheck) step(id uint64) {
	switch rapid.IntRange(0, 5).Draw(c.t, "what") {
	case 0, 1, 2:
		work := time.Duration(rapid.IntRange(1, 900).Draw(c.t, "work")) * time.Millisecond
		expires := c.now + time.Duration(rapid.IntRange(1, 2000).Draw(c.t, "expires"))*time.Millisecond
		if c.server.Offer(c.now, id, work, expires) == Accepted {
			c.accepted = append(c.accepted, id)
		}
		c.often.Offer(c.now, id, work, expires)
	case 3:
		c.cancel()
	case 4:
		until := c.now + time.Duration(rapid.IntRange(1, 500).Draw(c.t, "pause"))*time.Millisecond
		c.server.Pause(c.now, until)
		c.often.Pause(c.now, until)
	case 5:
		by := rapid.Float64Range(1, 4).Draw(c.t, "slow")
		c.server.Slow(c.now, by)
		c.often.Slow(c.now, by)
	}
}

// cancel cancels a random accepted job at both servers.
func (c *modelCheck) cancel() {
	if len(c.accepted) == 0 {
		return
	}
	id := c.accepted[rapid.IntRange(0, len(c.accepted)-1).Draw(c.t, "which")]
	_, expired := c.server.Cancel(c.now, id)
	c.often.Cancel(c.now, id)
	c.recordEnds(expired)
	if _, ok := c.ended[id]; !ok {
		c.ended[id] = c.now
	}
	delete(c.held, id)
}

// release releases the slots of those ended jobs for which choose returns true.
func (c *modelCheck) release(choose func() bool) {
	for _, id := range slices.Sorted(maps.Keys(c.held)) {
		if c.held[id] && choose() {
			c.recordEnds(c.server.Release(c.now, id))
			c.often.Release(c.now, id)
			delete(c.held, id)
		}
	}
}
