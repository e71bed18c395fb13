//! Writes the reply to one frame: the actions of each instance.

use raildeal::{Action, EndpointAddress};

/// Codes of the reply's records.
mod code {
    pub const LOG: u8 = 1;
    pub const WATCH_LIST: u8 = 2;
    pub const INSTANCE: u8 = 3;
    pub const CLOSE_IDLE: u8 = 4;
    pub const FAIL: u8 = 5;
    pub const HEALTH_CHECK: u8 = 7;
    pub const SEND: u8 = 8;
    pub const REJECT: u8 = 9;
    pub const WAKE: u8 = 11;
}

/// Length of a frame's header, in bytes.
const HEADER: usize = 8;

/// Builds one reply.
pub struct Writer {
    bytes: Vec<u8>,
    /// The instance that the last action was for.
    instance: Option<u16>,
}

impl Writer {
    /// Creates a reply to the frame with this sequence number.
    pub fn new(sequence: [u8; 4]) -> Self {
        let mut bytes = sequence.to_vec();
        bytes.extend([0; 4]); // the length, known at the end
        Writer {
            bytes,
            instance: None,
        }
    }

    /// Appends an action of an instance.
    pub fn action(&mut self, instance: u16, action: &Action) {
        if self.instance != Some(instance) {
            self.instance = Some(instance);
            self.bytes.push(code::INSTANCE);
            self.bytes.extend(instance.to_be_bytes());
        }
        match action {
            Action::Send {
                id,
                endpoint,
                timeout,
            } => {
                self.code_and_id(code::SEND, *id);
                self.endpoint(*endpoint);
                self.bytes.extend(timeout.to_be_bytes());
            }
            Action::Reject { id, retry_after } => {
                self.code_and_id(code::REJECT, *id);
                self.bytes.extend(retry_after.to_be_bytes());
            }
            Action::Fail { id } => self.code_and_id(code::FAIL, *id),
            Action::HealthCheck { endpoint } => {
                self.bytes.push(code::HEALTH_CHECK);
                self.endpoint(*endpoint);
            }
            Action::CloseIdle { endpoint } => {
                self.bytes.push(code::CLOSE_IDLE);
                self.endpoint(*endpoint);
            }
            Action::WatchList => self.bytes.extend([code::WATCH_LIST, 1]),
            Action::WakeAfter(span) => {
                self.bytes.push(code::WAKE);
                self.bytes.extend(0u64.to_be_bytes());
                self.bytes.extend(span.to_be_bytes());
            }
            Action::Log(text) => self.log(text),
        }
    }

    fn code_and_id(&mut self, code: u8, id: u32) {
        self.bytes.push(code);
        self.bytes.extend(id.to_be_bytes());
    }

    fn endpoint(&mut self, endpoint: EndpointAddress) {
        self.bytes.extend(endpoint.addr);
        self.bytes.extend(endpoint.port.to_be_bytes());
    }

    fn log(&mut self, text: &str) {
        let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.bytes.push(code::LOG);
        self.bytes.extend((text.len() as u16).to_be_bytes());
        self.bytes.extend(text);
    }

    /// Returns the bytes of the reply.
    pub fn finish(mut self) -> Vec<u8> {
        let length = (self.bytes.len() - HEADER) as u32;
        self.bytes[4..HEADER].copy_from_slice(&length.to_be_bytes());
        self.bytes
    }
}
