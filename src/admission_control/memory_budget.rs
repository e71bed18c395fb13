//! Who may hold how much of the process's memory. One budget, from the limit in the settings; every
//! part has its one holder, as in [`super::descriptor_budget`].

/// The program itself, its tables, the endpoint list and what the allocator keeps, in bytes.
const OWN_BYTES: usize = 14_000_000;
/// What a connection needs beside the pool: its task, its buffer up to [`FREE_BYTES`] and its
/// entries in tables.
const CONNECTION_BYTES: usize = 12_000;
/// What a call needs beside the message's body: its task, the head of the answer and its buffer.
const CALL_BYTES: usize = 40_000;
/// What a message needs beside its body, until its final answer is heard.
const MESSAGE_BYTES: usize = 4_000;
/// Part of the limit for messages whose final answers wait to be heard: one in so many bytes.
const WAITING_SHARE: usize = 16;
/// The least that is left for requests that are being read: two of the longest. With less, a long
/// message could never be accepted.
const LEAST_READING_BYTES: usize = 200_000;

/// Bytes of a request that each connection may send without a part of the pool: a usual message.
pub const FREE_BYTES: usize = 4 * 1024;

/// What the parts of the process need that are bounded elsewhere.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Connections of clients that may be open.
    pub connections: usize,
    /// Calls that may be out.
    pub calls: usize,
    /// Messages that may be held.
    pub messages: usize,
    /// Bytes of the state folder. Its files count as memory, and it bounds the bodies of all held
    /// messages and the copies of them that are being sent.
    pub state_folder_bytes: usize,
}

/// The parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// The limit on the whole process, in bytes.
    pub limit_bytes: usize,
    /// Messages that may be held or wait for their final answer to be heard.
    pub max_messages: usize,
    /// What all requests that are being read may hold together beyond [`FREE_BYTES`] each.
    pub reading_bytes: usize,
    /// The limit is too low for what the parts may need.
    pub is_short: bool,
}

impl MemoryBudget {
    /// Splits a limit.
    pub fn split(limit_bytes: usize, demand: Demand) -> Self {
        let waiting = limit_bytes / WAITING_SHARE / MESSAGE_BYTES;
        let max_messages = demand.messages + waiting;
        let fixed = OWN_BYTES
            + demand.connections * CONNECTION_BYTES
            + demand.calls * CALL_BYTES
            + max_messages * MESSAGE_BYTES
            + 3 * demand.state_folder_bytes;
        let left = limit_bytes.saturating_sub(fixed);
        MemoryBudget {
            limit_bytes,
            max_messages,
            reading_bytes: left.max(LEAST_READING_BYTES),
            is_short: left < LEAST_READING_BYTES,
        }
    }
}

#[cfg(test)]
mod tests;
