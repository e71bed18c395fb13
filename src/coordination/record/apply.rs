//! Application of commands to the record. Every change is a function of the record and the command
//! alone, so that all replicas reach the same state.

use super::{
    Command, Phase, Record, RequestedZoneState, RosterEntry, SliceId, ZoneOverride, MAX_SENDERS,
};

/// An order for a zone, as contained in [`Command::SetZonePhase`].
struct ZoneDecision<'a> {
    zone: &'a str,
    phase: Phase,
    out: &'a [(u16, f32)],
    return_attempts: u32,
    reason: &'a str,
}

impl Record {
    /// Applies the command of the log entry with this index.
    pub fn apply(&mut self, index: u64, command: &Command) {
        self.version = index;
        match command {
            Command::AddSender { sender, boot, zone } => {
                self.add_sender(index, sender, *boot, zone);
            }
            Command::ExpireSender { sender, boot } => self.expire_sender(index, sender, *boot),
            Command::AdvanceClock { ms, .. } => self.advance_clock(*ms),
            Command::SetZonePhase {
                base,
                zone,
                phase,
                out,
                return_attempts,
                reason,
            } => {
                let decision = ZoneDecision {
                    zone,
                    phase: *phase,
                    out,
                    return_attempts: *return_attempts,
                    reason,
                };
                self.set_zone_phase(index, *base, &decision);
            }
            Command::RequestZoneState {
                zone,
                state,
                for_ms,
            } => self.request_zone_state(zone, *state, *for_ms),
            Command::AllocateAttempts {
                term,
                slice,
                zone,
                epoch,
                warm,
                ..
            } => {
                let slice = SliceId {
                    term: *term,
                    number: *slice,
                };
                self.allocate_attempts(zone, *epoch, slice, warm);
            }
            Command::ChangePolicies { base, change } => {
                self.policies.apply(index, self.clock_ms, *base, change);
            }
            Command::ChangeTables { base, change } => {
                self.tables.apply(index, self.clock_ms, *base, change);
            }
            Command::FenceMember { term } => self.durable_vote.fence(*term),
            Command::PersistMemberLog { term, number, item } => {
                self.durable_vote.put(*term, *number, item);
            }
        }
    }

    /// Adds a sender to the roster. On a full roster it replaces the sender that expired first; if
    /// all hold a lease, it is not added.
    fn add_sender(&mut self, index: u64, sender: &str, boot: u64, zone: &str) {
        if !self.roster.contains_key(sender) && self.roster.len() >= MAX_SENDERS {
            let Some(expired) = self.first_expired() else {
                return;
            };
            self.roster.remove(&expired);
        }
        let entry = RosterEntry {
            boot,
            zone: zone.to_string(),
            live: true,
            since: index,
        };
        self.roster.insert(sender.to_string(), entry);
    }

    fn first_expired(&self) -> Option<String> {
        let expired = self.roster.iter().filter(|(_, entry)| !entry.live);
        let first = expired.min_by_key(|(_, entry)| entry.since);
        first.map(|(name, _)| name.clone())
    }

    fn expire_sender(&mut self, index: u64, sender: &str, boot: u64) {
        let Some(entry) = self.roster.get_mut(sender) else {
            return;
        };
        if entry.boot == boot && entry.live {
            entry.live = false;
            entry.since = index;
        }
    }

    /// Adds time to the record's clock, and removes requests that have expired.
    fn advance_clock(&mut self, ms: u32) {
        self.clock_ms += u64::from(ms);
        let now_ms = self.clock_ms;
        for zone in self.zones.values_mut() {
            let is_valid = |r: &ZoneOverride| r.until_ms == 0 || r.until_ms > now_ms;
            zone.request = zone.request.filter(is_valid);
        }
        self.remove_default_zones();
    }

    fn set_zone_phase(&mut self, index: u64, base: u64, decision: &ZoneDecision<'_>) {
        if base != self.epoch || !self.has_room(decision.zone) {
            return;
        }
        self.epoch += 1;
        self.changed = index;
        let zone = self.zones.entry(decision.zone.to_string()).or_default();
        // Steps of readmission within a return do not reset its recovery ramp.
        if zone.phase != Phase::Returning || decision.phase != Phase::Returning {
            zone.warm.clear();
        }
        zone.phase = decision.phase;
        zone.epoch = self.epoch;
        zone.out = decision.out.to_vec();
        zone.return_attempts = decision.return_attempts;
        zone.reason = decision.reason.to_string();
        zone.since_ms = self.clock_ms;
        if decision.phase == Phase::Left {
            zone.left = decision.out.to_vec();
        }
        self.remove_default_zones();
    }

    fn request_zone_state(&mut self, zone: &str, state: RequestedZoneState, for_ms: u64) {
        if !self.has_room(zone) {
            return;
        }
        let until_ms = match for_ms {
            0 => 0,
            _ => self.clock_ms.saturating_add(for_ms),
        };
        let request = match state {
            RequestedZoneState::Free => None,
            _ => Some(ZoneOverride { state, until_ms }),
        };
        self.zones.entry(zone.to_string()).or_default().request = request;
        self.remove_default_zones();
    }

    fn allocate_attempts(&mut self, zone: &str, epoch: u64, slice: SliceId, warm: &[(u16, u32)]) {
        let Some(zone) = self.zones.get_mut(zone) else {
            return;
        };
        if zone.epoch == epoch && zone.phase == Phase::Returning {
            zone.last_slice = slice;
            zone.warm = warm.to_vec();
        }
    }

    /// Removes the zones that the record need not store.
    fn remove_default_zones(&mut self) {
        self.zones.retain(|_, zone| zone.must_be_stored());
    }
}
