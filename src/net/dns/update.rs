//! What a dynamic update asks of a zone (RFC 2136, sections 3.2 and 3.4). A zone is changed as a
//! whole or not at all.

use super::zone::Zone;
use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::rdata::SOA;
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};

/// The zone after an update; nothing where the update changes nothing.
pub fn apply(zone: &Zone, update: &Message) -> Result<Option<Zone>, ResponseCode> {
    let [section] = update.queries() else {
        return Err(ResponseCode::FormErr);
    };
    if section.query_type() != RecordType::SOA {
        return Err(ResponseCode::FormErr);
    }
    if section.name() != &zone.origin || section.query_class() != DNSClass::IN {
        return Err(ResponseCode::NotAuth);
    }
    prerequisites(zone, update.answers())?;
    prescan(zone, update.name_servers())?;
    let mut next = zone.clone();
    update
        .name_servers()
        .iter()
        .for_each(|r| change(&mut next, r));
    if same(&next.records, &zone.records) {
        return Ok(None);
    }
    if next.serial() == zone.serial() {
        raise(&mut next);
    }
    next.check().map_err(|e| {
        log::warn!("dns: update refused: {e}");
        ResponseCode::Refused
    })?;
    Ok(Some(next))
}

fn prerequisites(zone: &Zone, wanted: &[Record]) -> Result<(), ResponseCode> {
    let mut sets: Vec<&Record> = Vec::new();
    for r in wanted {
        if r.ttl() != 0 {
            return Err(ResponseCode::FormErr);
        }
        in_zone(zone, r.name())?;
        let any = r.record_type() == RecordType::ANY;
        let found = zone
            .records
            .iter()
            .any(|z| z.name() == r.name() && (any || z.record_type() == r.record_type()));
        match r.dns_class() {
            DNSClass::ANY | DNSClass::NONE if !is_empty(r) => return Err(ResponseCode::FormErr),
            DNSClass::ANY if !found => {
                return Err(if any {
                    ResponseCode::NXDomain
                } else {
                    ResponseCode::NXRRSet
                });
            }
            DNSClass::NONE if found => {
                return Err(if any {
                    ResponseCode::YXDomain
                } else {
                    ResponseCode::YXRRSet
                });
            }
            DNSClass::ANY | DNSClass::NONE => {}
            DNSClass::IN => sets.push(r),
            _ => return Err(ResponseCode::FormErr),
        }
    }
    // Sets told by value have to be there, whole and with nothing beside them.
    for r in &sets {
        let of_set = |o: &&Record| o.name() == r.name() && o.record_type() == r.record_type();
        let told: Vec<&Record> = sets.iter().copied().filter(of_set).collect();
        let held: Vec<&Record> = zone.records.iter().filter(of_set).collect();
        let covers =
            |a: &[&Record], b: &[&Record]| a.iter().all(|x| b.iter().any(|y| x.data() == y.data()));
        if !covers(&told, &held) || !covers(&held, &told) {
            return Err(ResponseCode::NXRRSet);
        }
    }
    Ok(())
}

/// Nothing is changed before all of it is known to make sense.
fn prescan(zone: &Zone, changes: &[Record]) -> Result<(), ResponseCode> {
    for r in changes {
        in_zone(zone, r.name())?;
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

fn change(zone: &mut Zone, r: &Record) {
    let (name, kind, apex) = (r.name(), r.record_type(), r.name() == &zone.origin);
    let kept = [RecordType::SOA, RecordType::NS];
    match (r.dns_class(), kind) {
        (DNSClass::IN, RecordType::SOA) => {
            // Only the apex has one, and only a newer one counts.
            let newer = r
                .data()
                .as_soa()
                .is_some_and(|soa| is_newer(soa.serial(), zone.serial()));
            if apex && newer {
                zone.records.retain(|z| z.record_type() != RecordType::SOA);
                zone.records.push(r.clone());
            }
        }
        (DNSClass::IN, _) => {
            zone.records
                .retain(|z| !(z.name() == name && z.data() == r.data()));
            zone.records.push(r.clone());
        }
        (DNSClass::ANY, RecordType::ANY) => {
            zone.records
                .retain(|z| z.name() != name || apex && kept.contains(&z.record_type()));
        }
        (DNSClass::ANY, _) => {
            let stays = apex && kept.contains(&kind);
            zone.records
                .retain(|z| stays || z.name() != name || z.record_type() != kind);
        }
        // Only class NONE is left: one record by value. The SOA and the last NS of the apex stay.
        (_, RecordType::SOA) => {}
        _ => {
            let servers = zone
                .records
                .iter()
                .filter(|z| z.name() == name && z.record_type() == RecordType::NS);
            if !(apex && kind == RecordType::NS && servers.count() < 2) {
                zone.records
                    .retain(|z| z.name() != name || z.data() != r.data());
            }
        }
    }
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

fn in_zone(zone: &Zone, name: &Name) -> Result<(), ResponseCode> {
    if zone.origin.zone_of(name) {
        Ok(())
    } else {
        Err(ResponseCode::NotZone)
    }
}

fn is_empty(r: &Record) -> bool {
    matches!(r.data(), RData::Update0(_))
}

fn same(a: &[Record], b: &[Record]) -> bool {
    let within = |a: &[Record], b: &[Record]| {
        a.iter()
            .all(|r| b.iter().any(|o| o == r && o.ttl() == r.ttl()))
    };
    a.len() == b.len() && within(a, b) && within(b, a)
}
