//! A thread of its own for what blocks: syncs, and reads of bodies that are not in memory.
//!
//! All that threads share by hand is in this file, on the primitives of [`super::sync`]. The tests
//! run it as it stands on those of a checker that plays all orders.

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
struct Queue {
    jobs: VecDeque<Job>,
    /// Nobody brings more.
    closed: bool,
    /// Nobody takes any.
    ended: bool,
}

struct Shared {
    queue: Mutex<Queue>,
    more: Condvar,
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
                .more
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
        // Who waits for one of these is told.
        drop(left);
    }
}

/// The thread. It ends when this is dropped and its jobs are done, or when one of them panics.
pub struct Worker {
    shared: Arc<Shared>,
}

impl Worker {
    /// Starts it.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared {
            queue: Mutex::new(Queue::default()),
            more: Condvar::new(),
        });
        let works = shared.clone();
        thread::Builder::new()
            .name("store".into())
            .spawn(move || works.work())?;
        Ok(Worker { shared })
    }

    /// Has some work done there, after all that was brought before. Dropping what comes of it does
    /// not stop the work.
    pub fn run<T: Send + 'static>(
        &self,
        work: impl FnOnce() -> T + Send + 'static,
    ) -> JobHandle<T> {
        let slot = Arc::new(Mutex::new(JobState::Open(None)));
        let promise = JobCompletion(slot.clone());
        let job: Job = Box::new(move || promise.put(JobState::Done(work())));
        let refused = {
            let mut queue = lock(&self.shared.queue);
            match queue.ended {
                true => Some(job),
                false => {
                    queue.jobs.push_back(job);
                    None
                }
            }
        };
        drop(refused);
        self.shared.more.notify_one();
        JobHandle(slot)
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        lock(&self.shared.queue).closed = true;
        self.shared.more.notify_one();
    }
}

enum JobState<T> {
    /// Who is to be woken.
    Open(Option<Waker>),
    Done(T),
    /// It never comes, or has been taken.
    Gone,
}

/// The side of the one that works: kept, or broken when it is dropped.
struct JobCompletion<T>(Arc<Mutex<JobState<T>>>);

impl<T> JobCompletion<T> {
    fn put(&self, what: JobState<T>) {
        let mut slot = lock(&self.0);
        if !matches!(*slot, JobState::Open(_)) {
            return;
        }
        if let JobState::Open(Some(waker)) = std::mem::replace(&mut *slot, what) {
            drop(slot);
            waker.wake();
        }
    }
}

impl<T> Drop for JobCompletion<T> {
    fn drop(&mut self) {
        self.put(JobState::Gone);
    }
}

/// What comes of a job. It fails when the thread has ended without doing it.
#[must_use]
pub struct JobHandle<T>(Arc<Mutex<JobState<T>>>);

impl<T> Future for JobHandle<T> {
    type Output = io::Result<T>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let mut slot = lock(&self.0);
        match std::mem::replace(&mut *slot, JobState::Gone) {
            JobState::Open(_) => {
                *slot = JobState::Open(Some(cx.waker().clone()));
                Poll::Pending
            }
            JobState::Done(done) => Poll::Ready(Ok(done)),
            JobState::Gone => Poll::Ready(Err(io::Error::other("the store's thread has ended"))),
        }
    }
}

/// Something that is lent to the thread with one piece of work after another, and is either here or
/// there.
pub struct Offloaded<K, J, R> {
    worker: Worker,
    work: fn(&mut K, &J) -> R,
    idle: Option<K>,
    running: Option<JobHandle<(K, J, R)>>,
}

impl<K: Send + 'static, J: Send + 'static, R: Send + 'static> Offloaded<K, J, R> {
    /// It is here; `work` is what the thread does with it.
    pub fn new(worker: Worker, thing: K, work: fn(&mut K, &J) -> R) -> Self {
        Offloaded {
            worker,
            work,
            idle: Some(thing),
            running: None,
        }
    }

    /// What is lent, where it is here.
    pub fn idle(&self) -> Option<&K> {
        self.idle.as_ref()
    }

    /// Lends it with a piece of work, or gives that back where it is lent already.
    pub fn start_job(&mut self, job: J) -> Result<(), J> {
        let Some(mut thing) = self.idle.take() else {
            return Err(job);
        };
        let work = self.work;
        self.running = Some(self.worker.run(move || {
            let came = work(&mut thing, &job);
            (thing, job, came)
        }));
        Ok(())
    }

    /// Waits until it is back, for ever where it is not lent; gives the piece of work and what came
    /// of it. Dropped while it waits, it loses nothing: the next call waits for the same. Fails,
    /// also each time after, when the thread has ended.
    pub async fn finished(&mut self) -> io::Result<(J, R)> {
        let Some(out) = &mut self.running else {
            return pending().await;
        };
        let (thing, job, came) = out.await?;
        (self.idle, self.running) = (Some(thing), None);
        Ok((job, came))
    }
}
