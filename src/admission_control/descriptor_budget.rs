//! Who may hold how many of the process's descriptors. One budget, from the smaller of what is told
//! and what the system allows; every part has its one holder.

/// The process's own: the store's, ports, signals, the poller, the watch, notices, the one that is
/// held back.
const OWN: usize = 18 + MAX_OPEN_FILES;
use crate::store::log::MAX_OPEN_FILES;

/// For requests with notices that go beside the first one; what is kept gives way to them.
const FURTHER_NOTICES: usize = 2;
/// For connections that are accepted and not yet placed: in the lobby, or told that all is full.
const LOBBY: usize = 16;
/// Below this the parts make no sense.
const LEAST: usize = 16;

/// The parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// All of them.
    pub all: usize,
    /// Clients' connections.
    pub clients: usize,
    /// Connections that are not yet placed.
    pub lobby: usize,
    /// Calls that are out.
    pub calls: usize,
    /// Connections to providers that are kept for further calls.
    pub kept: usize,
    /// Connections that bring updates of the directory.
    pub updates: usize,
}

impl Budget {
    /// Splits the descriptors: `told` by the settings, `allowed` by the system, with so many calls
    /// out at most.
    pub fn split(told: usize, allowed: Option<u64>, slots: usize, updates: usize) -> Self {
        let allowed = allowed.map_or(usize::MAX, |n| usize::try_from(n).unwrap_or(usize::MAX));
        let all = told.min(allowed);
        let rest = all.max(LEAST).saturating_sub(OWN + updates);
        // A client cannot use what calls need, nor the other way round.
        let clients = (rest / 3).max(1);
        let lobby = LOBBY.min(rest / 16);
        let calls = slots.min(rest.saturating_sub(clients + lobby));
        let kept = rest.saturating_sub(clients + lobby + calls + FURTHER_NOTICES);
        Budget {
            all,
            clients,
            lobby,
            calls,
            kept,
            updates,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parts_never_sum_to_more_than_there_is() {
        for all in [16, 64, 128, 256, 1024, 65_536] {
            for slots in [1, 8, 60, 500] {
                for updates in [0, 8] {
                    let b = Budget::split(all, None, slots, updates);
                    let sum = b.clients + b.lobby + b.calls + b.kept + b.updates + OWN;
                    assert!(sum <= all.max(OWN + updates + 1), "{b:?}");
                    assert!(
                        all < 128 || (b.clients >= all / 4 && b.calls == slots.min(b.calls)),
                        "{b:?}"
                    );
                }
            }
        }
        assert_eq!(
            Budget::split(1024, Some(100), 8, 0).all,
            100,
            "the smaller one counts"
        );
    }
}
