package emulator

import (
	"container/heap"
	"time"
)

// Admission is the result of offering a job to a server.
type Admission int

// The results of Offer and AddOverhead.
const (
	Accepted  Admission = iota // the job has a slot or waits for one
	Rejected                   // slots and queue are full, or the server has collapsed earlier; the job doesn't run
	Collapsed                  // the job overloaded the cold server, which has collapsed and discarded all of its jobs
)

// Offer offers a job with its work. expires is the time from which nobody waits for the job, or 0 for never. The caller chooses the ID,
// which must be unique among the jobs of the server. As with all calls, the caller must first advance the server to the same time, or
// completions will be late.
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

// AddOverhead adds work that needs no slot and has no completion, such as a handshake or a health check.
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

// Release removes a job whose work has ended, and frees its slot. It returns the jobs found expired in the queue when the slot became
// free.
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

// Resume gives more work to a job whose work has ended and which still has its slot.
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

// Cancel cancels a job. A job that waits is removed. A job in work is removed if Spec.CancelStopsWork is set; otherwise its work
// continues although nobody waits for the result, and stopped is false. Cancel also returns the jobs found expired in the queue when
// the slot became free.
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

// usedSlots returns the number of jobs that have a slot.
func (s *Server) usedSlots() int { return len(s.jobs) - s.queuedJobs }

// begin starts the work of a job that has a slot.
func (s *Server) begin(job *job) {
	job.state = working
	job.finish = s.attained + job.work
	heap.Push(&s.running, job)
}

// remove removes a job, and gives its slot to the job that has waited longest. Jobs that expired while they waited are added to done.
func (s *Server) remove(j *job, done *[]Completion) {
	delete(s.jobs, j.id)
	for s.usedSlots() < s.spec.Slots && s.queuedJobs > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if s.jobs[next.id] != next {
			continue // the job was cancelled while it waited
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

// compactQueue removes cancelled jobs from the queue once they outnumber the others. 8 more are allowed, so that short queues are not
// copied each time.
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

// WorkDone returns how much of a job's work is done, counted since its latest Offer or Resume.
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

// Jobs returns the number of jobs in slots and in the queue.
func (s *Server) Jobs() int { return len(s.jobs) }

// QueueLength returns the number of jobs that wait for a slot.
func (s *Server) QueueLength() int { return s.queuedJobs }
