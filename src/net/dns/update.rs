//! What a dynamic update asks of a zone (RFC 2136, sections 3.2 and 3.4). A zone is changed as a
//! whole or not at all.

use super::zone::{ListedZone, Zone};
use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::rdata::SOA;
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use std::collections::{BTreeMap, BTreeSet};

/// Records of the apex that no update removes.
const PERMANENT_TYPES: [RecordType; 2] = [RecordType::SOA, RecordType::NS];

/// The zone after an update; nothing where the update changes nothing.
///
/// # Errors
/// The code of RFC 2136 with which the update is answered.
pub fn apply(zone: &Zone, update: &Message) -> Result<Option<Zone>, ResponseCode> {
    Ok(apply_and_list(zone, update)?.map(|listed| listed.zone))
}

/// The zone after an update, with its endpoints; nothing where the update changes nothing.
///
/// # Errors
/// As for [`apply`].
pub fn apply_and_list(zone: &Zone, update: &Message) -> Result<Option<ListedZone>, ResponseCode> {
    let [section] = update.queries() else {
        return Err(ResponseCode::FormErr);
    };
    if section.query_type() != RecordType::SOA {
        return Err(ResponseCode::FormErr);
    }
    if section.name() != &zone.origin || section.query_class() != DNSClass::IN {
        return Err(ResponseCode::NotAuth);
    }
    let changes = update.name_servers();
    let named = || update.answers().iter().chain(changes).map(Record::name);
    let (before, others) = RecordsByName::of_names(zone, named());
    prerequisites(&before, update.answers())?;
    prescan(zone, changes)?;
    let mut after = before.clone();
    for record in changes {
        after.change(record);
    }
    if named().all(|name| is_same_content(before.of(name), after.of(name))) {
        return Ok(None);
    }
    let changed: Vec<Record> = after.by_name.into_values().flatten().collect();
    let mut next = Zone {
        origin: after.origin,
        records: others.into_iter().cloned().chain(changed.clone()).collect(),
    };
    if next.serial() == zone.serial() {
        raise(&mut next);
    }
    let next = ListedZone::new(next).map_err(|e| {
        log::warn!("dns: update refused: {e}");
        ResponseCode::Refused
    })?;
    if !next.zone.is_writable(&changed) {
        log::error!("dns: update refused: its records cannot be written as they are");
        return Err(ResponseCode::ServFail);
    }
    Ok(Some(next))
}

/// Those records of a zone that have one of the names of an update, by name, so that a change does
/// not search all of them.
#[derive(Clone)]
struct RecordsByName {
    origin: Name,
    by_name: BTreeMap<Name, Vec<Record>>,
}

impl RecordsByName {
    /// Returns the records that have one of the names, and all others.
    fn of_names<'zone, 'names>(
        zone: &'zone Zone,
        names: impl Iterator<Item = &'names Name>,
    ) -> (Self, Vec<&'zone Record>) {
        let mut by_name: BTreeMap<Name, Vec<Record>> =
            names.map(|name| (name.clone(), Vec::new())).collect();
        let mut others = Vec::new();
        for record in &zone.records {
            match by_name.get_mut(record.name()) {
                Some(of_name) => of_name.push(record.clone()),
                None => others.push(record),
            }
        }
        let named = RecordsByName {
            origin: zone.origin.clone(),
            by_name,
        };
        (named, others)
    }

    fn of(&self, name: &Name) -> &[Record] {
        self.by_name.get(name).map_or(&[], Vec::as_slice)
    }

    /// Carries out one change of an update (RFC 2136, section 3.4.2).
    fn change(&mut self, change: &Record) {
        let is_apex = change.name() == &self.origin;
        let record_type = change.record_type();
        let records = self.by_name.entry(change.name().clone()).or_default();
        match (change.dns_class(), record_type) {
            // Only the apex has one, and only a newer one counts.
            (DNSClass::IN, RecordType::SOA) => {
                if is_apex && is_newer_soa(change, records) {
                    records.retain(|record| record.record_type() != RecordType::SOA);
                    records.push(as_read_from_file(change));
                }
            }
            (DNSClass::IN, _) => {
                records.retain(|record| record.data() != change.data());
                records.push(change.clone());
            }
            (DNSClass::ANY, RecordType::ANY) => {
                records.retain(|record| is_apex && PERMANENT_TYPES.contains(&record.record_type()))
            }
            (DNSClass::ANY, _) => {
                let stays = is_apex && PERMANENT_TYPES.contains(&record_type);
                records.retain(|record| stays || record.record_type() != record_type);
            }
            // Only class NONE is left: one record by value. The SOA and the last NS of the apex stay.
            (_, RecordType::SOA) => {}
            _ => {
                let of_type = records
                    .iter()
                    .filter(|record| record.record_type() == record_type);
                let is_last_server =
                    is_apex && record_type == RecordType::NS && of_type.count() < 2;
                if !is_last_server {
                    records.retain(|record| record.data() != change.data());
                }
            }
        }
    }
}

/// Returns an SOA record with the time to live that it has when it is read from a zone file: its
/// expiry, whatever is written.
fn as_read_from_file(soa: &Record) -> Record {
    let mut record = soa.clone();
    if let Some(soa) = soa.data().as_soa() {
        record.set_ttl(soa.expire().try_into().unwrap_or(0));
    }
    record
}

/// Whether an SOA record has a newer serial than the one among the records of the apex.
fn is_newer_soa(soa: &Record, apex: &[Record]) -> bool {
    let held = apex.iter().find_map(|record| record.data().as_soa());
    let held_serial = held.map_or(0, SOA::serial);
    let soa = soa.data().as_soa();
    soa.is_some_and(|soa| is_newer(soa.serial(), held_serial))
}

/// Whether two sequences of records of one name have the same content, in any order.
fn is_same_content(before: &[Record], after: &[Record]) -> bool {
    let keys = |records: &[Record]| -> BTreeSet<(u32, String)> {
        let keys = records
            .iter()
            .map(|record| (record.ttl(), data_key(record)));
        keys.collect()
    };
    before.len() == after.len() && keys(before) == keys(after)
}

/// Returns a text that two records of one name share if their types and data are equal.
fn data_key(record: &Record) -> String {
    match record.data() {
        RData::TXT(text) => format!("TXT {:?}", text.txt_data()),
        // Names are equal whatever their case.
        data => format!("{} {}", record.record_type(), data).to_lowercase(),
    }
}

/// Checks the prerequisites of an update (RFC 2136, section 3.2).
fn prerequisites(zone: &RecordsByName, wanted: &[Record]) -> Result<(), ResponseCode> {
    let mut sets: BTreeMap<(&Name, RecordType), BTreeSet<String>> = BTreeMap::new();
    for record in wanted {
        if record.ttl() != 0 {
            return Err(ResponseCode::FormErr);
        }
        in_zone(&zone.origin, record.name())?;
        let record_type = record.record_type();
        match record.dns_class() {
            DNSClass::ANY | DNSClass::NONE => check_existence(zone, record)?,
            DNSClass::IN => {
                let set = sets.entry((record.name(), record_type)).or_default();
                set.insert(data_key(record));
            }
            _ => return Err(ResponseCode::FormErr),
        }
    }
    // Sets told by value have to be there, whole and with nothing beside them.
    for ((name, record_type), told) in sets {
        let of_type = zone
            .of(name)
            .iter()
            .filter(|record| record.record_type() == record_type);
        if of_type.map(data_key).collect::<BTreeSet<_>>() != told {
            return Err(ResponseCode::NXRRSet);
        }
    }
    Ok(())
}

/// Checks a prerequisite that a name or a set exists (class ANY), or that it does not (NONE).
fn check_existence(zone: &RecordsByName, wanted: &Record) -> Result<(), ResponseCode> {
    if !is_empty(wanted) {
        return Err(ResponseCode::FormErr);
    }
    let is_name = wanted.record_type() == RecordType::ANY;
    let is_found = zone
        .of(wanted.name())
        .iter()
        .any(|record| is_name || record.record_type() == wanted.record_type());
    match (wanted.dns_class(), is_name) {
        (DNSClass::ANY, true) if !is_found => Err(ResponseCode::NXDomain),
        (DNSClass::ANY, false) if !is_found => Err(ResponseCode::NXRRSet),
        (DNSClass::NONE, true) if is_found => Err(ResponseCode::YXDomain),
        (DNSClass::NONE, false) if is_found => Err(ResponseCode::YXRRSet),
        _ => Ok(()),
    }
}

/// Nothing is changed before all of it is known to make sense.
fn prescan(zone: &Zone, changes: &[Record]) -> Result<(), ResponseCode> {
    for r in changes {
        in_zone(&zone.origin, r.name())?;
        let meta = matches!(
            r.record_type(),
            RecordType::AXFR | RecordType::IXFR | RecordType::OPT
        );
        let any = r.record_type() == RecordType::ANY;
        let sound = match r.dns_class() {
            DNSClass::IN => !any && !meta && !is_empty(r),
            DNSClass::ANY => r.ttl() == 0 && is_empty(r) && !meta,
            DNSClass::NONE => r.ttl() == 0 && !any && !meta,
            _ => false,
        };
        if !sound {
            return Err(ResponseCode::FormErr);
        }
    }
    Ok(())
}

/// Raises the serial by one, past zero, which some take for none.
fn raise(zone: &mut Zone) {
    for r in &mut zone.records {
        if let Some(soa) = r.data().as_soa() {
            let serial = soa.serial().wrapping_add(1).max(1);
            let (mname, rname) = (soa.mname().clone(), soa.rname().clone());
            let next = SOA::new(
                mname,
                rname,
                serial,
                soa.refresh(),
                soa.retry(),
                soa.expire(),
                soa.minimum(),
            );
            r.set_data(RData::SOA(next));
        }
    }
}

/// Serial arithmetic of RFC 1982.
pub fn is_newer(serial: u32, than: u32) -> bool {
    serial != than && serial.wrapping_sub(than) < 1 << 31
}

fn in_zone(origin: &Name, name: &Name) -> Result<(), ResponseCode> {
    if origin.zone_of(name) {
        Ok(())
    } else {
        Err(ResponseCode::NotZone)
    }
}

fn is_empty(r: &Record) -> bool {
    matches!(r.data(), RData::Update0(_))
}
