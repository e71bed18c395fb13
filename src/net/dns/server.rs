//! The port that takes signed updates of the zone (RFC 2136 over TCP, RFC 8945).

use super::zones::Zones;
use crate::admission_control::connection_slots::Why;
use crate::delivery::driver::DispatcherDriver;
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
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Bytes of the length before each message.
const LENGTH: usize = 2;
/// Bytes of a message's header.
const HEADER: usize = 12;
/// A connection without a message is closed after this time.
const IDLE: Duration = Duration::from_secs(30);

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
    async fn answer(&self, bytes: &[u8]) -> Option<Vec<u8>> {
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
                .await
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
        let mut stream = Stream::bounded(socket, seat.memory());
        while let Some(Ok(Some(message))) = self.wheel.timeout(IDLE, read(&mut stream)).await {
            seat.busy();
            let Some(answer) = self.answer(&message).await else {
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
    stream.release();
    stream.turn().await;
    loop {
        if let Some(length) = stream.buf.first_chunk::<LENGTH>() {
            let total = LENGTH + usize::from(u16::from_be_bytes(*length));
            if stream.buf.len() >= total {
                return Ok(Some(stream.take(total, LENGTH)));
            }
            stream.expect(total)?;
        }
        if !stream.fill().await? {
            return Ok(None);
        }
    }
}
