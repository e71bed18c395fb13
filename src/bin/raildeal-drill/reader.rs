//! Reads the records of one frame's body.

use crate::frame::{FrameError, ListKind, Record};
use raildeal::{Condition, EndpointAddress, Listing, Message, Nanos, Outcome};
use std::fmt;

const NANOS_PER_MILLI: u64 = 1_000_000;

/// Codes of the records.
mod code {
    pub const BORN: u8 = 1;
    pub const FLEET: u8 = 2;
    pub const WORK_ITEM: u8 = 3;
    pub const HEAD_RECEIVED: u8 = 4;
    pub const REPLY: u8 = 5;
    pub const VANISHED: u8 = 6;
    pub const TIMEOUT_FIRED: u8 = 7;
    pub const STATUS_BACK: u8 = 8;
    pub const MEMO: u8 = 9;
    pub const EXIT: u8 = 10;
    pub const INVENTORY: u8 = 11;
    pub const INSTANCE: u8 = 12;
}

/// Iterator over the records of one frame's body.
pub struct Reader<'a> {
    body: &'a [u8],
    position: usize,
    /// The item being read, for errors.
    reading: &'static str,
}

impl<'a> Reader<'a> {
    /// Creates a reader at the start of a body.
    pub fn new(body: &'a [u8]) -> Self {
        Reader {
            body,
            position: 0,
            reading: "batch header",
        }
    }

    /// Reads the clock, before any record, in nanoseconds.
    ///
    /// # Errors
    /// Returns an error if the body is shorter than a clock.
    pub fn clock(&mut self) -> Result<Nanos, FrameError> {
        self.u64()
    }

    /// Returns the position of the next record.
    pub fn position(&self) -> usize {
        self.position
    }

    fn error<T>(&self, problem: impl fmt::Display) -> Result<T, FrameError> {
        Err(FrameError {
            problem: format!("{}: {problem}", self.reading),
            position: self.position,
        })
    }

    fn bytes(&mut self, length: usize) -> Result<&'a [u8], FrameError> {
        let left = self.body.len() - self.position;
        if length > left {
            return self.error(format_args!("needs {length} bytes, {left} left"));
        }
        let bytes = &self.body[self.position..self.position + length];
        self.position += length;
        Ok(bytes)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], FrameError> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }

    fn u8(&mut self) -> Result<u8, FrameError> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, FrameError> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, FrameError> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, FrameError> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f32, FrameError> {
        Ok(f32::from_be_bytes(self.array()?))
    }

    fn endpoint(&mut self) -> Result<EndpointAddress, FrameError> {
        Ok(EndpointAddress {
            addr: self.array()?,
            port: self.u16()?,
        })
    }

    fn report(&mut self) -> Result<Vec<f32>, FrameError> {
        let values = self.u8()?;
        (0..values).map(|_| self.f32()).collect()
    }

    /// Converts an outcome; `note` is the Retry-After of a rejection, in milliseconds.
    fn outcome(&mut self, code: u8, note: u32) -> Result<Outcome, FrameError> {
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
            _ => return self.error(format_args!("unknown outcome {code}")),
        })
    }

    fn listing(&mut self) -> Result<Listing, FrameError> {
        let endpoint = self.endpoint()?;
        let zone = self.u16()?;
        let kind = self.u16()?;
        let dest = self.u16()?;
        let condition = match self.u8()? {
            0 => Condition::Gone,
            1 => Condition::Ready,
            2 => Condition::Draining,
            other => return self.error(format_args!("unknown condition {other}")),
        };
        let rate = self.f32()?;
        self.u64()?; // a time that the module ignores
        Ok(Listing {
            endpoint,
            zone,
            kind,
            dest,
            condition,
            rate,
        })
    }

    fn record(&mut self) -> Result<Record<'a>, FrameError> {
        self.reading = "record code";
        let code = self.u8()?;
        let Some(name) = record_name(code) else {
            self.position -= 1;
            return self.error(format_args!("unknown code {code}"));
        };
        self.reading = name;
        match code {
            code::INSTANCE => Ok(Record::Instance(self.u16()?)),
            code::BORN => self.born(),
            code::INVENTORY => self.inventory(),
            code::FLEET => self.fleet(),
            code::WORK_ITEM => self.work_item(),
            code::HEAD_RECEIVED => {
                self.bytes(4 + 6 + 8 + 2)?;
                Ok(Record::Head)
            }
            code::MEMO => self.memo(),
            code::TIMEOUT_FIRED => {
                self.u64()?;
                Ok(Record::TimeoutFired)
            }
            code::REPLY => self.reply(),
            code::VANISHED => Ok(Record::Vanished(self.u32()?)),
            code::STATUS_BACK => self.status_back(),
            _ => Ok(Record::Exit),
        }
    }

    fn born(&mut self) -> Result<Record<'a>, FrameError> {
        let seed = self.u64()?;
        let length = self.u32()? as usize;
        Ok(Record::Born {
            seed,
            settings: self.bytes(length)?,
        })
    }

    fn inventory(&mut self) -> Result<Record<'a>, FrameError> {
        let set = self.u16()?;
        let count = self.u32()?;
        // A count far beyond the frame's length must not be trusted: no capacity is reserved for
        // it.
        let mut entries = Vec::new();
        for _ in 0..count {
            entries.push(self.listing()?);
        }
        Ok(Record::Inventory { set, entries })
    }

    fn fleet(&mut self) -> Result<Record<'a>, FrameError> {
        let how = match self.u8()? {
            0 => ListKind::Changes,
            1 => ListKind::Complete,
            2 => ListKind::Cached,
            3 => ListKind::Failed,
            other => return self.error(format_args!("unknown kind {other}")),
        };
        let set = self.u16()?;
        self.u32()?;
        Ok(Record::Fleet { how, set })
    }

    fn work_item(&mut self) -> Result<Record<'a>, FrameError> {
        let id = self.u32()?;
        let tenant = self.u16()?;
        let class = self.u16()?;
        let key = self.u64()?;
        self.u64()?;
        let ttl = self.u64()?;
        self.u16()?;
        let dest = self.f32()?;
        if !(0.0..=65535.0).contains(&dest) || dest.fract() != 0.0 {
            return self.error(format_args!("farEnd {dest} is no destination"));
        }
        Ok(Record::WorkItem(Message {
            id,
            tenant,
            class,
            key,
            ttl,
            dest: dest as u16,
        }))
    }

    fn memo(&mut self) -> Result<Record<'a>, FrameError> {
        self.u16()?;
        let length = usize::from(self.u16()?);
        self.bytes(length)?;
        Ok(Record::Memo)
    }

    fn reply(&mut self) -> Result<Record<'a>, FrameError> {
        let id = self.u32()?;
        let attempt = self.u16()?;
        self.endpoint()?;
        let code = self.u8()?;
        let took = self.u64()?;
        let finished = self.u8()? != 0;
        let note = self.u32()?;
        let report = self.report()?;
        Ok(Record::Reply {
            id,
            attempt,
            outcome: self.outcome(code, note)?,
            took,
            finished,
            report,
        })
    }

    fn status_back(&mut self) -> Result<Record<'a>, FrameError> {
        let endpoint = self.endpoint()?;
        let code = self.u8()?;
        self.u64()?;
        let report = self.report()?;
        Ok(Record::StatusBack {
            endpoint,
            outcome: self.outcome(code, 0)?,
            report,
        })
    }
}

fn record_name(code: u8) -> Option<&'static str> {
    Some(match code {
        code::BORN => "BORN",
        code::FLEET => "FLEET",
        code::WORK_ITEM => "WORK_ITEM",
        code::HEAD_RECEIVED => "HEAD_RECEIVED",
        code::REPLY => "REPLY",
        code::VANISHED => "VANISHED",
        code::TIMEOUT_FIRED => "TIMEOUT_FIRED",
        code::STATUS_BACK => "STATUS_BACK",
        code::MEMO => "MEMO",
        code::EXIT => "EXIT",
        code::INVENTORY => "INVENTORY",
        code::INSTANCE => "INSTANCE",
        _ => return None,
    })
}

impl<'a> Iterator for Reader<'a> {
    type Item = Result<Record<'a>, FrameError>;

    fn next(&mut self) -> Option<Self::Item> {
        (self.position < self.body.len()).then(|| self.record())
    }
}
