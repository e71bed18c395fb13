//! Results of scripts, and the handling of scripts that fail.

use super::*;

const TIME_LEFT: Duration = Duration::from_secs(16);

fn ingress(script: &str) -> HookDecision {
    let envelope = Envelope {
        id: "m1".into(),
        dest: 7,
        body: vec![0; 300],
        ..Envelope::default()
    };
    ScriptHook::compile(script).expect("compiles").ingress(
        &ScriptBudget::default(),
        &envelope,
        "event",
        TIME_LEFT,
    )
}

#[test]
fn a_script_passes_rejects_or_annotates() {
    let pass = || HookDecision::Pass(Vec::new());
    assert_eq!(ingress("fn ingress(m) { }"), pass());
    assert_eq!(
        ingress("fn ingress(m) { if m.dest == 7 && m.size > 200 { #{ reject_ms: 500 } } }"),
        HookDecision::Reject(Duration::from_millis(500))
    );
    let script = "fn ingress(m) { \
                  #{ notes: #{ origin_id: m.class + \"/\" + m.dest, left: m.left_ms } } }";
    let notes = [("left", "16000"), ("origin-id", "event/7")].map(|(k, v)| (k.into(), v.into()));
    assert_eq!(ingress(script), HookDecision::Pass(notes.into()));
}

#[test]
fn a_failing_script_lets_the_message_pass() {
    for body in [
        "loop { }",
        "m.nothing.at.all",
        "throw \"no\"",
        "ingress(m)",
        "let s = \"x\"; loop { s += s; }",
        "let a = []; loop { a += [a]; }",
        "sleep(100)",
        "eval_it()",
        "42",
        "#{ reject_ms: -1 }",
        "#{ reject_ms: \"soon\" }",
        "#{ route: \"elsewhere\" }",
        "#{ notes: #{ \"bad name\": 1 } }",
        "#{ notes: #{ a: \"line\\r\\nX-Txn: other\" } }",
    ] {
        assert_eq!(
            ingress(&format!("fn ingress(m) {{ {body} }}")),
            HookDecision::Pass(Vec::new()),
            "{body}"
        );
    }
}

#[test]
fn a_script_that_does_not_compile_or_defines_no_entry_point_is_an_error() {
    for (script, expected_text) in [
        ("fn ingress(m) {", "line 1"),
        ("fn ingress(m) { import \"x\" as y; }", "import"),
        ("fn ingress(m) { eval(\"1\") }", "eval"),
        ("fn ingress() { }", "neither"),
    ] {
        let error = ScriptHook::compile(script)
            .err()
            .expect("an error")
            .to_string();
        assert!(
            error.contains(expected_text) && error.lines().count() == 1,
            "{error}"
        );
    }
}

#[test]
fn a_script_sees_the_final_answer_and_cannot_change_it() {
    let script =
        "fn final_answer(m, a) { a.status = \"delivered\"; if a.again_ms != 500 { throw a; } }";
    let hook = ScriptHook::compile(script).expect("compiles");
    let verdict = Verdict::Deferred {
        retry_after_ms: 500,
    };
    let budget = ScriptBudget::default();
    hook.final_answer(&budget, &Envelope::default(), "event", verdict);
    assert_eq!(
        verdict,
        Verdict::Deferred {
            retry_after_ms: 500
        }
    );
}
