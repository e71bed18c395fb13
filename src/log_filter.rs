//! Compatibility of the module filters in the variable `RUST_LOG`.
//!
//! Operators' scripts may contain earlier paths of modules. Such a filter continues to select the
//! same messages. The program calls this when it sets up logging.

/// Earlier and present paths of modules that were moved. A path that starts with another one
/// precedes it.
const MOVED_MODULES: [(&str, &str); 4] = [
    ("raildeal::core::invocation", "raildeal::delivery::message"),
    ("raildeal::core", "raildeal::delivery"),
    ("raildeal::keeper", "raildeal::coordination"),
    ("raildeal::door", "raildeal::admission_control"),
];

/// Returns the filters with the earlier paths of modules replaced by their present ones.
pub fn with_present_paths(filters: &str) -> String {
    let mut present = filters.to_string();
    for (before, now) in MOVED_MODULES {
        present = present.replace(before, now);
    }
    present
}
