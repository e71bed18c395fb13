//! The tenant of a message, by the name that the message states and the configured tenants.

use raildeal::config::platform_settings::{from_json, from_lines, UnknownTenant};
use raildeal::NO_TENANT;
use serde_json::json;

#[test]
fn a_tenant_is_found_only_by_its_exact_name() {
    let nested = json!({"accounts": [{"name": "acme", "share": 0.3}, {"name": "Rede, Sul"}, {"share": 0.1}]});
    let lines = b"accounts.count=3\naccounts.0.name=acme\naccounts.1.name=Rede__Sul\naccounts.2.share=0.1\n";
    for deployment in [from_json(&nested), from_lines(lines)] {
        let tenants = deployment.expect("usable").tenants;
        assert_eq!(
            ["acme", "Rede, Sul"].map(|name| tenants.of(Some(name))),
            [Ok(0), Ok(1)]
        );
        assert_eq!(tenants.of(None), Ok(NO_TENANT));
        for name in ["", "Acme", "acme2", "acm"] {
            assert_eq!(tenants.of(Some(name)), Err(UnknownTenant), "{name}");
        }
    }
}

#[test]
fn without_configured_tenants_every_message_belongs_to_tenant_0() {
    for settings in [json!({}), json!({"accounts": []})] {
        let tenants = from_json(&settings).expect("usable").tenants;
        assert_eq!(
            [None, Some("acme"), Some("")].map(|name| tenants.of(name)),
            [Ok(0); 3]
        );
    }
}

#[test]
fn duplicate_tenant_names_are_rejected() {
    let nested = json!({"accounts": [{"name": "a b"}, {"name": "c"}, {"name": "a_b"}]});
    let error = from_json(&nested).expect_err("duplicate names");
    assert_eq!(error, "setting accounts.2.name: 'a_b' is there twice");
}
