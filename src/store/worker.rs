//! A thread of its own for what blocks: syncs, and reads of bodies that are not in memory.
//!
//! All that threads share by hand is in this file, on the primitives of [`super::sync`]. The tests
//! run it as it stands on those of a model checker that plays all orders (`tests/orders.rs`).

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
    /// Nobody brings more.
    closed: bool,
    /// The thread takes no more.
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
    /// The next job; none, when all are done and nobody brings more.
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

    /// Does jobs until there are no more, or one panics.
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
        // Dropping a job wakes who waits for it.
        drop(left);
    }
}

/// The thread. It ends when this is dropped and its jobs are done, or when one of them panics.
pub struct Worker {
    shared: Arc<Shared>,
}

impl Worker {
    /// Starts it.
    ///
    /// # Errors
    /// The system gives no thread.
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

    /// Has some work done there, after all that was brought before. Dropping the handle does not
    /// stop the work.
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
        // Outside the lock: dropping a job wakes who waits for it.
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
    /// Not done yet; who is to be woken.
    Pending(Option<Waker>),
    Done(T),
    /// It never comes, or has been taken.
    Gone,
}

/// The thread's side of a job: when it is dropped unset, the job will never be done.
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

/// Waits for what a job gives. It fails when the thread has ended without doing it.
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

/// A resource that the thread uses for one job after another; between jobs it is here.
pub struct Offloaded<K, J, R> {
    worker: Worker,
    work: fn(&mut K, &J) -> R,
    /// The resource, while no job runs.
    idle: Option<K>,
    running: Option<JobHandle<(K, J, R)>>,
}

impl<K: Send + 'static, J: Send + 'static, R: Send + 'static> Offloaded<K, J, R> {
    /// No job runs; `work` is what the thread does with the resource for one.
    pub fn new(worker: Worker, resource: K, work: fn(&mut K, &J) -> R) -> Self {
        Offloaded {
            worker,
            work,
            idle: Some(resource),
            running: None,
        }
    }

    /// The resource, where no job runs.
    pub fn idle(&self) -> Option<&K> {
        self.idle.as_ref()
    }

    /// Starts a job.
    ///
    /// # Errors
    /// Another one runs: the job is given back.
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

    /// Waits until the job is done, for ever where none runs; gives the job and what came of it.
    /// Dropped while it waits, it loses nothing: the next call waits for the same.
    ///
    /// # Errors
    /// The thread has ended; then also each time after.
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
