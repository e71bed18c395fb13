//! Literals in text files beside the tests, and the comparison of what the code writes with them.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

/// Pinned bytes by name, and what was found to differ from them.
pub struct Pins {
    literals: BTreeMap<String, Vec<u8>>,
    faults: Vec<String>,
}

/// Lines of the form `name hex`, in their order; `-` stands for no bytes. Lines that begin with `#`
/// are comments.
pub fn literals(text: &str) -> impl Iterator<Item = (&str, Vec<u8>)> {
    let lines = text
        .lines()
        .filter(|l| !l.is_empty() && !l.starts_with('#'));
    lines.map(|line| {
        let (name, hex) = line.split_once(' ').expect("a name and its bytes");
        let bytes = if hex == "-" { vec![] } else { from_hex(hex) };
        (name, bytes)
    })
}

impl Pins {
    /// Reads a file of literals.
    pub fn of(text: &str) -> Pins {
        let mut pins = Pins {
            literals: BTreeMap::new(),
            faults: Vec::new(),
        };
        for (name, bytes) in literals(text) {
            let before = pins.literals.insert(name.to_string(), bytes);
            assert_eq!(before, None, "{name} stands twice in the file");
        }
        pins
    }

    /// Takes the literal of that name, which then counts as used; a fault where there is none.
    pub fn literal(&mut self, name: &str) -> Vec<u8> {
        self.literals.remove(name).unwrap_or_else(|| {
            self.faults.push(format!("{name} has no literal"));
            Vec::new()
        })
    }

    /// Notes a fault where the code wrote other bytes than the literal of that name.
    pub fn written(&mut self, name: &str, literal: &[u8], written: &[u8]) {
        if literal != written {
            let (is, pinned) = (to_hex(written), to_hex(literal));
            self.faults.push(format!(
                "{name} is written as\n{name} {is}\nand pinned as\n{pinned}"
            ));
        }
    }

    /// Compares the files of a folder that hold anything with the literals of their names.
    pub fn folder(&mut self, folder: &Path) {
        for (name, bytes) in stored_files(folder) {
            let literal = self.literal(&name);
            self.written(&name, &literal, &bytes);
        }
    }

    /// Notes any other fault.
    #[cfg(feature = "fleet")]
    pub fn fault(&mut self, fault: String) {
        self.faults.push(fault);
    }

    /// Fails where a fault was noted, or where a literal was not compared with anything.
    pub fn finish(self) {
        assert!(self.faults.is_empty(), "{}", self.faults.join("\n\n"));
        let unused: Vec<_> = self.literals.keys().collect();
        assert!(unused.is_empty(), "pinned, but not compared: {unused:?}");
    }
}

/// Segments of a folder that hold anything, as `name:size` with their bytes up to the last one
/// that is not zero: segments are allocated in full, and free ones hold nothing yet.
pub fn stored_files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let mut files = BTreeMap::new();
    for entry in fs::read_dir(folder).expect("a folder") {
        let entry = entry.expect("an entry");
        let mut bytes = fs::read(entry.path()).expect("a file");
        let name = format!("{}:{}", entry.file_name().to_string_lossy(), bytes.len());
        let used = bytes.iter().rposition(|b| *b != 0).map_or(0, |at| at + 1);
        bytes.truncate(used);
        if used > 0 {
            files.insert(name, bytes);
        }
    }
    files
}

/// Writes pinned files, each of its size, into a folder.
pub fn write_files(folder: &Path, text: &str) {
    for (name, mut bytes) in literals(text) {
        let (name, size) = name.split_once(':').expect("a name and a size");
        bytes.resize(size.parse().expect("a size"), 0);
        fs::write(folder.join(name), bytes).expect("written");
    }
}

/// Bytes from their hexadecimal form.
pub fn from_hex(hex: &str) -> Vec<u8> {
    data_encoding::HEXLOWER
        .decode(hex.as_bytes())
        .expect("lower-case hexadecimal digits")
}

/// Bytes in their hexadecimal form.
pub fn to_hex(bytes: &[u8]) -> String {
    data_encoding::HEXLOWER.encode(bytes)
}
