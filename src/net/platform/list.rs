//! The platform's form of the directory's list, and where one object of it ends.

use crate::delivery::endpoint::{EndpointEntry, EndpointListUpdate};
use crate::Condition;
use serde::Deserialize;

#[derive(Deserialize)]
struct Hosts {
    rev: u64,
    #[serde(default)]
    all: bool,
    #[serde(default)]
    targets: Vec<Target>,
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: std::net::SocketAddr,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    pod_group: u16,
    state: String,
    #[serde(default)]
    capacity_hint: f32,
    #[serde(default)]
    boot_ms: u64,
}

/// Reads one object of the list.
pub fn read(text: &[u8]) -> Result<EndpointListUpdate, String> {
    let hosts: Hosts = serde_json::from_slice(text).map_err(|e| format!("list: {e}"))?;
    let entries = hosts.targets.into_iter().map(|t| EndpointEntry {
        uid: t.uid,
        address: t.endpoint,
        zone: t.az,
        kind: t.model,
        dest: t.pod_group,
        condition: match t.state.as_str() {
            "active" => Condition::Ready,
            "left" => Condition::Gone,
            // What is not known to want calls gets none.
            _ => Condition::Draining,
        },
        rate: t.capacity_hint,
        started_unix_ms: t.boot_ms,
    });
    Ok(EndpointListUpdate {
        revision: hosts.rev,
        complete: hosts.all,
        entries: entries.collect(),
    })
}

/// Longest object taken, in bytes.
const MAX_OBJECT: usize = 4 << 20;

/// What a watch brings that cannot be an object of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Spoilt {
    /// Text where an object should begin.
    #[error("list: no object begins here")]
    NoObject,
    /// An object that is longer than any list.
    #[error("list: an object without end")]
    Endless,
}

/// What a watch said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    /// An empty line: nothing has changed.
    NoChange,
    /// The text of one object, on one line or, indented, on several.
    Object(Vec<u8>),
}

/// Finds the objects in the text of a watch, however it is cut into pieces. Each byte is looked at
/// once.
#[derive(Debug, Default)]
pub struct Objects {
    /// The object that has begun.
    begun: Vec<u8>,
    /// Brackets that are open in it.
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// The rest of a line on which an object ended is no empty line.
    after_object: bool,
}

impl Objects {
    /// Takes from the front of `text` up to the end of what is said next; nothing, if that has not
    /// come whole.
    pub fn next(&mut self, text: &mut Vec<u8>) -> Result<Option<Said>, Spoilt> {
        let (mut said, mut taken) = (None, 0);
        while said.is_none() && taken < text.len() {
            said = self.byte(text[taken])?;
            taken += 1;
        }
        if said == Some(Said::NoChange) {
            // Empty lines that come together are one word.
            taken += text[taken..].iter().take_while(|b| **b == b'\n').count();
        }
        text.drain(..taken);
        Ok(said)
    }

    fn byte(&mut self, byte: u8) -> Result<Option<Said>, Spoilt> {
        if self.depth > 0 {
            return self.within(byte);
        }
        match byte {
            b'\n' if std::mem::take(&mut self.after_object) => Ok(None),
            b'\n' => Ok(Some(Said::NoChange)),
            b'{' => self.within(byte),
            _ if byte.is_ascii_whitespace() => Ok(None),
            _ => Err(Spoilt::NoObject),
        }
    }

    fn within(&mut self, byte: u8) -> Result<Option<Said>, Spoilt> {
        if self.begun.len() >= MAX_OBJECT {
            return Err(Spoilt::Endless);
        }
        self.begun.push(byte);
        match byte {
            _ if std::mem::take(&mut self.escaped) => {}
            b'\\' => self.escaped = self.in_string,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        if self.depth > 0 {
            return Ok(None);
        }
        self.after_object = true;
        Ok(Some(Said::Object(std::mem::take(&mut self.begun))))
    }
}
