//! Owner of the zone and its file, and the port that takes signed updates (RFC 2136 over TCP, RFC
//! 8945).

use super::update::{self, is_newer};
use super::zone::Zone;
use crate::admission_control::connection_slots::Why;
use crate::delivery::driver::DispatcherDriver;
use crate::delivery::endpoint::EndpointListUpdate;
use crate::delivery::timer_wheel::TimerWheel;
use crate::delivery::unix_ms;
use crate::net::connection_listener::{Seat, Serve};
use crate::net::stream::Stream;
use async_io::Async;
use hickory_proto::dnssec::rdata::tsig::{make_tsig_record, message_tbs, TSIG};
use hickory_proto::dnssec::rdata::DNSSECRData;
use hickory_proto::dnssec::tsig::TSigner;
use hickory_proto::op::{Message, MessageType, OpCode, ResponseCode};
use hickory_proto::rr::{DNSClass, RData, Record};
use std::cell::{Cell, RefCell};
use std::fs;
use std::io;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Bytes of a message's header.
const HEADER: usize = 12;
/// A connection without a message is closed after this time.
const IDLE: Duration = Duration::from_secs(30);

/// The zone and its file.
pub struct Zones {
    path: PathBuf,
    zone: RefCell<Zone>,
    rev: Cell<u64>,
}

impl Zones {
    /// Reads the zone file.
    pub fn open(path: &Path) -> Result<Rc<Self>, String> {
        let zone = load(path).map_err(|e| format!("dns.zone_file: {e}"))?;
        Ok(Rc::new(Zones {
            path: path.into(),
            zone: RefCell::new(zone),
            rev: Cell::new(1),
        }))
    }

    /// The list as it stands.
    pub fn list_update(&self) -> EndpointListUpdate {
        // A zone is only kept once its providers could be read.
        let entries = self.zone.borrow().providers().unwrap_or_default();
        EndpointListUpdate {
            revision: self.rev.get(),
            complete: true,
            entries,
        }
    }

    /// Reads the file again. One that is wrong, or not newer by its serial, changes nothing.
    pub fn reload(&self, driver: &DispatcherDriver) {
        match load(&self.path) {
            Ok(zone) if is_newer(zone.serial(), self.zone.borrow().serial()) => {
                self.tell(zone, driver)
            }
            Ok(zone) => log::warn!(
                "dns: serial {} is not newer; the old list stays",
                zone.serial()
            ),
            Err(e) => log::error!("dns: {e}; the old list stays"),
        }
    }

    /// Carries an update out: on file first, then for all to see.
    fn update(&self, message: &Message, driver: &DispatcherDriver) -> Result<(), ResponseCode> {
        let next = update::apply(&self.zone.borrow(), message)?;
        if let Some(zone) = next {
            self.persist(&zone).map_err(|e| {
                log::error!("dns: {}: {e}", self.path.display());
                ResponseCode::ServFail
            })?;
            self.tell(zone, driver);
        }
        Ok(())
    }

    fn persist(&self, zone: &Zone) -> io::Result<()> {
        let text = zone.text();
        // What is written has to read back as what is held.
        let back = Zone::read(&text, None).map_err(io::Error::other)?;
        if back.text() != text {
            return Err(io::Error::other("the zone cannot be written as it is"));
        }
        let next = self.path.with_extension("new");
        fs::write(&next, text)?;
        fs::rename(&next, &self.path)
    }

    fn tell(&self, zone: Zone, driver: &DispatcherDriver) {
        log::info!("dns: zone {} at serial {}", zone.origin, zone.serial());
        *self.zone.borrow_mut() = zone;
        self.rev.set(self.rev.get() + 1);
        driver.apply_list_update(&self.list_update());
    }
}

fn load(path: &Path) -> Result<Zone, String> {
    let text = fs::read_to_string(path).map_err(|e| e.to_string());
    text.and_then(|t| Zone::read(&t, None))
        .map_err(|e| format!("{}: {e}", path.display()))
}

/// The port for updates.
pub struct UpdatePort {
    /// The zone.
    pub zones: Rc<Zones>,
    /// Told of changes.
    pub driver: Rc<DispatcherDriver>,
    /// Signs and checks.
    pub signer: TSigner,
    /// The timers.
    pub wheel: Rc<TimerWheel>,
}

impl UpdatePort {
    /// The answer to a message; nothing to what has not even a header.
    fn answer(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        let id = u16::from_be_bytes([*bytes.first()?, *bytes.get(1)?]);
        let message = match Message::from_vec(bytes) {
            Ok(message) if message.message_type() == MessageType::Query => message,
            // Answering an answer could go on for ever.
            Ok(_) => return None,
            Err(_) if bytes.len() < HEADER => return None,
            Err(e) => {
                log::debug!("dns: {e}");
                return Message::error_msg(id, OpCode::Update, ResponseCode::FormErr)
                    .to_vec()
                    .ok();
            }
        };
        let mut answer = Message::error_msg(id, message.op_code(), ResponseCode::NoError);
        answer.add_queries(message.queries().iter().cloned());
        let signed = message.signature().first().filter(|r| tsig_of(r).is_some());
        let trust = signed.map(|record| self.trust(record, bytes));
        let code = match (trust, message.op_code()) {
            (None, _) => ResponseCode::Refused,
            (Some(ResponseCode::NoError), OpCode::Update) => self
                .zones
                .update(&message, &self.driver)
                .err()
                .unwrap_or(ResponseCode::NoError),
            (Some(ResponseCode::NoError), _) => ResponseCode::NotImp,
            (Some(_), _) => ResponseCode::NotAuth,
        };
        log::info!("dns: {:?} answered {code:?}", message.op_code());
        answer.set_response_code(code);
        if let Some((request, error)) = signed.zip(trust) {
            answer.add_tsig(self.sign(&answer, request, error)?);
        }
        answer.to_vec().ok()
    }

    /// What is wrong with a message's signature; no error, where it can be trusted.
    fn trust(&self, record: &Record, bytes: &[u8]) -> ResponseCode {
        let Some(tsig) = tsig_of(record) else {
            return ResponseCode::BADSIG;
        };
        if record.name() != self.signer.signer_name() || tsig.algorithm() != self.signer.algorithm()
        {
            return ResponseCode::BADKEY;
        }
        // The digest takes class and time to live for what they have to be, so it would not tell
        // them wrong; and the library takes the fudge from the time, so a time that small is none.
        let sound = record.dns_class() == DNSClass::ANY && record.ttl() == 0;
        if !sound || tsig.time() < u64::from(tsig.fudge()) {
            return ResponseCode::BADSIG;
        }
        match self.signer.verify_message_byte(None, bytes, true) {
            Ok((_, times, _)) if times.contains(&(unix_ms() / 1000)) => ResponseCode::NoError,
            Ok(_) => ResponseCode::BADTIME,
            Err(e) => {
                log::warn!("dns: {e}");
                ResponseCode::BADSIG
            }
        }
    }

    /// The signature record of an answer (RFC 8945, section 5.3). It is empty where the request's
    /// was not trusted.
    fn sign(&self, answer: &Message, request: &Record, error: ResponseCode) -> Option<Record> {
        let (now, asked, name) = (unix_ms() / 1000, tsig_of(request)?, request.name().clone());
        // To a wrong time the right one is told, beside the one that was sent.
        let (time, other) = match error {
            ResponseCode::BADTIME => (asked.time(), now.to_be_bytes()[2..].to_vec()),
            _ => (now, Vec::new()),
        };
        let (algorithm, fudge) = (asked.algorithm().clone(), self.signer.fudge());
        let tsig = TSIG::new(
            algorithm,
            time,
            fudge,
            Vec::new(),
            answer.id(),
            error.into(),
            other,
        );
        let mac = match error {
            ResponseCode::BADKEY | ResponseCode::BADSIG => Vec::new(),
            _ => self
                .signer
                .sign(&message_tbs(Some(asked.mac()), answer, &tsig, &name).ok()?)
                .ok()?,
        };
        Some(make_tsig_record(name, tsig.set_mac(mac)))
    }
}

impl Serve for UpdatePort {
    async fn full(&self, _: Async<TcpStream>, _: Why, _: Duration) {}

    fn full_at_once(&self, _: Duration) -> Vec<u8> {
        Vec::new()
    }

    async fn serve(self: Rc<Self>, socket: Async<TcpStream>, seat: Rc<Seat>) {
        let mut stream = Stream::new(socket);
        while let Some(Ok(Some(message))) = self.wheel.timeout(IDLE, read(&mut stream)).await {
            seat.busy();
            let Some(answer) = self.answer(&message) else {
                return;
            };
            let framed = [&(answer.len() as u16).to_be_bytes()[..], &answer].concat();
            if !matches!(
                self.wheel.timeout(IDLE, stream.send(&framed)).await,
                Some(Ok(()))
            ) {
                return;
            }
            seat.resting();
        }
    }
}

fn tsig_of(record: &Record) -> Option<&TSIG> {
    match record.data() {
        RData::DNSSEC(DNSSECRData::TSIG(tsig)) => Some(tsig),
        _ => None,
    }
}

/// Reads one message off a connection; nothing at its end.
async fn read(stream: &mut Stream) -> io::Result<Option<Vec<u8>>> {
    loop {
        if let Some((length, rest)) = stream.buf.split_first_chunk::<2>() {
            let length = usize::from(u16::from_be_bytes(*length));
            if let Some(message) = rest.get(..length) {
                let message = message.to_vec();
                stream.buf.drain(..2 + length);
                return Ok(Some(message));
            }
        }
        if !stream.fill().await? {
            return Ok(None);
        }
    }
}
