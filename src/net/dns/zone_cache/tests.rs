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
    let zone = cache.read(SystemTime::now())?;
    Ok(zone.map(|zone| zone.serial()))
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
    let later = |time| cache.read(SystemTime::now() + time);
    assert!(later(MAX_AGE - Duration::from_secs(60)).is_ok());
    let too_old = later(MAX_AGE + Duration::from_secs(60));
    assert!(matches!(too_old, Err(ZoneCacheError::TooOld { .. })));
    // A clock that was set back.
    let earlier = cache.read(SystemTime::now() - MAX_AGE * 2);
    assert!(matches!(earlier, Ok(Some(_))));
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
    let journal = vec![0; LIMIT_BYTES as usize];
    fs::write(folder.path().join("0000.seg"), journal).expect("written");
    let full = cache.write(&zone(8));
    assert!(matches!(full, Err(ZoneCacheError::NoRoom { .. })));
    assert!(matches!(read(&cache), Ok(Some(7))));
    fs::remove_file(folder.path().join("0000.seg")).expect("removed");
    cache.write(&zone(8)).expect("written");
    let narrow = ZoneCache::new(folder.path(), Path::new("/etc/partners.zone"), 8192);
    let hosts: String = (0..200)
        .map(|host| format!("h{host} 60 IN A 127.0.0.1\n"))
        .collect();
    let text = format!("$ORIGIN x.example.\n@ 60 IN SOA ns mail 9 1 1 1 1\n{hosts}");
    let large = Zone::read(&text, None).expect("a zone");
    assert!(matches!(
        narrow.write(&large),
        Err(ZoneCacheError::NoRoom { .. })
    ));
}
