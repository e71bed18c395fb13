//! Filters of the variable `RUST_LOG`, which name modules.
//!
//! Operators' scripts name modules by where they were once; such a filter goes on to mean the same
//! messages. Used by the program alone, when it sets its log up.

/// Where modules that a filter may name were before, and where they are. Longer paths go first.
const MOVED: [(&str, &str); 4] = [
    ("raildeal::core::invocation", "raildeal::delivery::message"),
    ("raildeal::core", "raildeal::delivery"),
    ("raildeal::keeper", "raildeal::coordination"),
    ("raildeal::door", "raildeal::admission_control"),
];

/// The filters with each module named by its present path.
pub fn with_present_paths(filters: &str) -> String {
    let mut present = filters.to_string();
    for (before, now) in MOVED {
        present = present.replace(before, now);
    }
    present
}
