//! Final answers to the platform: sent again until they are heard.

use super::discovery::Discovery;
use super::http;
use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::{Envelope, Frontend, LocalBoxFuture, Verdict, MAX_BODY_BYTES};
use crate::net::stream::Stream;
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A notice is answered right away; what takes longer is lost.
const ANSWER: Duration = Duration::from_millis(1000);
/// First and longest rest before notices go again.
const REST: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// Most notices in one request.
const MOST: usize = 200;

struct Notice {
    line: String,
    heard: Sender<()>,
}

/// The way back to the platform.
pub struct Notices {
    queue: (Sender<Notice>, Receiver<Notice>),
    discovery: Rc<Discovery>,
    wheel: Rc<TimerWheel>,
}

impl Notices {
    /// Nothing is sent until [`Notices::run`] runs.
    pub fn new(discovery: Rc<Discovery>, wheel: Rc<TimerWheel>) -> Rc<Self> {
        Rc::new(Notices {
            queue: async_channel::unbounded(),
            discovery,
            wheel,
        })
    }

    /// Notices that wait to be sent.
    pub fn waiting(&self) -> usize {
        self.queue.1.len()
    }

    /// Sends what is queued, for ever.
    pub async fn run(&self) {
        let (mut stream, mut rest) = (None, REST.0);
        while let Ok(first) = self.queue.1.recv().await {
            let mut batch = vec![first];
            batch.extend(std::iter::from_fn(|| self.queue.1.try_recv().ok()).take(MOST - 1));
            let body: String = batch.iter().map(|n| n.line.as_str()).collect();
            loop {
                let posted = self.wheel.timeout(ANSWER, self.post(&mut stream, &body));
                match self.discovery.while_there(posted).await {
                    // Heard at the old address or not: told twice, a notice does no harm.
                    None => continue,
                    Some(Some(Ok(204))) => break,
                    // Sent again, it would be as unreadable: whoever waits is let go.
                    Some(Some(Ok(400))) => {
                        break log::error!("notices: not readable to the platform: {body}")
                    }
                    Some(Some(Ok(status))) => log::warn!("notices: answered {status}"),
                    Some(Some(Err(e))) => log::warn!("notices: {e}"),
                    Some(None) => log::warn!("notices: no answer"),
                }
                stream = None;
                let rested = self.discovery.while_there(self.wheel.sleep(rest)).await;
                rest = rested.map_or(REST.0, |()| (rest * 2).min(REST.1));
            }
            rest = REST.0;
            for notice in &batch {
                let _ = notice.heard.try_send(());
            }
        }
    }

    async fn post(&self, kept: &mut Option<(SocketAddr, Stream)>, body: &str) -> io::Result<u16> {
        let (address, length) = (self.discovery.address(), body.len());
        let mut stream = match kept.take().filter(|(at, s)| *at == address && s.is_quiet()) {
            Some((_, stream)) => stream,
            None => Stream::connect(address).await?,
        };
        let request =
            format!("POST /v1/notices HTTP/1.1\r\nHost: {address}\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.send(request.as_bytes()).await?;
        let answer = http::read_response(&mut stream).await?;
        http::read_body(&mut stream, answer.body, MAX_BODY_BYTES).await?;
        *kept = Some((address, stream)).filter(|_| answer.keep_alive);
        Ok(answer.status)
    }
}

impl Frontend for Notices {
    fn send_final_answer<'a>(
        &'a self,
        envelope: &'a Envelope,
        verdict: Verdict,
    ) -> LocalBoxFuture<'a, ()> {
        let Some(line) = line(&envelope.id, verdict) else {
            return async {}.boxed_local();
        };
        let (heard, hears) = async_channel::bounded(1);
        async move {
            if self.queue.0.try_send(Notice { line, heard }).is_ok() {
                let _ = hears.recv().await;
            }
        }
        .boxed_local()
    }
}

/// The line for a verdict; a delivery is known to the platform and needs none.
fn line(id: &str, verdict: Verdict) -> Option<String> {
    let notice = match verdict {
        Verdict::Delivered => return None,
        Verdict::Undeliverable => json!({"id": id, "status": "undeliverable"}),
        Verdict::Deferred { retry_after_ms: 0 } => json!({"id": id, "status": "deferred"}),
        Verdict::Deferred {
            retry_after_ms: again_ms,
        } => {
            json!({"id": id, "status": "deferred", "again_ms": again_ms})
        }
    };
    Some(format!("{notice}\n"))
}
