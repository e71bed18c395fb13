//! The clients that are connected, and the final answers that go to them.
//!
//! A final answer is a PUBLISH to the message's Response Topic, for whichever connection has
//! subscribed to that. It is sent until one has it, and waits for one if there is none.

use super::packets::{encode, user};
use crate::delivery::client_quota::Client;
use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::{Envelope, FinalAnswer, Frontend, LocalBoxFuture, Verdict};
use crate::net::connection_listener::Seat;
use crate::net::stream::Writer;
use async_channel::{Receiver, Sender};
use async_lock::Semaphore;
use event_listener::Event;
use futures_lite::FutureExt;
use mqtt_proto::v5::{
    Connect, Disconnect, DisconnectReasonCode, Packet, Publish, PublishProperties, Subscribe,
    SubscribeReasonCode, Unsubscribe, UnsubscribeReasonCode,
};
use mqtt_proto::{Pid, QoS, QosPid, TopicName};
use serde::{Deserialize, Serialize};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Filters that one client may hold, and how long each may be.
const MAX_FILTERS: (usize, usize) = (64, 1024);

/// Where a final answer goes; kept with the message in the journal.
#[derive(Serialize, Deserialize)]
pub struct ReplyTo {
    /// The Response Topic.
    pub topic: String,
    /// The Correlation Data.
    pub correlation: Option<Vec<u8>>,
}

/// One client's connection.
pub struct Session {
    no: u64,
    /// The client's name, its own or given.
    pub client_id: String,
    writer: Writer,
    /// What it subscribed to, and whether it acknowledges what comes of that.
    filters: RefCell<Vec<(String, QoS)>>,
    /// Final answers that are out here, by packet id, and those who wait for their acknowledgement.
    out: RefCell<HashMap<u16, Sender<()>>>,
    next_pid: Cell<u16>,
    /// As many answers may be out as the client takes, none longer than this.
    room: Semaphore,
    most: usize,
    /// It wants to be told why, and for how long, beside the reason codes.
    pub told_more: bool,
    /// Closed when the connection has to end.
    ending: (Sender<()>, Receiver<()>),
    seat: Rc<Seat>,
    /// Whether a PUBLISH of its own is being looked at, and whether one was taken on.
    asks: Cell<bool>,
    useful: Cell<bool>,
    /// Topics that final answers are owed to, and how many.
    owed: Owed,
}

/// Topics that final answers are owed to, and how many.
type Owed = Rc<RefCell<BTreeMap<String, usize>>>;

impl Session {
    /// Counts something that its client sent, as [`Seat::counts`] does.
    pub fn counts(&self, what: &str) {
        self.seat.counts(what);
    }

    /// Tells its seat what it is used for. It is owed something while a PUBLISH of its own is
    /// unanswered, while an answer is out here, and while one is to come for a topic that it
    /// subscribed to.
    fn settle(&self) {
        let (owed, filters) = (self.owed.borrow(), self.filters.borrow());
        let takes = || {
            owed.keys()
                .any(|topic| filters.iter().any(|(f, _)| covers(f, topic)))
        };
        if self.asks.get() || !self.out.borrow().is_empty() || takes() {
            self.seat.busy();
        } else if self.useful.get() || !filters.is_empty() {
            self.seat.kept();
        } else {
            self.seat.resting();
        }
    }

    /// Who it is, by its name.
    pub fn client(&self) -> Client {
        Client {
            name: self.client_id.as_str().into(),
            known: self.seat.is_known(),
        }
    }

    /// A PUBLISH is being looked at, or no more.
    pub fn asks(&self, asks: bool) {
        self.asks.set(asks);
        self.settle();
    }

    /// A message was taken on from it.
    pub fn useful(&self) {
        self.useful.set(true);
    }

    /// Sends a packet.
    pub async fn send(&self, packet: &Packet) -> io::Result<()> {
        self.writer.send(&encode(packet)?).await
    }

    /// Waits until the connection has to end.
    pub async fn ended(&self) {
        let _ = self.ending.1.recv().await;
    }

    /// Adds to its subscriptions.
    pub fn subscribe(&self, wanted: &Subscribe) -> Vec<SubscribeReasonCode> {
        let mut filters = self.filters.borrow_mut();
        let add = wanted.topics.iter().map(|(filter, options)| {
            if filter.is_shared() {
                return SubscribeReasonCode::SharedSubscriptionNotSupported;
            }
            filters.retain(|(f, _)| f.as_str() != &**filter);
            if filters.len() >= MAX_FILTERS.0 || filter.len() > MAX_FILTERS.1 {
                return SubscribeReasonCode::QuotaExceeded;
            }
            let qos = options.max_qos.min(QoS::Level1);
            filters.push((filter.to_string(), qos));
            match qos {
                QoS::Level0 => SubscribeReasonCode::GrantedQoS0,
                _ => SubscribeReasonCode::GrantedQoS1,
            }
        });
        let added = add.collect();
        drop(filters);
        self.settle();
        added
    }

    /// Takes away from its subscriptions.
    pub fn unsubscribe(&self, leave: &Unsubscribe) -> Vec<UnsubscribeReasonCode> {
        let mut filters = self.filters.borrow_mut();
        let take = leave.topics.iter().map(|topic| {
            let held = filters.len();
            filters.retain(|(f, _)| f.as_str() != &**topic);
            if filters.len() < held {
                UnsubscribeReasonCode::Success
            } else {
                UnsubscribeReasonCode::NoSubscriptionExisted
            }
        });
        let left = take.collect();
        drop(filters);
        self.settle();
        left
    }

    /// The client has a final answer.
    pub fn acknowledged(&self, pid: u16) {
        if let Some(waiting) = self.out.borrow_mut().remove(&pid) {
            let _ = waiting.try_send(());
        }
    }

    /// How it would get a topic: not at all, sent once, or until it acknowledges.
    fn covers(&self, topic: &str) -> Option<QoS> {
        let filters = self.filters.borrow();
        filters
            .iter()
            .filter(|(f, _)| covers(f, topic))
            .map(|(_, qos)| *qos)
            .max()
    }

    /// Sends a final answer; false if the connection ends before the client has it.
    async fn answer(&self, mut publish: Publish, qos: QoS) -> bool {
        let _room = self.room.acquire().await;
        let (acknowledged, waiting) = async_channel::bounded(1);
        let out = (qos == QoS::Level1).then(|| self.claim(acknowledged));
        publish.qos_pid = out
            .as_ref()
            .map_or(QosPid::Level0, |o| QosPid::Level1(o.pid));
        let sent = match encode(&Packet::Publish(publish)) {
            Ok(bytes) if bytes.len() > self.most => {
                // What a client does not take counts as sent (MQTT 5, section 3.1.2.11.4).
                log::warn!(
                    "mqtt: a final answer is longer than {} takes",
                    self.client_id
                );
                return true;
            }
            Ok(bytes) => self.writer.send(&bytes).await.is_ok(),
            Err(_) => false,
        };
        let ended = async {
            self.ended().await;
            false
        };
        let acknowledged = async { out.is_none() || waiting.recv().await.is_ok() };
        sent && acknowledged.or(ended).await
    }

    /// Takes a packet id that is free.
    fn claim(&self, acknowledged: Sender<()>) -> Out<'_> {
        let mut out = self.out.borrow_mut();
        loop {
            self.next_pid.set(self.next_pid.get().wrapping_add(1));
            let free = Pid::try_from(self.next_pid.get())
                .ok()
                .filter(|p| !out.contains_key(&p.value()));
            if let Some(pid) = free {
                out.insert(pid.value(), acknowledged);
                drop(out);
                self.settle();
                return Out { session: self, pid };
            }
        }
    }
}

/// A packet id in use; dropped, it is free again.
struct Out<'a> {
    session: &'a Session,
    pid: Pid,
}

impl Drop for Out<'_> {
    fn drop(&mut self) {
        self.session.out.borrow_mut().remove(&self.pid.value());
        self.session.settle();
    }
}

/// The sessions that are open, by number.
type All = Rc<RefCell<BTreeMap<u64, Rc<Session>>>>;

/// Owner of the sessions.
pub struct Sessions {
    open: All,
    owed: Owed,
    made: Cell<u64>,
    subscribed: Event,
    keep_answers: Duration,
    wheel: Rc<TimerWheel>,
}

/// A session among the others; dropped, it has ended.
pub struct Open {
    sessions: Rc<Sessions>,
    /// The session.
    pub session: Rc<Session>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.sessions.end(&self.session);
    }
}

impl Sessions {
    /// No sessions yet; a final answer that nobody subscribes to is kept so long.
    pub fn new(wheel: Rc<TimerWheel>, keep_answers: Duration) -> Rc<Self> {
        let (open, owed, made, subscribed) =
            (Rc::default(), Rc::default(), Cell::new(0), Event::new());
        Rc::new(Sessions {
            open,
            owed,
            made,
            subscribed,
            keep_answers,
            wheel,
        })
    }

    /// Opens a session for a client, and ends an earlier one of the same name.
    pub fn open(self: &Rc<Self>, connect: &Connect, writer: Writer, seat: Rc<Seat>) -> Open {
        let no = self.made.get();
        self.made.set(no + 1);
        let client_id = match &*connect.client_id {
            "" => format!("client-{no}"),
            id => id.to_string(),
        };
        let earlier: Vec<_> = self
            .open
            .borrow()
            .values()
            .filter(|s| s.client_id == client_id)
            .cloned()
            .collect();
        for session in earlier {
            session
                .writer
                .try_send(&last_word(DisconnectReasonCode::SessionTakenOver));
            self.end(&session);
        }
        let wants = &connect.properties;
        let session = Rc::new(Session {
            no,
            client_id,
            writer,
            filters: RefCell::default(),
            out: RefCell::default(),
            next_pid: Cell::new(0),
            room: Semaphore::new(usize::from(wants.receive_max.unwrap_or(u16::MAX).max(1))),
            most: wants
                .max_packet_size
                .map_or(usize::MAX, |most| most as usize),
            told_more: wants.request_problem_info != Some(false),
            ending: async_channel::bounded(1),
            seat,
            asks: Cell::new(false),
            useful: Cell::new(false),
            owed: self.owed.clone(),
        });
        session.settle();
        self.open.borrow_mut().insert(no, session.clone());
        Open {
            sessions: self.clone(),
            session,
        }
    }

    /// Tells a client that it has to go, for others who need its place more.
    pub fn make_room(&self, session: &Session) {
        session
            .writer
            .try_send(&last_word(DisconnectReasonCode::QuotaExceeded));
    }

    /// A client has subscribed: answers may wait for it.
    pub fn subscribed(&self) {
        self.subscribed.notify(usize::MAX);
    }

    /// Tells all clients that this sender ends.
    pub fn farewell(&self) {
        let bytes = last_word(DisconnectReasonCode::ServerShuttingDown);
        self.open
            .borrow()
            .values()
            .for_each(|s| s.writer.try_send(&bytes));
    }

    fn end(&self, session: &Session) {
        session.ending.1.close();
        self.open.borrow_mut().remove(&session.no);
    }

    fn subscriber(&self, topic: &str) -> Option<(Rc<Session>, QoS)> {
        let open = self.open.borrow();
        open.values()
            .rev()
            .find_map(|s| Some((s.clone(), s.covers(topic)?)))
    }

    async fn deliver(&self, to: &ReplyTo, publish: &Publish) {
        loop {
            let listening = self.subscribed.listen();
            match self.subscriber(&to.topic) {
                Some((session, qos)) => {
                    if session.answer(publish.clone(), qos).await {
                        return;
                    }
                    // It is gone, or will be: another connection may have subscribed meanwhile.
                    self.end(&session);
                }
                None => listening.await,
            }
        }
    }
}

/// A final answer that is owed to a topic; dropped, it is no more.
struct Due {
    topic: String,
    owed: Owed,
    open: All,
}

impl Due {
    /// Those who would take it are owed something, or perhaps no more.
    fn settle(&self) {
        let open = self.open.borrow();
        open.values()
            .filter(|s| s.covers(&self.topic).is_some())
            .for_each(|s| s.settle());
    }
}

impl Drop for Due {
    fn drop(&mut self) {
        let mut owed = self.owed.borrow_mut();
        let left = owed.get_mut(&self.topic).map_or(0, |n| {
            *n -= 1;
            *n
        });
        if left == 0 {
            owed.remove(&self.topic);
            drop(owed);
            self.settle();
        }
    }
}

impl Frontend for Sessions {
    fn pending_answer_guard(&self, envelope: &Envelope) -> Option<Box<dyn Any>> {
        let topic = postcard::from_bytes::<ReplyTo>(&envelope.reply_to)
            .ok()?
            .topic;
        let due = Due {
            topic,
            owed: self.owed.clone(),
            open: self.open.clone(),
        };
        let count = *self
            .owed
            .borrow_mut()
            .entry(due.topic.clone())
            .and_modify(|n| *n += 1)
            .or_insert(1);
        if count == 1 {
            due.settle();
        }
        Some(Box::new(due))
    }

    fn send_final_answer<'a>(
        &'a self,
        envelope: &'a Envelope,
        FinalAnswer { verdict, .. }: FinalAnswer,
    ) -> LocalBoxFuture<'a, ()> {
        async move {
            // Without a Response Topic nobody wants to know.
            let Ok(to) = postcard::from_bytes::<ReplyTo>(&envelope.reply_to) else {
                return;
            };
            let Ok(publish) = final_answer(&envelope.id, &to, verdict) else {
                return;
            };
            if self
                .wheel
                .timeout(self.keep_answers, self.deliver(&to, &publish))
                .await
                .is_none()
            {
                log::warn!(
                    "{}: nobody took its final answer, {verdict:?}, at {}",
                    envelope.id,
                    to.topic
                );
            }
        }
        .boxed_local()
    }
}

fn last_word(code: DisconnectReasonCode) -> Vec<u8> {
    encode(&Packet::Disconnect(Disconnect::new(code))).unwrap_or_default()
}

fn final_answer(id: &str, to: &ReplyTo, verdict: Verdict) -> Result<Publish, mqtt_proto::Error> {
    let (status, again) = match verdict {
        Verdict::Delivered => ("delivered", 0),
        Verdict::Deferred {
            retry_after_ms: again_ms,
        } => ("deferred", again_ms),
        Verdict::Undeliverable => ("undeliverable", 0),
    };
    let mut told = vec![user("id", id), user("status", status)];
    told.extend((again > 0).then(|| user("again-ms", again.to_string())));
    let properties = PublishProperties {
        correlation_data: to.correlation.clone().map(Into::into),
        user_properties: told,
        ..PublishProperties::default()
    };
    let topic = TopicName::try_from(to.topic.as_str())?;
    Ok(Publish {
        properties,
        ..Publish::new(QosPid::Level0, topic, status.as_bytes().to_vec().into())
    })
}

/// Whether a topic filter covers a topic.
fn covers(filter: &str, topic: &str) -> bool {
    if topic.starts_with('$') && !filter.starts_with('$') {
        return false;
    }
    let (mut filter, mut topic) = (filter.split('/'), topic.split('/'));
    loop {
        match (filter.next(), topic.next()) {
            (Some("#"), _) | (None, None) => return true,
            (Some("+"), Some(_)) => {}
            (Some(f), Some(t)) if f == t => {}
            _ => return false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::covers;

    #[test]
    fn filters_cover_topics_as_the_standard_says() {
        for (filter, topic, yes) in [
            ("a/b", "a/b", true),
            ("a/b", "a/b/c", false),
            ("a/+", "a/b", true),
            ("a/+", "a", false),
            ("a/#", "a", true),
            ("#", "a/b", true),
            ("+", "/a", false),
            ("#", "$SYS/a", false),
        ] {
            assert_eq!(covers(filter, topic), yes, "{filter} {topic}");
        }
    }
}
