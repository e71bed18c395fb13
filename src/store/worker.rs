//! A thread of its own for what blocks: syncs, and reads of bodies that are not in memory.

use std::io;
use std::sync::mpsc::{channel, Sender};
use std::thread;

type Job = Box<dyn FnOnce() + Send>;

/// The thread. It ends when this is dropped and its jobs are done.
pub struct Worker {
    jobs: Sender<Job>,
}

impl Worker {
    /// Starts it.
    pub fn start() -> io::Result<Self> {
        let (jobs, todo) = channel::<Job>();
        let run = move || todo.into_iter().for_each(|job| job());
        thread::Builder::new().name("store".into()).spawn(run)?;
        Ok(Worker { jobs })
    }

    /// Does some work there and waits for it.
    pub async fn run<T: Send + 'static>(&self, work: impl FnOnce() -> T + Send + 'static) -> io::Result<T> {
        let (done, result) = async_channel::bounded(1);
        let job: Job = Box::new(move || drop(done.try_send(work())));
        let lost = |_| io::Error::other("the store's thread has ended");
        self.jobs.send(job).map_err(|_| lost(()))?;
        result.recv().await.map_err(|_| lost(()))
    }
}
