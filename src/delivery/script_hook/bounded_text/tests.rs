//! The bounded functions give what the library's give, as far as that fits.

use super::*;
use rhai::packages::{MoreStringPackage, Package};

const CALLS: [&str; 16] = [
    r#"const T = TEXT; T.split("b") + T.split_rev('b') + T.to_chars()"#,
    r#"let t = TEXT; t.replace("b", "--"); t"#,
    r#"let t = TEXT; t.replace("b", 'x'); t"#,
    r#"let t = TEXT; t.replace('b', "--"); t"#,
    r#"let t = TEXT; t.replace('b', 'x'); t"#,
    r#"let t = TEXT; t.replace("", "-"); t"#,
    r#"let t = TEXT; t.pad(12, 'ü'); t"#,
    r#"let t = TEXT; t.pad(12, "xyz"); t"#,
    r#"let t = TEXT; t.pad(-1, "x"); t"#,
    "TEXT.to_chars()",
    "TEXT.split()",
    r#"TEXT.split("b")"#,
    r#"TEXT.split("")"#,
    "TEXT.split('b')",
    r#"TEXT.split("b", 2) == TEXT.split('b', 2)"#,
    r#"[TEXT.split_rev("b"), TEXT.split_rev('b'), TEXT.split_rev("b", 2), TEXT.split_rev('b', 0)]"#,
];

fn library() -> Engine {
    let mut engine = Engine::new_raw();
    MoreStringPackage::new().register_into_engine(&mut engine);
    rhai::packages::BasicArrayPackage::new().register_into_engine(&mut engine);
    engine
}

#[test]
fn results_are_those_of_the_library() {
    let mut bounded = library();
    register(&mut bounded);
    for text in ["", "b", "aba", "über b und b", " b  c ", "none"] {
        for call in CALLS {
            let script = call.replace("TEXT", &format!("{text:?}"));
            let expected = library().eval::<Dynamic>(&script).expect("evaluated");
            let result = bounded.eval::<Dynamic>(&script).expect("evaluated");
            assert_eq!(format!("{result:?}"), format!("{expected:?}"), "{script}");
        }
    }
}

#[test]
fn what_does_not_fit_is_refused_before_it_is_made() {
    let mut engine = library();
    register(&mut engine);
    let long = "let t = \"\"; t.pad(16384, 'x'); let u = t;";
    for call in [
        "t.replace(\"x\", u)",
        "t.replace('x', u)",
        "t.replace(\"\", \"xy\")",
        "t.pad(16385, \"x\")",
        "t.pad(16385, 'x')",
        "t = \"\"; t.pad(16384, 'ü')",
        "t.to_chars()",
        "t.split('x')",
        "t.split(\"x\", 1000)",
        "t.split_rev('x', 1000)",
    ] {
        let result = engine.eval::<Dynamic>(&format!("{long} {call}"));
        let refused = matches!(
            result.as_ref().map_err(|e| &**e),
            Err(EvalAltResult::ErrorDataTooLarge(..))
        );
        assert!(refused, "{call}: {result:?}");
    }
}

#[test]
fn padding_by_nothing_ends() {
    let mut engine = library();
    register(&mut engine);
    let script = "let t = \"ab\"; t.pad(10, \"\"); t";
    assert_eq!(engine.eval::<String>(script).expect("evaluated"), "ab");
}
