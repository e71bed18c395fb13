//! A note beside the journal whose write fails in part. A test program of its own, as the limit on
//! the size of files applies to the whole process.

use raildeal::delivery::journal::restart_state;
use raildeal::process_signals::{BlockedSignals, Signal};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::path::Path;
use std::time::Duration;
use tempfile::TempDir;

const SECOND_NS: u64 = 1_000_000_000;
const FRESH_FOR: Duration = Duration::from_secs(6);

fn set_file_size_limit(bytes: Option<u64>) {
    let limit = Rlimit {
        current: bytes,
        maximum: getrlimit(Resource::Fsize).maximum,
    };
    setrlimit(Resource::Fsize, limit).expect("the limit is set");
}

fn remaining_ns(folder: &Path, now_unix_ms: u64) -> u64 {
    let state = restart_state::load(folder, now_unix_ms, None).state;
    state.remaining_freshness.expect("a previous process")
}

/// Guards against an endpoint list that is trusted for longer than any process noted. That came
/// about by a partly failed write: the first half of the note was new and the second half old.
#[test]
fn a_partly_failed_freshness_note_never_extends_the_freshness() {
    // Otherwise the signal for the first write beyond the limit would end the program.
    let _blocked = BlockedSignals::new(&[Signal::SIGXFSZ]).expect("blocked");
    let folder = TempDir::new().expect("a folder");
    let noted_at = 1_796_307_503_999;
    let later = noted_at + 101;
    for limit_bytes in 0..42 {
        restart_state::note_list_freshness(folder.path(), noted_at, FRESH_FOR).expect("written");
        set_file_size_limit(Some(limit_bytes));
        let noted = restart_state::note_list_freshness(folder.path(), later, FRESH_FOR);
        set_file_size_limit(None);
        assert!(noted.is_err(), "written whole with {limit_bytes} bytes");
        let remaining = remaining_ns(folder.path(), later);
        assert!(
            remaining <= 6 * SECOND_NS,
            "{limit_bytes} bytes: {remaining} ns"
        );
    }
}
