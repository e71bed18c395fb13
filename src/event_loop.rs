//! Runs all tasks of the process on its one thread, a few between two looks at sockets and timers.

use async_executor::LocalExecutor;
use futures_lite::{future, Future, FutureExt};

/// Tasks that run before sockets and timers are looked at again. One that always has more to do
/// would otherwise keep all others from what has come for them meanwhile.
const TASKS_PER_LOOK: u32 = 16;

/// Runs tasks until some work is done.
pub async fn run<T>(executor: &LocalExecutor<'_>, work: impl Future<Output = T>) -> T {
    let tasks = async {
        loop {
            for _ in 0..TASKS_PER_LOOK {
                executor.tick().await;
            }
            future::yield_now().await;
        }
    };
    work.or(tasks).await
}
