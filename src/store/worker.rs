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
    pub fn run<T: Send + 'static>(&self, work: impl FnOnce() -> T + Send + 'static) -> Outcome<T> {
        let slot = Arc::new(Mutex::new(Slot::Open(None)));
        let promise = Promise(slot.clone());
        let job: Job = Box::new(move || promise.put(Slot::Done(work())));
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
        Outcome(slot)
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        lock(&self.shared.queue).closed = true;
        self.shared.more.notify_one();
    }
}

enum Slot<T> {
    /// Who is to be woken.
    Open(Option<Waker>),
    Done(T),
    /// It never comes, or has been taken.
    Gone,
}

/// The side of the one that works: kept, or broken when it is dropped.
struct Promise<T>(Arc<Mutex<Slot<T>>>);

impl<T> Promise<T> {
    fn put(&self, what: Slot<T>) {
        let mut slot = lock(&self.0);
        if !matches!(*slot, Slot::Open(_)) {
            return;
        }
        if let Slot::Open(Some(waker)) = std::mem::replace(&mut *slot, what) {
            drop(slot);
            waker.wake();
        }
    }
}

impl<T> Drop for Promise<T> {
    fn drop(&mut self) {
        self.put(Slot::Gone);
    }
}

/// What comes of a job. It fails when the thread has ended without doing it.
#[must_use]
pub struct Outcome<T>(Arc<Mutex<Slot<T>>>);

impl<T> Future for Outcome<T> {
    type Output = io::Result<T>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let mut slot = lock(&self.0);
        match std::mem::replace(&mut *slot, Slot::Gone) {
            Slot::Open(_) => {
                *slot = Slot::Open(Some(cx.waker().clone()));
                Poll::Pending
            }
            Slot::Done(done) => Poll::Ready(Ok(done)),
            Slot::Gone => Poll::Ready(Err(io::Error::other("the store's thread has ended"))),
        }
    }
}

/// Something that is lent to the thread with one piece of work after another, and is either here or
/// there.
pub struct Lent<K, J, R> {
    worker: Worker,
    work: fn(&mut K, &J) -> R,
    here: Option<K>,
    out: Option<Outcome<(K, J, R)>>,
}

impl<K: Send + 'static, J: Send + 'static, R: Send + 'static> Lent<K, J, R> {
    /// It is here; `work` is what the thread does with it.
    pub fn new(worker: Worker, thing: K, work: fn(&mut K, &J) -> R) -> Self {
        Lent {
            worker,
            work,
            here: Some(thing),
            out: None,
        }
    }

    /// What is lent, where it is here.
    pub fn here(&self) -> Option<&K> {
        self.here.as_ref()
    }

    /// Lends it with a piece of work, or gives that back where it is lent already.
    pub fn lend(&mut self, job: J) -> Result<(), J> {
        let Some(mut thing) = self.here.take() else {
            return Err(job);
        };
        let work = self.work;
        self.out = Some(self.worker.run(move || {
            let came = work(&mut thing, &job);
            (thing, job, came)
        }));
        Ok(())
    }

    /// Waits until it is back, for ever where it is not lent; gives the piece of work and what came
    /// of it. Dropped while it waits, it loses nothing: the next call waits for the same. Fails,
    /// also each time after, when the thread has ended.
    pub async fn back(&mut self) -> io::Result<(J, R)> {
        let Some(out) = &mut self.out else {
            return pending().await;
        };
        let (thing, job, came) = out.await?;
        (self.here, self.out) = (Some(thing), None);
        Ok((job, came))
    }
}
