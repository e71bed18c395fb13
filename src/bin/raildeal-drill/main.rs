//! Hosts many instances of the decision module on the wire of standard input and output.
//! Instances share nothing; no decision is made here.

mod frame;

use frame::{body_len, Reader, Record, WireError, Writer};
use raildeal::config::platform_settings;
use raildeal::{Dispatcher, Event, Listing, Nanos};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};

#[derive(Default)]
struct Host {
    senders: BTreeMap<u16, Dispatcher>,
    lists: BTreeMap<u16, Vec<Listing>>,
    pending: BTreeMap<u16, Vec<Event>>,
}

impl Host {
    /// Takes the records of one batch in order. Events wait per instance until the batch is read,
    /// so that an instance decides once a batch; a death drops what waited for that life.
    fn batch(&mut self, seq: [u8; 4], body: &[u8]) -> Result<Vec<u8>, WireError> {
        let (now, mut reader) = Reader::new(body)?;
        let mut at = None;
        loop {
            let pos = reader.pos();
            let Some(record) = reader.next() else { break };
            let record = record?;
            let fault = |what: String| WireError { what, at: pos };
            let event = match record {
                Record::Instance(n) => {
                    at = Some(n);
                    continue;
                }
                Record::Inventory { set, entries } => {
                    self.lists.insert(set, entries);
                    continue;
                }
                Record::Born { seed, env } => {
                    let n = at.ok_or_else(|| fault("BORN before any INSTANCE".into()))?;
                    let settings = platform_settings::from_lines(env)
                        .map_err(|e| fault(format!("BORN: {e}")))?;
                    let relay = Dispatcher::new(settings.settings, seed)
                        .map_err(|e| fault(format!("BORN: {e}")))?;
                    self.senders.insert(n, relay);
                    self.pending.insert(n, Vec::new());
                    continue;
                }
                Record::Exit => {
                    let n = at.ok_or_else(|| fault("EXIT before any INSTANCE".into()))?;
                    self.senders.remove(&n);
                    self.pending.remove(&n);
                    continue;
                }
                Record::Head | Record::Memo => continue,
                Record::Fleet { how: 3, .. } => Event::ListFailed,
                Record::Fleet { how, set } => {
                    let list = self.lists.get(&set);
                    let list = list
                        .ok_or_else(|| fault(format!("FLEET: list {set} was never defined")))?
                        .clone();
                    match how {
                        0 => Event::ListChanges(list),
                        1 => Event::List(list),
                        _ => Event::CachedList(list),
                    }
                }
                Record::WorkItem(m) => Event::Arrived(m),
                Record::TimeoutFired => Event::TimerFired,
                Record::Reply {
                    id,
                    attempt,
                    outcome,
                    took,
                    finished,
                    report,
                } => Event::AttemptEnded {
                    id,
                    attempt,
                    outcome,
                    took,
                    finished,
                    report,
                },
                Record::Vanished(id) => Event::ClientGone(id),
                Record::StatusBack {
                    endpoint,
                    outcome,
                    report,
                } => Event::HealthCheckEnded {
                    endpoint,
                    outcome,
                    report,
                },
            };
            let n = at.ok_or_else(|| fault("event before any INSTANCE".into()))?;
            if !self.senders.contains_key(&n) {
                return Err(fault(format!(
                    "event for instance {n}, which is not running"
                )));
            }
            self.pending.entry(n).or_default().push(event);
        }
        Ok(self.decide(now, seq))
    }

    fn decide(&mut self, now: Nanos, seq: [u8; 4]) -> Vec<u8> {
        let mut writer = Writer::new(seq);
        let mut actions = Vec::new();
        for (n, events) in std::mem::take(&mut self.pending) {
            if let Some(relay) = self.senders.get_mut(&n) {
                relay.handle(now, &events, &mut actions);
                actions.drain(..).for_each(|a| writer.action(n, &a));
            }
        }
        writer.finish()
    }
}

/// Fills `buf`, or tells that input ended before its first byte.
fn fill(input: &mut impl Read, buf: &mut [u8]) -> io::Result<bool> {
    let mut got = 0;
    while got < buf.len() {
        match input.read(&mut buf[got..]) {
            Ok(0) if got == 0 => return Ok(false),
            Ok(0) => {
                return Err(io::Error::new(
                    ErrorKind::UnexpectedEof,
                    format!("input ended at byte {got}"),
                ))
            }
            Ok(n) => got += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(true)
}

fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut header = [0; 8];
    let mut body = Vec::new();
    while fill(input, &mut header).map_err(|e| format!("batch header: {e}"))? {
        let len = body_len(&header).map_err(|e| e.to_string())?;
        body.clear();
        let got = input
            .by_ref()
            .take(len as u64)
            .read_to_end(&mut body)
            .map_err(|e| format!("batch: {e}"))?;
        if got < len {
            return Err(format!("batch: input ended at byte {got} of {len}"));
        }
        let seq = [header[0], header[1], header[2], header[3]];
        let reply = host.batch(seq, &body).map_err(|e| e.to_string())?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("output: {e}"))?;
    }
    Ok(())
}

fn main() {
    if let Err(e) = run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        eprintln!("raildeal-drill: {e}");
        std::process::exit(1);
    }
}
