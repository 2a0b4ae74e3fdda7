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

// play sends jobs to a server with exponential gaps, and returns how many seconds each took.
func play(
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
			tb.Fatal("turned away")
		}
		arrived[uint64(i)] = now
	}
	end = now
	until(now + time.Hour)
	if len(took) != jobs || s.Jobs() != 0 {
		tb.Fatalf("%d of %d jobs ended, %d held", len(took), jobs, s.Jobs())
	}
	return took, s, end
}

// erlangC is the chance that a job has to wait in M/M/c (Gross and Harris, section 2.3).
func erlangC(c int, a float64) float64 {
	term, sum := 1.0, 0.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	last := term / (1 - a/float64(c))
	return last / (sum + last)
}

// With as many slots as cores a server is M/M/c: mean time in the system as the formula has it, within 4%, and busy
// cores as the utilization law has them, within 2%.
func TestAgainstMMc(t *testing.T) {
	for _, c := range []struct {
		cores int
		load  float64
	}{{1, 0.5}, {2, 0.7}, {8, 0.9}} {
		const mean = 100 * time.Millisecond
		perSecond := c.load * float64(c.cores) / mean.Seconds()
		a := perSecond * mean.Seconds()
		want := mean.Seconds() + erlangC(c.cores, a)/(float64(c.cores)/mean.Seconds()-perSecond)
		took, s, end := play(t, Spec{Cores: c.cores, Speed: 1, Slots: c.cores, Queue: 1 << 20, ColdShare: 1}, perSecond,
			WorkDistribution{mean, Exponential, 0}, 200_000, 1)
		if got := stat.Mean(took, nil); math.Abs(got/want-1) > 0.04 {
			t.Errorf("M/M/%d at %v: %.4f s in the system, want %.4f", c.cores, c.load, got, want)
		}
		if util := s.BusyTime().Seconds() / end.Seconds() / float64(c.cores); math.Abs(util/c.load-1) > 0.02 {
			t.Errorf("M/M/%d: %.3f of the cores busy, want %v", c.cores, util, c.load)
		}
	}
}

// With slots for all, jobs share the core: the mean time in the system of M/G/1-PS depends on the mean work alone.
func TestAgainstProcessorSharing(t *testing.T) {
	for _, w := range []WorkDistribution{{Shape: Exponential}, {Shape: Fixed}, {Shape: Lognormal, CV: 1.5}} {
		w.Mean = 50 * time.Millisecond
		const load = 0.6
		took, _, _ := play(t, Spec{Cores: 1, Speed: 1, Slots: 1 << 20, ColdShare: 1}, load/w.Mean.Seconds(), w, 200_000, 2)
		want := w.Mean.Seconds() / (1 - load)
		if got := stat.Mean(took, nil); math.Abs(got/want-1) > 0.05 {
			t.Errorf("%s: %.4f s in the system, want %.4f", w.Shape, got, want)
		}
	}
}

// Draws have the mean and the spread that they are asked for.
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
			t.Errorf("%s: mean %.4f, cv %.3f, want 0.1 and %v", w.Shape, mean, sd/mean, cv)
		}
	}
	if d := (WorkDistribution{Mean: second, Shape: Lognormal}).Draw(RandomSource(1, "")); d != second {
		t.Errorf("without a spread: %v", d)
	}
}

// The capacity of a cold server rises evenly: the work done while it warms up is the area under that.
func TestWarmingUp(t *testing.T) {
	spec := Spec{Cores: 1, Speed: 2, Slots: 1, Queue: 10, ColdShare: 0.3, WarmUp: 10 * second}
	s := NewServer(spec, 5*second, true)
	s.Advance(5 * second)
	// 2 * (0.3*4 + 0.07*16/2) = 3.52 s of work take 4 s.
	s.Offer(5*second, 1, 3520*time.Millisecond, 0)
	if next, ok := s.Next(); !ok || (next-9*second).Abs() > time.Microsecond {
		t.Errorf("ends at %v", next)
	}
	if done := s.Advance(9*second + time.Microsecond); len(done) != 1 {
		t.Errorf("done: %v", done)
	}
	s.Release(9*second+time.Microsecond, 1)
	if c := s.Capacity(); math.Abs(c-2*0.58) > 1e-3 {
		t.Errorf("capacity %v", c)
	}
	// From 14 s on into the warm time: 2*(0.93+1)/2*1 + 2*1.
	s.Advance(14 * second)
	s.Offer(14*second, 2, 3930*time.Millisecond, 0)
	if next, _ := s.Next(); (next - 16*second).Abs() > time.Microsecond {
		t.Errorf("ends at %v", next)
	}
}

// A cold server that is sent more than the multiple of its capacity collapses and stays down; a warm one does not, nor does a cold one
// that is sent as much over a longer time.
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
		t.Error("stands")
	}
	if send(false, 10*time.Millisecond).Collapsed() || send(true, 60*time.Millisecond).Collapsed() {
		t.Error("fell")
	}
	s := NewServer(spec, 0, true)
	if s.Offer(0, 1, time.Hour, 0) != Accepted {
		t.Error("one job alone tips it")
	}
}

func TestQueueRejectsAndExpires(t *testing.T) {
	s := NewServer(Spec{Cores: 1, Speed: 1, Slots: 1, Queue: 2, ColdShare: 1, DropsExpired: true}, 0, false)
	for i, want := range []Admission{Accepted, Accepted, Accepted, Rejected} {
		if got := s.Offer(0, uint64(i), second, 1500*time.Millisecond); got != want {
			t.Errorf("%d: %v", i, got)
		}
	}
	done := s.Advance(second)
	if len(done) != 1 || done[0] != (Completion{ID: 0, At: second}) {
		t.Fatal(done)
	}
	if s.Release(second, 0) != nil || s.QueueLength() != 1 {
		t.Error("the next one is not in work")
	}
	if done = s.Advance(2 * second); len(done) != 1 || done[0].ID != 1 {
		t.Fatal(done)
	}
	if done = s.Release(2*second, 1); len(done) != 1 || done[0] != (Completion{2, 2 * second, true}) || s.Jobs() != 0 {
		t.Errorf("expired: %v, %d held", done, s.Jobs())
	}
}

// A cancel drops a job that waits; work in progress stops or goes on, as the spec says.
func TestCancel(t *testing.T) {
	for _, stops := range []bool{false, true} {
		s := NewServer(Spec{Cores: 1, Speed: 1, Slots: 1, Queue: 5, ColdShare: 1, CancelStopsWork: stops}, 0, false)
		for i := range 3 {
			s.Offer(0, uint64(i), second, 0)
		}
		if stopped, _ := s.Cancel(0, 1); !stopped {
			t.Error("waiting work goes on")
		}
		if stopped, _ := s.Cancel(500*time.Millisecond, 0); stopped != stops {
			t.Errorf("stopped %v, want %v", stopped, stops)
		}
		// The last one begins at 0.5 s, or when the work for nobody has ended.
		want := 1500 * time.Millisecond
		if !stops {
			want = 2 * second
		}
		if done := s.Advance(10 * second); len(done) != 1 || done[0].ID != 2 || (done[0].At-want).Abs() > time.Microsecond {
			t.Errorf("stops %v: %v", stops, done)
		}
	}
}

// A job that waits for the next tier keeps its slot and no core.
func TestWaitingForTheNextTier(t *testing.T) {
	s := NewServer(Spec{Cores: 1, Speed: 1, Slots: 2, Queue: 5, ColdShare: 1}, 0, false)
	for i := range 3 {
		s.Offer(0, uint64(i), second, 0)
	}
	done := s.Advance(2 * second) // two share the core
	if len(done) != 2 || s.QueueLength() != 1 {
		t.Fatalf("%v, %d wait", done, s.QueueLength())
	}
	s.Advance(5 * second)
	s.Resume(5*second, 0, second)
	if done = s.Advance(6 * second); len(done) != 1 || done[0].ID != 0 {
		t.Fatal(done)
	}
	s.Release(6*second, 0)
	if s.QueueLength() != 0 || s.Jobs() != 2 {
		t.Errorf("%d wait, %d held", s.QueueLength(), s.Jobs())
	}
	if stopped, _ := s.Cancel(6*second, 1); !stopped || s.Jobs() != 1 {
		t.Error("one that waits for others cannot be cancelled")
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
		t.Error(done)
	}
}

// A server that is crowded for too long is congested until it has recovered.
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
	// 1 s at full speed, the other 4 s of work at half.
	done := s.Advance(60 * second)
	if len(done) != 5 || (done[0].At-9*second).Abs() > time.Microsecond || s.Congestions() != 1 {
		t.Fatalf("%v, %d chokes", done, s.Congestions())
	}
	if c := s.Capacity(); c != 1 {
		t.Errorf("capacity %v after its rest", c)
	}
	s = NewServer(spec, 0, false)
	for i := range 4 {
		s.Offer(0, uint64(i), second, 0)
	}
	if s.Advance(60 * second); s.Congestions() != 0 {
		t.Error("choked below its bound")
	}
}

func TestThrashing(t *testing.T) {
	s := NewServer(Spec{Cores: 1, Speed: 1, Slots: 100, ColdShare: 1, Thrash: 0.5, ThrashAt: 2}, 0, false)
	for i := range 4 {
		s.Offer(0, uint64(i), second, 0)
	}
	// Four held: 1 - 0.5*(4-2)/2 of its speed.
	if done := s.Advance(60 * second); len(done) != 4 || (done[0].At-8*second).Abs() > time.Microsecond {
		t.Error(done)
	}
}

// A report is seen after its delay, and its utilization is that of the period before it.
func TestReports(t *testing.T) {
	s := NewServer(Spec{
		Cores: 2, Speed: 1, Slots: 2, Queue: 9, ColdShare: 1,
		ReportEvery: 100 * time.Millisecond, ReportDelay: 50 * time.Millisecond,
	}, 0, false)
	s.Advance(120 * time.Millisecond)
	if _, ok := s.LoadReport(); ok {
		t.Error("seen too early")
	}
	for i := range 3 {
		s.Offer(120*time.Millisecond, uint64(i), second, 0)
	}
	s.Advance(240 * time.Millisecond)
	if r, ok := s.LoadReport(); !ok || r != (LoadReport{}) {
		t.Errorf("%v %v", r, ok)
	}
	s.Advance(260 * time.Millisecond)
	if r, _ := s.LoadReport(); r.InFlight != 3 || r.Queued != 1 || math.Abs(r.Utilization-0.8) > 1e-6 {
		t.Errorf("%+v", r)
	}
}

func TestKeyMemory(t *testing.T) {
	memory := KeyMemory{Window: 10 * second}
	for i, c := range []struct {
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
		if got := memory.Execute(c.at, c.key); got != c.want {
			t.Errorf("%d: %v", i, got)
		}
	}
	for i := range 2 * maxKeys {
		memory.Execute(12*second, fmt.Sprint(i))
	}
	if len(memory.executedAt) > maxKeys || len(memory.order) > maxKeys {
		t.Errorf("%d keys", len(memory.executedAt))
	}
}

// Whatever is done to a server: no slot is lost, no job ends twice, no job stays for ever, and advancing it more often changes
// nothing.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := drawSpec(t)
		cold := rapid.Bool().Draw(t, "starts cold")
		c := &modelCheck{
			t: t, server: NewServer(spec, 0, cold), often: NewServer(spec, 0, cold),
			ended: map[uint64]time.Duration{}, held: map[uint64]bool{},
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			// Never at a whole millisecond, at which a job may end: rounding would tell on which side of it.
			c.advance(c.now + time.Duration(rapid.IntRange(0, 800).Draw(t, "ms"))*time.Millisecond + 1371)
			c.step(uint64(i))
			c.release(func() bool { return rapid.Bool().Draw(t, "release") })
			s := c.server
			if s.usedSlots() > spec.Slots || s.QueueLength() > spec.Queue || s.Jobs() != s.usedSlots()+s.QueueLength() {
				t.Fatalf("%d in slots, %d wait", s.usedSlots(), s.QueueLength())
			}
		}
		for range 40 {
			c.advance(c.now + 3*second)
			c.release(func() bool { return true })
			clear(c.held)
		}
		if jobs := c.server.Jobs(); jobs != 0 {
			t.Fatalf("%d held at the end", jobs)
		}
		for _, id := range c.accepted {
			if _, ok := c.ended[id]; !ok {
				t.Fatalf("%d never ended", id)
			}
		}
	})
}

// drawSpec draws a server in which all can happen but a collapse.
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

// modelCheck does the same to two servers, of which one is advanced more often.
type modelCheck struct {
	t             *rapid.T
	server, often *Server
	now           time.Duration
	ended         map[uint64]time.Duration
	held          map[uint64]bool // jobs that have ended and keep their slot; false if they expired
	accepted      []uint64
}

// settle records jobs that have ended.
func (c *modelCheck) settle(done []Completion) {
	for _, d := range done {
		if _, ok := c.ended[d.ID]; ok {
			c.t.Fatalf("%d ends twice", d.ID)
		}
		c.ended[d.ID] = d.At
		c.held[d.ID] = !d.Expired
	}
}

// advance brings both servers up to a time, and compares which jobs have ended.
func (c *modelCheck) advance(to time.Duration) {
	var more []Completion
	for at := c.now; at < to; at += 31 * time.Millisecond {
		more = append(more, c.often.Advance(at)...)
	}
	more = append(more, c.often.Advance(to)...)
	done := c.server.Advance(to)
	if len(done) != len(more) {
		c.t.Fatalf("looked at once: %v, often: %v", done, more)
	}
	for i := range done {
		if done[i].ID != more[i].ID || (done[i].At-more[i].At).Abs() > time.Microsecond {
			c.t.Fatalf("looked at once: %v, often: %v", done, more)
		}
	}
	c.settle(done)
	c.now = to
}

// step does one thing to both.
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

// cancel cancels one of the jobs that were accepted.
func (c *modelCheck) cancel() {
	if len(c.accepted) == 0 {
		return
	}
	id := c.accepted[rapid.IntRange(0, len(c.accepted)-1).Draw(c.t, "which")]
	_, expired := c.server.Cancel(c.now, id)
	c.often.Cancel(c.now, id)
	c.settle(expired)
	if _, ok := c.ended[id]; !ok {
		c.ended[id] = c.now
	}
	delete(c.held, id)
}

// release releases the slots of those jobs that have ended, and are chosen.
func (c *modelCheck) release(choose func() bool) {
	for _, id := range slices.Sorted(maps.Keys(c.held)) {
		if c.held[id] && choose() {
			c.settle(c.server.Release(c.now, id))
			c.often.Release(c.now, id)
			delete(c.held, id)
		}
	}
}
