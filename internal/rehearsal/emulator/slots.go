package emulator

import (
	"container/heap"
	"time"
)

// Admission is the answer of a server to a job that it is offered.
type Admission int

// The answers of a server.
const (
	Accepted  Admission = iota
	Rejected            // slots and queue are full: nothing of the job will run
	Collapsed           // it was too much for a cold server, which has collapsed with all that it held
)

// Offer offers a job with its work. expires is when nobody waits for it any more; 0 for never. The caller chooses the id, which no other
// job may have at the same time. As for all calls, the caller advances the server to the same time first, or completions are late.
func (s *Server) Offer(now time.Duration, id uint64, work, expires time.Duration) Admission {
	s.advanceReports(now)
	if s.collapsed {
		return Rejected
	}
	if s.overloads(work.Seconds()) {
		s.collapse()
		return Collapsed
	}
	if s.usedSlots() >= s.spec.Slots && s.queuedJobs >= s.spec.Queue {
		return Rejected
	}
	s.order++
	j := &job{id: id, work: work.Seconds(), order: s.order, expires: expires}
	free := s.usedSlots() < s.spec.Slots
	s.jobs[id] = j
	if free {
		s.begin(j)
	} else {
		j.state = queued
		s.queue = append(s.queue, j)
		s.queuedJobs++
	}
	s.updateCongestion()
	return Accepted
}

// AddOverhead gives the server work that is no job: a handshake or a health check.
func (s *Server) AddOverhead(now time.Duration, work time.Duration) Admission {
	s.advanceReports(now)
	if s.collapsed || work <= 0 {
		return Accepted
	}
	if s.overloads(work.Seconds()) {
		s.collapse()
		return Collapsed
	}
	s.order++
	heap.Push(&s.running, &job{work: work.Seconds(), order: s.order, state: overhead, finish: s.attained + work.Seconds()})
	s.updateCongestion()
	return Accepted
}

// Release removes a job whose work has ended, and frees its slot. It returns the jobs that expired in the queue.
func (s *Server) Release(now time.Duration, id uint64) []Completion {
	s.advanceReports(now)
	job := s.jobs[id]
	if job == nil || job.state != blocked {
		return nil
	}
	var done []Completion
	s.remove(job, &done)
	s.updateCongestion()
	return done
}

// Resume gives more work to a job whose work has ended, and that has kept its slot.
func (s *Server) Resume(now time.Duration, id uint64, work time.Duration) {
	s.advanceReports(now)
	job := s.jobs[id]
	if job == nil || job.state != blocked {
		return
	}
	job.work = work.Seconds()
	s.begin(job)
	s.updateCongestion()
}

// Cancel cancels a job. One that waits is removed. One in work is removed if the spec says that a cancel stops work; otherwise it goes on
// for nobody, and stopped is false. Cancel also returns the jobs that expired in the queue as the slot became free.
func (s *Server) Cancel(now time.Duration, id uint64) (stopped bool, expired []Completion) {
	s.advanceReports(now)
	job := s.jobs[id]
	if job == nil {
		return true, nil
	}
	switch job.state {
	case queued:
		s.queuedJobs--
		delete(s.jobs, id)
		s.compactQueue()
	case blocked:
		s.remove(job, &expired)
	case working:
		if !s.spec.CancelStopsWork {
			job.state = orphaned
			return false, nil
		}
		heap.Remove(&s.running, job.heapIndex)
		s.remove(job, &expired)
	case orphaned:
		return false, nil
	}
	s.updateCongestion()
	return true, expired
}

// usedSlots returns how many jobs have a slot.
func (s *Server) usedSlots() int { return len(s.jobs) - s.queuedJobs }

// begin puts a job that has a slot on the cores.
func (s *Server) begin(job *job) {
	job.state = working
	job.finish = s.attained + job.work
	heap.Push(&s.running, job)
}

// remove removes a job, and gives its slot to the one that has waited longest. Jobs that expired meanwhile are added to done.
func (s *Server) remove(j *job, done *[]Completion) {
	delete(s.jobs, j.id)
	for s.usedSlots() < s.spec.Slots && s.queuedJobs > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if s.jobs[next.id] != next {
			continue // cancelled in the queue
		}
		s.queuedJobs--
		if s.spec.DropsExpired && next.expires > 0 && s.now >= next.expires {
			delete(s.jobs, next.id)
			if done != nil {
				*done = append(*done, Completion{ID: next.id, At: s.now, Expired: true})
			}
			continue
		}
		s.begin(next)
	}
}

// compactQueue drops cancelled jobs from the queue, once they are the larger part of it.
func (s *Server) compactQueue() {
	if len(s.queue) <= 2*s.queuedJobs+8 {
		return
	}
	kept := make([]*job, 0, s.queuedJobs)
	for _, j := range s.queue {
		if s.jobs[j.id] == j {
			kept = append(kept, j)
		}
	}
	s.queue = kept
}

// WorkDone returns how much is done of the work that a job was offered or resumed with last.
func (s *Server) WorkDone(id uint64) time.Duration {
	job := s.jobs[id]
	switch {
	case job == nil || job.state == queued:
		return 0
	case job.state == blocked:
		return time.Duration(job.work * 1e9)
	}
	return time.Duration(max(0, min(job.work, job.work-(job.finish-s.attained))) * 1e9)
}

// Jobs returns how many jobs the server holds, in slots and in the queue.
func (s *Server) Jobs() int { return len(s.jobs) }

// QueueLength returns how many jobs wait for a slot.
func (s *Server) QueueLength() int { return s.queuedJobs }
