//! Final answers to the platform: sent again until they are heard.
//!
//! A message's time does not wait, so a new notice must not wait behind others that the platform is
//! slow to hear, or does not hear at all. Requests with new notices are few at once and short; what
//! they did not bring to the platform goes on in a request of its own, with waits that grow.

use super::discovery::Discovery;
use super::http;
use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::{Envelope, FinalAnswer, Frontend, LocalBoxFuture, Verdict, MAX_BODY_BYTES};
use crate::net::stream::Stream;
use async_channel::{Receiver, Sender};
use futures_lite::{future, FutureExt};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Requests with new notices that may be out at once; one more may be out with those that were not
/// heard.
const MAX_NEW_REQUESTS: usize = 2;
/// First and longest time that an answer is waited for. A notice is answered right away: what takes
/// longer is probably lost, and told twice, a notice does no harm.
const ANSWER_TIMEOUT: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(1000));
/// First and longest rest before notices go again.
const REST: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// Most notices in one request.
const MAX_BATCH: usize = 200;
/// What was queued for longer before it was heard is worth a line in the log.
const SLOW: Duration = Duration::from_millis(250);

/// A notice that waits to be heard.
struct Notice {
    id: String,
    line: String,
    queued_at: Instant,
    heard: Sender<()>,
}

/// Why a request did not bring its notices to the platform.
#[derive(Debug, thiserror::Error)]
enum PostError {
    #[error("answered {0}")]
    Status(u16),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("no answer in {0:?}")]
    NoAnswer(Duration),
}

/// What became of one request.
enum Posted {
    Heard,
    /// Sent again, it would be as unreadable: whoever waits is let go.
    Unreadable,
    /// The platform is at another address now.
    Moved,
    Failed(PostError),
}

/// A connection that has carried a request, and may carry another one.
type IdleConnection = (SocketAddr, Stream);

/// Notices that wait to be sent.
type Queue = (Sender<Notice>, Receiver<Notice>);

/// The way back to the platform.
pub struct Notices {
    /// Those that were not sent yet.
    new: Queue,
    /// Those that were sent and not heard.
    unheard: Queue,
    discovery: Rc<Discovery>,
    wheel: Rc<TimerWheel>,
    idle: RefCell<Vec<IdleConnection>>,
    in_flight: Cell<usize>,
}

impl Notices {
    /// Nothing is sent until [`Notices::run`] runs.
    pub fn new(discovery: Rc<Discovery>, wheel: Rc<TimerWheel>) -> Rc<Self> {
        Rc::new(Notices {
            new: async_channel::unbounded(),
            unheard: async_channel::unbounded(),
            discovery,
            wheel,
            idle: RefCell::default(),
            in_flight: Cell::default(),
        })
    }

    /// Notices that wait to be sent or heard.
    pub fn waiting(&self) -> usize {
        self.new.1.len() + self.unheard.1.len() + self.in_flight.get()
    }

    /// Sends what is queued, for ever.
    pub async fn run(&self) {
        let new: [_; MAX_NEW_REQUESTS] = std::array::from_fn(|_| self.post_new());
        let [first, second] = new;
        future::zip(future::zip(first, second), self.post_unheard()).await;
    }

    /// Sends new notices, one batch after another, each once.
    async fn post_new(&self) {
        while let Ok(first) = self.new.1.recv().await {
            let mut batch = Vec::new();
            self.add(&mut batch, first);
            self.add_queued(&mut batch, &self.new.1);
            match self.post_batch(&batch, ANSWER_TIMEOUT.0).await {
                Ok(()) => self.release(batch),
                Err(failure) => {
                    log_failure(&failure, &batch);
                    self.in_flight.set(self.in_flight.get() - batch.len());
                    for notice in batch {
                        let _ = self.unheard.0.try_send(notice);
                    }
                }
            }
        }
    }

    /// Sends again what was not heard, all of it together, until it is heard.
    async fn post_unheard(&self) {
        while let Ok(first) = self.unheard.1.recv().await {
            let mut batch = Vec::new();
            self.add(&mut batch, first);
            let (mut rest, mut answer_timeout) = (REST.0, ANSWER_TIMEOUT.0);
            loop {
                self.add_queued(&mut batch, &self.unheard.1);
                let Err(failure) = self.post_batch(&batch, answer_timeout).await else {
                    break;
                };
                log_failure(&failure, &batch);
                answer_timeout = (answer_timeout * 2).min(ANSWER_TIMEOUT.1);
                let rested = self.discovery.while_there(self.wheel.sleep(rest)).await;
                rest = rested.map_or(REST.0, |()| (rest * 2).min(REST.1));
            }
            self.release(batch);
        }
    }

    fn add(&self, batch: &mut Vec<Notice>, notice: Notice) {
        batch.push(notice);
        self.in_flight.set(self.in_flight.get() + 1);
    }

    /// Adds to a batch what is queued, as far as it has room.
    fn add_queued(&self, batch: &mut Vec<Notice>, queue: &Receiver<Notice>) {
        while batch.len() < MAX_BATCH {
            let Ok(notice) = queue.try_recv() else { return };
            self.add(batch, notice);
        }
    }

    /// Lets those go who wait for a batch to be heard.
    fn release(&self, batch: Vec<Notice>) {
        self.in_flight.set(self.in_flight.get() - batch.len());
        let (first, count) = (&batch[0], batch.len());
        let waited = first.queued_at.elapsed();
        if waited > SLOW {
            log::info!("notices: {count} from {} heard after {waited:?}", first.id);
        }
        for notice in &batch {
            let _ = notice.heard.try_send(());
        }
    }

    /// Sends a batch, wherever the platform is by then. A batch that the platform cannot read
    /// counts as heard: sent again, it would be as unreadable.
    async fn post_batch(
        &self,
        batch: &[Notice],
        mut answer_timeout: Duration,
    ) -> Result<(), PostError> {
        let body: String = batch.iter().map(|notice| notice.line.as_str()).collect();
        loop {
            match self.post_once(&body, answer_timeout).await {
                Posted::Heard => return Ok(()),
                Posted::Unreadable => {
                    log::error!("notices: not readable to the platform: {body}");
                    return Ok(());
                }
                Posted::Moved => {
                    let (first, count) = (&batch[0], batch.len());
                    log::info!("notices: {count} from {} go to the new address", first.id);
                    answer_timeout = ANSWER_TIMEOUT.0;
                }
                Posted::Failed(failure) => return Err(failure),
            }
        }
    }

    /// Sends a request, and waits for its answer for a time.
    async fn post_once(&self, body: &str, answer_timeout: Duration) -> Posted {
        let post = self.wheel.timeout(answer_timeout, self.post(body));
        let failure = match self.discovery.while_there(post).await {
            None => return Posted::Moved,
            Some(Some(Ok(204))) => return Posted::Heard,
            Some(Some(Ok(400))) => return Posted::Unreadable,
            Some(Some(Ok(status))) => PostError::Status(status),
            Some(Some(Err(e))) => e.into(),
            Some(None) => PostError::NoAnswer(answer_timeout),
        };
        if !matches!(failure, PostError::Status(_)) {
            // What became of this connection may have become of all that were kept: to find that
            // out one by one takes longer than a message has.
            self.idle.borrow_mut().clear();
        }
        Posted::Failed(failure)
    }

    async fn post(&self, body: &str) -> io::Result<u16> {
        let (address, length) = (self.discovery.address(), body.len());
        let mut stream = match self.take_idle(address) {
            Some(stream) => stream,
            None => Stream::connect(address).await?,
        };
        let request =
            format!("POST /v1/notices HTTP/1.1\r\nHost: {address}\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.send(request.as_bytes()).await?;
        let answer = http::read_response(&mut stream).await?;
        http::skip_body(&mut stream, answer.body, MAX_BODY_BYTES).await?;
        if answer.keep_alive {
            self.idle.borrow_mut().push((address, stream));
        }
        Ok(answer.status)
    }

    /// An idle connection to this address, the one used last; those that are of no use any more are
    /// closed.
    fn take_idle(&self, address: SocketAddr) -> Option<Stream> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(at, stream)| *at == address && stream.is_quiet());
        idle.pop().map(|(_, stream)| stream)
    }
}

impl Frontend for Notices {
    fn send_final_answer<'a>(
        &'a self,
        envelope: &'a Envelope,
        answer: FinalAnswer,
    ) -> LocalBoxFuture<'a, ()> {
        let Some(line) = line(&envelope.id, answer) else {
            return async {}.boxed_local();
        };
        let (heard, hears) = async_channel::bounded(1);
        let notice = Notice {
            id: envelope.id.clone(),
            line,
            queued_at: Instant::now(),
            heard,
        };
        async move {
            if self.new.0.try_send(notice).is_ok() {
                let _ = hears.recv().await;
            }
        }
        .boxed_local()
    }
}

fn log_failure(failure: &PostError, batch: &[Notice]) {
    let (first, count) = (&batch[0], batch.len());
    log::warn!("notices: {failure}; {count} from {} go again", first.id);
}

/// The line for a final answer. A delivery is known to the platform and needs none, unless the
/// platform may count it as too late; then its message has failed, and one that did not is not
/// harmed by the notice.
fn line(id: &str, answer: FinalAnswer) -> Option<String> {
    let notice = match answer.verdict {
        Verdict::Delivered if !answer.crosses_end => return None,
        Verdict::Delivered | Verdict::Undeliverable => json!({"id": id, "status": "undeliverable"}),
        Verdict::Deferred { retry_after_ms: 0 } => json!({"id": id, "status": "deferred"}),
        Verdict::Deferred {
            retry_after_ms: again_ms,
        } => {
            json!({"id": id, "status": "deferred", "again_ms": again_ms})
        }
    };
    Some(format!("{notice}\n"))
}

#[cfg(test)]
mod tests;
