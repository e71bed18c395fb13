//! The copy of a zone: what is written, what is read back, and what is not used.

use super::*;
use crate::durable_file::unfinished_path;
use tempfile::TempDir;

const LIMIT_BYTES: u64 = 3_000_000;

fn zone(serial: u32) -> Zone {
    let text = format!(
        "$ORIGIN x.example.\n@ 60 IN SOA ns mail {serial} 1 1 1 1\n\
         _raildeal._tcp.7 60 IN SRV 0 0 1884 p\np 60 IN A 127.0.0.1\n"
    );
    Zone::read(&text, None).expect("a zone")
}

fn cache(folder: &TempDir) -> ZoneCache {
    ZoneCache::new(folder.path(), Path::new("/etc/partners.zone"), LIMIT_BYTES)
}

fn read(cache: &ZoneCache) -> Result<Option<u32>, ZoneCacheError> {
    let Some(last) = cache.read(SystemTime::now())? else {
        return Ok(None);
    };
    last.copy.map(|zone| Some(zone.serial()))
}

#[test]
fn a_copy_reads_back_as_the_zone_that_was_written() {
    let folder = TempDir::new().expect("a folder");
    let cache = cache(&folder);
    assert!(matches!(read(&cache), Ok(None)));
    cache.write(&zone(7)).expect("written");
    cache.write(&zone(8)).expect("written");
    assert!(matches!(read(&cache), Ok(Some(8))));
}

#[test]
fn a_copy_cut_or_changed_anywhere_is_never_used() {
    let folder = TempDir::new().expect("a folder");
    let cache = cache(&folder);
    cache.write(&zone(7)).expect("written");
    let whole = fs::read(cache.path()).expect("a file");
    for end in 0..whole.len() {
        fs::write(cache.path(), &whole[..end]).expect("written");
        assert!(
            matches!(read(&cache), Err(ZoneCacheError::Damaged)),
            "cut at {end}"
        );
    }
    for at in 0..whole.len() {
        let mut changed = whole.clone();
        changed[at] ^= 4;
        fs::write(cache.path(), &changed).expect("written");
        assert!(read(&cache).is_err(), "changed at {at}");
    }
    fs::write(cache.path(), &whole).expect("written");
    assert!(matches!(read(&cache), Ok(Some(7))));
}

#[test]
fn a_crash_while_a_copy_is_written_leaves_the_one_before() {
    let folder = TempDir::new().expect("a folder");
    let cache = cache(&folder);
    cache.write(&zone(7)).expect("written");
    fs::write(unfinished_path(&cache.path()), "raildeal zone 1 ").expect("written");
    assert!(matches!(read(&cache), Ok(Some(7))));
    cache.write(&zone(8)).expect("written");
    assert!(matches!(read(&cache), Ok(Some(8))));
    assert!(!unfinished_path(&cache.path()).exists());
}

#[test]
fn a_copy_that_no_zone_uses_takes_no_room() {
    let folder = TempDir::new().expect("a folder");
    cache(&folder).write(&zone(7)).expect("written");
    ZoneCache::remove_unused(folder.path()).expect("removed");
    ZoneCache::remove_unused(folder.path()).expect("nothing to remove");
    assert!(matches!(read(&cache(&folder)), Ok(None)));
}

#[test]
fn a_copy_of_another_zone_file_is_not_used() {
    let folder = TempDir::new().expect("a folder");
    cache(&folder).write(&zone(7)).expect("written");
    let other = ZoneCache::new(folder.path(), Path::new("/etc/other.zone"), LIMIT_BYTES);
    let read = other.read(SystemTime::now());
    assert!(matches!(read, Err(ZoneCacheError::OtherZoneFile(file)) if file.contains("partners")));
}

#[test]
fn a_copy_counts_for_a_day_after_its_last_use() {
    let folder = TempDir::new().expect("a folder");
    let cache = cache(&folder);
    cache.write(&zone(7)).expect("written");
    let at = |time| {
        let last = cache.read(time).expect("an identity");
        last.expect("an identity").copy
    };
    assert!(at(SystemTime::now() + MAX_AGE - Duration::from_secs(60)).is_ok());
    let too_old = at(SystemTime::now() + MAX_AGE + Duration::from_secs(60));
    assert!(matches!(too_old, Err(ZoneCacheError::TooOld { .. })));
    // A clock that was set back.
    assert!(at(SystemTime::now() - MAX_AGE * 2).is_ok());
    // Writing the same zone notes its use.
    let file = File::options().write(true).open(cache.path());
    let long_ago = SystemTime::now() - MAX_AGE * 2;
    file.expect("a file").set_modified(long_ago).expect("set");
    assert!(matches!(read(&cache), Err(ZoneCacheError::TooOld { .. })));
    cache.write(&zone(7)).expect("written");
    assert!(matches!(read(&cache), Ok(Some(7))));
}

#[test]
fn a_copy_takes_no_more_of_the_folder_than_is_free() {
    let folder = TempDir::new().expect("a folder");
    let cache = cache(&folder);
    cache.write(&zone(7)).expect("written");
    let copy_bytes = fs::metadata(cache.path()).expect("a file").len();
    let journal = vec![0; LIMIT_BYTES as usize];
    fs::write(folder.path().join("0000.seg"), journal).expect("written");
    let full = cache.write(&zone(8));
    assert!(matches!(
        full,
        Ok(Kept::Less(ZoneCacheError::NoRoom { .. }))
    ));
    // The copy of a zone that has been replaced does not stay, and the folder does not grow.
    assert_identity_only(&cache, 8);
    assert!(fs::metadata(cache.path()).expect("a file").len() <= copy_bytes);
    fs::remove_file(folder.path().join("0000.seg")).expect("removed");
    cache.write(&zone(8)).expect("written");
    assert!(matches!(read(&cache), Ok(Some(8))));
    let narrow = ZoneCache::new(folder.path(), Path::new("/etc/partners.zone"), 8192);
    let large = sized_zone(9, 200);
    assert!(matches!(
        narrow.write(&large),
        Ok(Kept::Less(ZoneCacheError::NoRoom { .. }))
    ));
    assert_identity_only(&narrow, 9);
}

/// Checks that it is known which zone was in use last, and that there is no copy.
fn assert_identity_only(cache: &ZoneCache, serial: u32) {
    let last = cache.read(SystemTime::now()).expect("an identity");
    let last = last.expect("an identity");
    assert_eq!(last.identity.serial, serial);
    assert!(matches!(
        last.copy,
        Err(ZoneCacheError::IdentityOnly { .. })
    ));
}

/// A zone of so many endpoints, with names and addresses that compress as badly as real ones.
fn sized_zone(serial: u32, endpoints: usize) -> Zone {
    let mut random = fastrand::Rng::with_seed(7);
    let mut text = format!("$ORIGIN partners.x.example.\n@ 60 IN SOA ns mail {serial} 1 1 1 1\n");
    for endpoint in 0..endpoints {
        let name: String = (0..10).map(|_| random.lowercase()).collect();
        let address = std::net::Ipv4Addr::from(random.u32(..));
        let port = random.u16(1024..);
        text += &format!(
            "_raildeal._tcp.{} 60 IN SRV 0 0 {port} {name}\n{name} 60 IN A {address}\n\
             {name} 60 IN TXT \"zone=edificio-a\" \"kind=major-partner\" \"rate=4\"\n",
            endpoint / 2
        );
    }
    Zone::read(&text, None).expect("a zone")
}

#[test]
fn a_zone_of_the_largest_fleet_is_copied_on_the_disk_of_the_platform() {
    // review/10: no copy was kept of a zone of some 800 endpoints or more.
    for endpoints in [50, 800, 3_200] {
        let folder = TempDir::new().expect("a folder");
        let cache = cache(&folder);
        let zone = sized_zone(7, endpoints);
        assert!(matches!(cache.write(&zone), Ok(Kept::Copy)), "{endpoints}");
        let last = cache.read(SystemTime::now()).expect("a copy");
        let copy = last.expect("a copy").copy.expect("a copy");
        assert_eq!(copy.text(), zone.text());
        let copy_bytes = fs::metadata(cache.path()).expect("a file").len();
        assert!(2 * copy_bytes <= ZoneCache::reserved_bytes(LIMIT_BYTES));
    }
}

#[test]
fn a_compressed_copy_cut_or_changed_anywhere_is_never_used() {
    let folder = TempDir::new().expect("a folder");
    let cache = ZoneCache::new(
        folder.path(),
        Path::new("/etc/partners.zone"),
        8192 * MAX_FRACTION,
    );
    let zone = sized_zone(7, 50);
    assert!(matches!(cache.write(&zone), Ok(Kept::Copy)));
    let whole = fs::read(cache.path()).expect("a file");
    assert!(whole.starts_with(COMPRESSED_HEADER.as_bytes()));
    for at in 0..whole.len() {
        fs::write(cache.path(), &whole[..at]).expect("written");
        assert!(read(&cache).is_err(), "cut at {at}");
        let mut changed = whole.clone();
        changed[at] ^= 4;
        fs::write(cache.path(), &changed).expect("written");
        assert!(read(&cache).is_err(), "changed at {at}");
    }
}
