//! Filters of `RUST_LOG` by earlier paths of modules select the same messages.

use raildeal::log_filter::with_present_paths;

#[test]
fn a_filter_by_an_earlier_module_path_names_the_present_one() {
    for (filters, present) in [
        (
            "info,raildeal::core::invocation=debug",
            "info,raildeal::delivery::message=debug",
        ),
        (
            "raildeal::core=warn,raildeal::keeper=trace",
            "raildeal::delivery=warn,raildeal::coordination=trace",
        ),
        ("raildeal::door=debug", "raildeal::admission_control=debug"),
    ] {
        assert_eq!(with_present_paths(filters), present);
    }
}

#[test]
fn filters_without_earlier_paths_are_unchanged() {
    for filters in [
        "info",
        "debug",
        "raildeal::net=debug,raildeal::delivery=info",
        "",
    ] {
        assert_eq!(with_present_paths(filters), filters);
    }
}
