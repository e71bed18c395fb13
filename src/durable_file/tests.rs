//! Replacement of files, whole or not at all.

use super::*;
use tempfile::TempDir;

#[test]
fn replaces_the_content_and_leaves_no_unfinished_file() {
    let folder = TempDir::new().expect("a folder");
    let path = folder.path().join("zone");
    replace(&path, b"old").expect("written");
    fs::write(unfinished_path(&path), "torn by a crash").expect("written");
    replace(&path, b"new").expect("written");
    assert_eq!(fs::read(&path).expect("a file"), b"new");
    assert!(!unfinished_path(&path).exists());
}

#[test]
fn a_replacement_that_fails_leaves_the_old_content_and_no_unfinished_file() {
    let folder = TempDir::new().expect("a folder");
    let path = folder.path().join("zone");
    // A folder that is not empty cannot be replaced by a file.
    fs::create_dir(&path).expect("created");
    fs::write(path.join("inside"), "old").expect("written");
    replace(&path, b"new").expect_err("a folder stands there");
    assert_eq!(fs::read(path.join("inside")).expect("a file"), b"old");
    assert!(!unfinished_path(&path).exists());
}
