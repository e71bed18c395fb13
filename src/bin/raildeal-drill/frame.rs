//! Codec of the wire: big-endian frames in, big-endian replies out. No decision is made here.

use raildeal::{Condition, EndpointAddress, Listing, Message, Outcome};
use std::fmt;

/// Longest frame taken; a batch may be megabytes, never gigabytes.
const MAX_FRAME: usize = 256 << 20;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Malformed input: what was being read and where in the frame's body.
#[derive(Debug)]
pub struct WireError {
    pub what: String,
    pub at: usize,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at byte {}", self.what, self.at)
    }
}

/// One record of a batch.
#[derive(Debug)]
pub enum Record<'a> {
    Instance(u16),
    Born {
        seed: u64,
        env: &'a [u8],
    },
    Inventory {
        set: u16,
        entries: Vec<Listing>,
    },
    Fleet {
        how: u8,
        set: u16,
    },
    WorkItem(Message),
    Head,
    Memo,
    TimeoutFired,
    Reply {
        id: u32,
        attempt: u16,
        outcome: Outcome,
        took: u64,
        finished: bool,
        report: Vec<f32>,
    },
    Vanished(u32),
    Exit,
    StatusBack {
        endpoint: EndpointAddress,
        outcome: Outcome,
        report: Vec<f32>,
    },
}

/// Reads the length field of a header and bounds it.
pub fn body_len(header: &[u8; 8]) -> Result<usize, WireError> {
    let len = u32::from_be_bytes([header[4], header[5], header[6], header[7]]) as usize;
    if len < 8 {
        return Err(WireError {
            what: format!("batch header: length {len} leaves no room for the clock"),
            at: 4,
        });
    }
    if len > MAX_FRAME {
        return Err(WireError {
            what: format!("batch header: length {len} is over the limit"),
            at: 4,
        });
    }
    Ok(len)
}

/// Walks over the records of one batch body (after the length field).
pub struct Reader<'a> {
    body: &'a [u8],
    pos: usize,
    name: &'static str,
}

impl<'a> Reader<'a> {
    pub fn new(body: &'a [u8]) -> Result<(u64, Self), WireError> {
        let mut r = Reader {
            body,
            pos: 0,
            name: "batch header",
        };
        let clock = r.u64()?;
        Ok((clock, r))
    }

    pub fn pos(&self) -> usize {
        self.pos
    }

    fn err<T>(&self, what: impl fmt::Display) -> Result<T, WireError> {
        Err(WireError {
            what: format!("{}: {what}", self.name),
            at: self.pos,
        })
    }

    fn take(&mut self, n: usize) -> Result<&'a [u8], WireError> {
        let left = self.body.len() - self.pos;
        if n > left {
            return self.err(format_args!("needs {n} bytes, {left} left"));
        }
        let out = &self.body[self.pos..self.pos + n];
        self.pos += n;
        Ok(out)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    fn u8(&mut self) -> Result<u8, WireError> {
        Ok(self.array::<1>()?[0])
    }
    fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array()?))
    }
    fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array()?))
    }
    fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array()?))
    }
    fn f32(&mut self) -> Result<f32, WireError> {
        Ok(f32::from_be_bytes(self.array()?))
    }

    fn endpoint(&mut self) -> Result<EndpointAddress, WireError> {
        Ok(EndpointAddress {
            addr: self.array()?,
            port: self.u16()?,
        })
    }

    fn report(&mut self) -> Result<Vec<f32>, WireError> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }

    fn outcome(&mut self, code: u8, note: u32) -> Result<Outcome, WireError> {
        Ok(match code {
            0 => Outcome::Delivered,
            1 => Outcome::Error,
            2 => Outcome::Rejected {
                wait: u64::from(note) * NANOS_PER_MILLI,
            },
            3 => Outcome::Timeout,
            4 => Outcome::ConnectFailed,
            5 => Outcome::Reset,
            6 => Outcome::Cancelled,
            7 => Outcome::NotSent,
            _ => return self.err(format_args!("unknown outcome {code}")),
        })
    }

    fn listing(&mut self) -> Result<Listing, WireError> {
        let (endpoint, zone, kind, dest) =
            (self.endpoint()?, self.u16()?, self.u16()?, self.u16()?);
        let condition = match self.u8()? {
            0 => Condition::Gone,
            1 => Condition::Ready,
            2 => Condition::Draining,
            c => return self.err(format_args!("unknown condition {c}")),
        };
        let rate = self.f32()?;
        self.u64()?;
        Ok(Listing {
            endpoint,
            zone,
            kind,
            dest,
            condition,
            rate,
        })
    }

    fn record(&mut self) -> Result<Record<'a>, WireError> {
        self.name = "record code";
        let code = self.u8()?;
        Ok(match code {
            12 => {
                self.name = "INSTANCE";
                Record::Instance(self.u16()?)
            }
            1 => {
                self.name = "BORN";
                let seed = self.u64()?;
                let n = self.u32()? as usize;
                Record::Born {
                    seed,
                    env: self.take(n)?,
                }
            }
            11 => {
                self.name = "INVENTORY";
                let set = self.u16()?;
                let n = self.u32()?;
                let mut entries = Vec::new();
                for _ in 0..n {
                    entries.push(self.listing()?);
                }
                Record::Inventory { set, entries }
            }
            2 => {
                self.name = "FLEET";
                let how = self.u8()?;
                if how > 3 {
                    return self.err(format_args!("unknown kind {how}"));
                }
                let set = self.u16()?;
                self.u32()?;
                Record::Fleet { how, set }
            }
            3 => {
                self.name = "WORK_ITEM";
                let (id, tenant, class, key) = (self.u32()?, self.u16()?, self.u16()?, self.u64()?);
                self.u64()?;
                let ttl = self.u64()?;
                self.u16()?;
                let dest = self.f32()?;
                if !(0.0..=65535.0).contains(&dest) || dest.fract() != 0.0 {
                    return self.err(format_args!("farEnd {dest} is no destination"));
                }
                Record::WorkItem(Message {
                    id,
                    tenant,
                    class,
                    key,
                    ttl,
                    dest: dest as u16,
                })
            }
            4 => {
                self.name = "HEAD_RECEIVED";
                self.take(4 + 6 + 8 + 2)?;
                Record::Head
            }
            9 => {
                self.name = "MEMO";
                self.u16()?;
                let n = usize::from(self.u16()?);
                self.take(n)?;
                Record::Memo
            }
            7 => {
                self.name = "TIMEOUT_FIRED";
                self.u64()?;
                Record::TimeoutFired
            }
            5 => {
                self.name = "REPLY";
                let (id, attempt) = (self.u32()?, self.u16()?);
                self.endpoint()?;
                let code = self.u8()?;
                let took = self.u64()?;
                let finished = self.u8()? != 0;
                let note = self.u32()?;
                let report = self.report()?;
                Record::Reply {
                    id,
                    attempt,
                    outcome: self.outcome(code, note)?,
                    took,
                    finished,
                    report,
                }
            }
            6 => {
                self.name = "VANISHED";
                Record::Vanished(self.u32()?)
            }
            10 => Record::Exit,
            8 => {
                self.name = "STATUS_BACK";
                let endpoint = self.endpoint()?;
                let code = self.u8()?;
                self.u64()?;
                let report = self.report()?;
                Record::StatusBack {
                    endpoint,
                    outcome: self.outcome(code, 0)?,
                    report,
                }
            }
            _ => {
                self.pos -= 1;
                return self.err(format_args!("unknown code {code}"));
            }
        })
    }
}

impl<'a> Iterator for Reader<'a> {
    type Item = Result<Record<'a>, WireError>;
    fn next(&mut self) -> Option<Self::Item> {
        (self.pos < self.body.len()).then(|| self.record())
    }
}

/// Builds one reply.
pub struct Writer {
    out: Vec<u8>,
    relay: Option<u16>,
}

impl Writer {
    pub fn new(seq: [u8; 4]) -> Self {
        let mut out = seq.to_vec();
        out.extend([0; 4]);
        Writer { out, relay: None }
    }

    fn endpoint(&mut self, e: EndpointAddress) {
        self.out.extend(e.addr);
        self.out.extend(e.port.to_be_bytes());
    }

    pub fn action(&mut self, relay: u16, action: &raildeal::Action) {
        use raildeal::Action::*;
        if self.relay != Some(relay) {
            self.relay = Some(relay);
            self.out.push(3);
            self.out.extend(relay.to_be_bytes());
        }
        match action {
            Send {
                id,
                endpoint,
                timeout,
            } => {
                self.out.push(8);
                self.out.extend(id.to_be_bytes());
                self.endpoint(*endpoint);
                self.out.extend(timeout.to_be_bytes());
            }
            Reject { id, retry_after } => {
                self.out.push(9);
                self.out.extend(id.to_be_bytes());
                self.out.extend(retry_after.to_be_bytes());
            }
            Fail { id } => {
                self.out.push(5);
                self.out.extend(id.to_be_bytes());
            }
            HealthCheck { endpoint } => {
                self.out.push(7);
                self.endpoint(*endpoint);
            }
            CloseIdle { endpoint } => {
                self.out.push(4);
                self.endpoint(*endpoint);
            }
            WatchList => self.out.extend([2, 1]),
            WakeAfter(span) => {
                self.out.push(11);
                self.out.extend(0u64.to_be_bytes());
                self.out.extend(span.to_be_bytes());
            }
            Log(text) => {
                let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
                self.out.push(1);
                self.out.extend((text.len() as u16).to_be_bytes());
                self.out.extend(text);
            }
        }
    }

    pub fn finish(mut self) -> Vec<u8> {
        let len = (self.out.len() - 8) as u32;
        self.out[4..8].copy_from_slice(&len.to_be_bytes());
        self.out
    }
}
