//! The text of a zone file as entries (RFC 1035, section 5.1), each with its line.
//!
//! The parser of records ([`hickory_proto`]) takes a text whose last line is not ended, passes over
//! an entry that ends before its data, ignores words behind it, and tells no line. This module finds
//! these faults, which a file has that is only partly written, and the line of any other.

use hickory_proto::rr::{DNSClass, Name};
use hickory_proto::serialize::txt::Parser;
use std::ops::{Range, RangeInclusive};
use std::str::FromStr;

/// Reason why a text is not a sequence of complete entries.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ZoneTextError {
    /// The text ends within a line, so that it may be cut there.
    #[error("line {line}: the file ends before the end of this line")]
    NoLineEnd {
        /// Number of the last line.
        line: usize,
    },
    /// A quoted text has no end.
    #[error("line {line}: a quoted text begins here and does not end")]
    UnclosedQuote {
        /// Line in which it begins.
        line: usize,
    },
    /// A parenthesis is not closed.
    #[error("line {line}: a parenthesis is opened here and not closed")]
    UnclosedParenthesis {
        /// Line in which it is opened.
        line: usize,
    },
    /// A record has too little data for its type, or too much.
    #[error("line {line}: {found} fields of data, where the type needs {needed}")]
    Data {
        /// Line in which the record begins.
        line: usize,
        /// Fields behind the type.
        found: usize,
        /// Fields that the type needs, in words.
        needed: String,
    },
    /// A record has no type.
    #[error("line {line}: a record without type")]
    NoType {
        /// Line in which the record begins.
        line: usize,
    },
    /// Another file is named, whose size and end nobody checks.
    #[error("line {line}: $INCLUDE is not supported")]
    Include {
        /// Line of the directive.
        line: usize,
    },
}

/// One entry: a directive or a record.
struct Entry {
    /// Line in which it begins, from 1.
    line: usize,
    /// Its bytes in the text, with the end of its last line.
    bytes: Range<usize>,
    /// Whether it begins with white space, and so belongs to the name of the record before.
    is_owner_omitted: bool,
    /// The name that a directive `$ORIGIN` sets.
    origin: Option<String>,
    /// Whether an earlier entry told a time to live.
    is_ttl_known: bool,
}

/// Checks that each entry of a text is complete.
///
/// # Errors
/// The first entry that is not complete.
pub fn check(text: &str) -> Result<(), ZoneTextError> {
    let mut entries = Entries::new(text);
    while entries.next()?.is_some() {}
    Ok(())
}

/// Returns the line of the first entry that the parser of records does not take, of a text whose
/// entries are complete.
pub fn first_bad_line(text: &str, origin: Option<&Name>) -> Option<usize> {
    let mut origin = origin.cloned();
    let mut entries = Entries::new(text);
    while let Ok(Some(entry)) = entries.next() {
        if !is_parsed(text, &entry, origin.as_ref()) {
            return Some(entry.line);
        }
        if let Some(name) = &entry.origin {
            origin = Name::parse(name, None).ok();
        }
    }
    None
}

/// Whether the parser of records takes an entry, each of which it is given alone: the time does not
/// grow with what stands before it.
fn is_parsed(text: &str, entry: &Entry, origin: Option<&Name>) -> bool {
    let ttl = if entry.is_ttl_known { "$TTL 0\n" } else { "" };
    let owner = if entry.is_owner_omitted { "@" } else { "" };
    let alone = format!("{ttl}{owner}{}", &text[entry.bytes.clone()]);
    let origin = origin.cloned().unwrap_or_else(Name::root);
    Parser::new(alone, None, Some(origin)).parse().is_ok()
}

/// Checks the words of a record behind its owner. Returns whether they tell a time to live.
fn check_record(line: usize, words: &[&str]) -> Result<bool, ZoneTextError> {
    let is_class = |word: &str| DNSClass::from_str(&word.to_ascii_uppercase()).is_ok();
    let is_ttl = |word: &str| Parser::parse_time(word).is_ok();
    let type_at = words
        .iter()
        .position(|word| !is_ttl(word) && !is_class(word))
        .ok_or(ZoneTextError::NoType { line })?;
    let record_type = words[type_at].to_ascii_uppercase();
    let needed = data_words(&record_type);
    let found = words.len() - type_at - 1;
    if !needed.contains(&found) {
        let needed = match needed.start() == needed.end() {
            true => needed.start().to_string(),
            false => format!("{} or more", needed.start()),
        };
        return Err(ZoneTextError::Data {
            line,
            found,
            needed,
        });
    }
    // An SOA record tells that of the records behind it.
    Ok(record_type == "SOA" || words[..type_at].iter().any(|word| is_ttl(word)))
}

/// Returns how many words the data of a type has.
fn data_words(record_type: &str) -> RangeInclusive<usize> {
    match record_type {
        "A" | "AAAA" | "NS" => 1..=1,
        "SRV" => 4..=4,
        "SOA" => 7..=7,
        _ => 1..=usize::MAX,
    }
}

/// The entries of a text, one after the other.
struct Entries<'a> {
    scanner: Scanner<'a>,
    is_ttl_known: bool,
}

impl<'a> Entries<'a> {
    fn new(text: &'a str) -> Self {
        Entries {
            scanner: Scanner {
                text,
                at: 0,
                line: 1,
            },
            is_ttl_known: false,
        }
    }

    /// Returns the next entry, and nothing at the end of the text.
    fn next(&mut self) -> Result<Option<Entry>, ZoneTextError> {
        while self.scanner.at < self.scanner.text.len() {
            let scanned = self.scanner.next_entry()?;
            if !scanned.words.is_empty() {
                return self.entry(scanned).map(Some);
            }
        }
        Ok(None)
    }

    fn entry(&mut self, scanned: Scanned) -> Result<Entry, ZoneTextError> {
        let mut entry = Entry {
            line: scanned.line,
            bytes: scanned.bytes,
            is_owner_omitted: scanned.begins_with_space,
            origin: None,
            is_ttl_known: self.is_ttl_known,
        };
        match scanned.words[0] {
            "$INCLUDE" => return Err(ZoneTextError::Include { line: entry.line }),
            "$ORIGIN" => entry.origin = scanned.words.get(1).map(|name| name.to_string()),
            "$TTL" => self.is_ttl_known = true,
            directive if directive.starts_with('$') => {}
            _ => {
                let owner_words = usize::from(!entry.is_owner_omitted);
                self.is_ttl_known |= check_record(entry.line, &scanned.words[owner_words..])?;
            }
        }
        Ok(entry)
    }
}

/// An entry as it was scanned.
struct Scanned<'a> {
    line: usize,
    bytes: Range<usize>,
    begins_with_space: bool,
    words: Vec<&'a str>,
}

/// Reads entries off a text, by the rules of the parser of records.
struct Scanner<'a> {
    text: &'a str,
    /// Bytes that were read.
    at: usize,
    /// Line of the next byte.
    line: usize,
}

impl<'a> Scanner<'a> {
    /// Reads up to the end of the line in which the entry ends.
    fn next_entry(&mut self) -> Result<Scanned<'a>, ZoneTextError> {
        let (start, line) = (self.at, self.line);
        let begins_with_space = self.peek().is_some_and(char::is_whitespace);
        let mut words = Vec::new();
        let mut opened_at_line = None;
        loop {
            let Some(next) = self.peek() else {
                return Err(match opened_at_line {
                    Some(line) => ZoneTextError::UnclosedParenthesis { line },
                    None => ZoneTextError::NoLineEnd { line: self.line },
                });
            };
            match next {
                '\n' => {
                    self.skip();
                    if opened_at_line.is_none() {
                        break;
                    }
                }
                ';' => self.skip_while(|c| c != '\n'),
                '(' if opened_at_line.is_none() => {
                    opened_at_line = Some(self.line);
                    self.skip();
                }
                ')' => {
                    opened_at_line = None;
                    self.skip();
                }
                '"' if opened_at_line.is_none() => words.push(self.quoted()?),
                space if space.is_whitespace() => self.skip(),
                _ => words.push(self.word()),
            }
        }
        Ok(Scanned {
            line,
            bytes: start..self.at,
            begins_with_space,
            words,
        })
    }

    fn word(&mut self) -> &'a str {
        let start = self.at;
        self.skip_while(|c| !c.is_whitespace() && c != ')' && c != ';');
        &self.text[start..self.at]
    }

    /// Reads a quoted text, which may go over several lines.
    fn quoted(&mut self) -> Result<&'a str, ZoneTextError> {
        let (start, line) = (self.at, self.line);
        self.skip();
        loop {
            match self.peek() {
                None => return Err(ZoneTextError::UnclosedQuote { line }),
                Some('"') => break,
                Some('\\') => {
                    self.skip();
                    self.skip();
                }
                Some(_) => self.skip(),
            }
        }
        self.skip();
        Ok(&self.text[start..self.at])
    }

    fn peek(&self) -> Option<char> {
        self.text[self.at..].chars().next()
    }

    fn skip(&mut self) {
        if let Some(next) = self.peek() {
            self.at += next.len_utf8();
            self.line += usize::from(next == '\n');
        }
    }

    fn skip_while(&mut self, is_skipped: impl Fn(char) -> bool) {
        while self.peek().is_some_and(&is_skipped) {
            self.skip();
        }
    }
}
