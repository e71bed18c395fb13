//! A dedicated thread for blocking work: syncs, and reads of bodies that are not in memory.
//!
//! All synchronization between threads is in this file, on the primitives of [`super::sync`]. The
//! tests compile this file unchanged against a model checker's primitives, which explores the
//! interleavings (`tests/orders.rs`).

use super::sync::{thread, Arc, Condvar, Mutex, MutexGuard};
use std::collections::VecDeque;
use std::future::{pending, Future};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::Pin;
use std::sync::PoisonError;
use std::task::{Context, Poll, Waker};

type Job = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct JobQueue {
    jobs: VecDeque<Job>,
    /// Whether the [`Worker`] was dropped, so that no more jobs are added.
    closed: bool,
    /// Whether the thread has stopped accepting jobs.
    ended: bool,
}

struct Shared {
    queue: Mutex<JobQueue>,
    changed: Condvar,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Waits for the next job. Returns `None` once all jobs are done and the queue is closed.
    fn next(&self) -> Option<Job> {
        let mut queue = lock(&self.queue);
        loop {
            if let Some(job) = queue.jobs.pop_front() {
                return Some(job);
            }
            if queue.closed {
                return None;
            }
            queue = self
                .changed
                .wait(queue)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Runs jobs until there are no more, or one panics.
    fn work(&self) {
        while let Some(job) = self.next() {
            if catch_unwind(AssertUnwindSafe(job)).is_err() {
                break;
            }
        }
        let left = {
            let mut queue = lock(&self.queue);
            queue.ended = true;
            std::mem::take(&mut queue.jobs)
        };
        // Dropping a job wakes the task that waits for it.
        drop(left);
    }
}

/// Handle to the thread, which ends when the handle is dropped and all jobs are done, or when a
/// job panics.
pub struct Worker {
    shared: Arc<Shared>,
}

impl Worker {
    /// Starts the thread.
    ///
    /// # Errors
    /// The operating system cannot create a thread.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared {
            queue: Mutex::new(JobQueue::default()),
            changed: Condvar::new(),
        });
        let on_thread = shared.clone();
        thread::Builder::new()
            .name("store".into())
            .spawn(move || on_thread.work())?;
        Ok(Worker { shared })
    }

    /// Runs a job on the thread, after all jobs submitted before it. Dropping the handle does not
    /// cancel the job.
    pub fn run<T: Send + 'static>(
        &self,
        work: impl FnOnce() -> T + Send + 'static,
    ) -> JobHandle<T> {
        let state = Arc::new(Mutex::new(JobState::Pending(None)));
        let completion = JobCompletion(state.clone());
        let job: Job = Box::new(move || completion.set(JobState::Done(work())));
        let rejected = {
            let mut queue = lock(&self.shared.queue);
            match queue.ended {
                true => Some(job),
                false => {
                    queue.jobs.push_back(job);
                    None
                }
            }
        };
        // Outside the lock, since dropping a job wakes the task that waits for it.
        drop(rejected);
        self.shared.changed.notify_one();
        JobHandle(state)
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        lock(&self.shared.queue).closed = true;
        self.shared.changed.notify_one();
    }
}

enum JobState<T> {
    /// Not done yet, with the waker of the waiting task.
    Pending(Option<Waker>),
    Done(T),
    /// The result will never arrive, or was taken already.
    Gone,
}

/// The thread's side of a job. If it is dropped before it is set, the job will never be done.
struct JobCompletion<T>(Arc<Mutex<JobState<T>>>);

impl<T> JobCompletion<T> {
    fn set(&self, end: JobState<T>) {
        let mut state = lock(&self.0);
        if !matches!(*state, JobState::Pending(_)) {
            return;
        }
        if let JobState::Pending(Some(waker)) = std::mem::replace(&mut *state, end) {
            drop(state);
            waker.wake();
        }
    }
}

impl<T> Drop for JobCompletion<T> {
    fn drop(&mut self) {
        self.set(JobState::Gone);
    }
}

/// Future of a job's result. It fails if the thread ended without finishing the job.
#[must_use]
pub struct JobHandle<T>(Arc<Mutex<JobState<T>>>);

impl<T> Future for JobHandle<T> {
    type Output = io::Result<T>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let mut state = lock(&self.0);
        match std::mem::replace(&mut *state, JobState::Gone) {
            JobState::Pending(_) => {
                *state = JobState::Pending(Some(cx.waker().clone()));
                Poll::Pending
            }
            JobState::Done(done) => Poll::Ready(Ok(done)),
            JobState::Gone => Poll::Ready(Err(io::Error::other("the store's thread has ended"))),
        }
    }
}

/// A resource that is moved to the thread for each job and back afterwards.
pub struct Offloaded<K, J, R> {
    worker: Worker,
    work: fn(&mut K, &J) -> R,
    /// The resource, if no job is running.
    idle: Option<K>,
    running: Option<JobHandle<(K, J, R)>>,
}

impl<K: Send + 'static, J: Send + 'static, R: Send + 'static> Offloaded<K, J, R> {
    /// Creates an idle resource. The thread calls `work` with it for each job.
    pub fn new(worker: Worker, resource: K, work: fn(&mut K, &J) -> R) -> Self {
        Offloaded {
            worker,
            work,
            idle: Some(resource),
            running: None,
        }
    }

    /// Returns the resource, if no job is running.
    pub fn idle(&self) -> Option<&K> {
        self.idle.as_ref()
    }

    /// Starts a job.
    ///
    /// # Errors
    /// Another job is running; the new job is returned.
    pub fn start_job(&mut self, job: J) -> Result<(), J> {
        let Some(mut resource) = self.idle.take() else {
            return Err(job);
        };
        let work = self.work;
        self.running = Some(self.worker.run(move || {
            let result = work(&mut resource, &job);
            (resource, job, result)
        }));
        Ok(())
    }

    /// Waits until the running job is done and returns the job with its result. Without a running
    /// job it never returns. This method is cancel safe: if the future is dropped, the next call
    /// waits for the same job.
    ///
    /// # Errors
    /// The thread has ended. All later calls fail as well.
    pub async fn finished(&mut self) -> io::Result<(J, R)> {
        let Some(running) = &mut self.running else {
            return pending().await;
        };
        let (resource, job, result) = running.await?;
        self.idle = Some(resource);
        self.running = None;
        Ok((job, result))
    }
}
