//! Every warning and error that the program logs has a row on a page for the person on call.

use std::fs;
use std::path::{Path, PathBuf};
use syn::punctuated::Punctuated;
use syn::visit::Visit;
use syn::{Expr, ExprLit, Lit, Macro, Token};

const PAGES: [&str; 2] = ["docs/on-call.md", "docs/keepers.md"];

/// The text of a line's macro with `...` in the place of what changes.
fn pattern(format: &str) -> String {
    let mut pattern = String::new();
    let mut depth = 0;
    for letter in format.chars() {
        match letter {
            '{' => depth += 1,
            '}' => {
                depth -= 1;
                pattern.push_str("...");
            }
            _ if depth == 0 => pattern.push(letter),
            _ => {}
        }
    }
    pattern
}

/// The text that stands at a place among a macro's arguments.
fn text_at(arguments: &Punctuated<Expr, Token![,]>, place: usize) -> String {
    match &arguments[place] {
        Expr::Lit(ExprLit {
            lit: Lit::Str(text),
            ..
        }) => text.value(),
        _ => panic!("argument {place} of a log macro is no text"),
    }
}

/// The level that `log_step!` is given.
fn level(arguments: &Punctuated<Expr, Token![,]>) -> String {
    match &arguments[0] {
        Expr::Path(path) => path.path.segments[0].ident.to_string(),
        _ => panic!("log_step! begins with a level"),
    }
}

/// Collects the patterns of the macros `log::warn!` and `log::error!`, and those of `log_step!`,
/// which writes the message's id before the text.
#[derive(Default)]
struct LogLines(Vec<String>);

impl<'ast> Visit<'ast> for LogLines {
    fn visit_macro(&mut self, called: &'ast Macro) {
        let names: Vec<String> = called
            .path
            .segments
            .iter()
            .map(|s| s.ident.to_string())
            .collect();
        let is_plain = names == ["log", "warn"] || names == ["log", "error"];
        let is_step = names == ["log_step"];
        if !is_plain && !is_step {
            return;
        }
        let arguments = called
            .parse_body_with(Punctuated::<Expr, Token![,]>::parse_terminated)
            .expect("a log macro's arguments");
        if is_plain {
            self.0.push(pattern(&text_at(&arguments, 0)));
        } else if level(&arguments) != "debug" {
            self.0
                .push(format!("...: {}", pattern(&text_at(&arguments, 2))));
        }
    }
}

/// Every Rust file below a folder.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("a folder of the sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            files.extend(sources(&path));
        } else {
            files.push(path);
        }
    }
    files
}

/// What stands between backticks in a page's tables.
fn code_spans(page: &str) -> Vec<String> {
    let rows = page.lines().filter(|line| line.starts_with("| "));
    let spans = rows.flat_map(|row| row.split('`').skip(1).step_by(2));
    spans.map(str::to_string).collect()
}

/// Whether a span names this line: its fixed parts stand in the line in their order.
fn names(span: &str, line: &str) -> bool {
    let mut rest = line;
    let mut parts = 0;
    for part in span.split("...").map(|part| part.trim_matches([' ', ':'])) {
        if part.is_empty() {
            continue;
        }
        let Some(at) = rest.find(part) else {
            return false;
        };
        rest = &rest[at + part.len()..];
        parts += 1;
    }
    parts > 0
}

#[test]
fn every_warning_and_error_has_a_row_for_the_person_on_call() {
    let pages = PAGES.map(|page| fs::read_to_string(page).expect("a page"));
    let spans: Vec<String> = pages.iter().flat_map(|page| code_spans(page)).collect();
    let mut lines = LogLines::default();
    for file in sources(Path::new("src")) {
        let text = fs::read_to_string(&file).expect("text");
        lines.visit_file(&syn::parse_file(&text).expect("Rust"));
    }
    assert!(lines.0.len() > 60, "only {} lines found", lines.0.len());
    let missing: Vec<&String> = lines
        .0
        .iter()
        .filter(|line| !spans.iter().any(|span| names(span, line)))
        .collect();
    assert!(missing.is_empty(), "without a row: {missing:#?}");
}

#[test]
fn a_span_names_a_line_by_its_fixed_parts_in_order() {
    let line = pattern("fleet: {}/{name} cannot be used: {e}");
    assert_eq!(line, "fleet: .../... cannot be used: ...");
    assert!(names("fleet: ... cannot be used: ...", &line));
    assert!(!names("fleet: ... cannot be written: ...", &line));
    assert!(!names("...", &line));
}
