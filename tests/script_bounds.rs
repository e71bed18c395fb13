//! Bounds of scripts that are called in a process of their own: processor time, memory, log lines
//! and depth. `docs/notes/scripts.md` has the figures.

use peak_alloc::PeakAlloc;
use raildeal::delivery::script_hook::{
    HookDecision, HookError, ScriptBudget, ScriptHook, MAX_RUN_TIME, MAX_SCRIPT_BYTES,
};
use raildeal::delivery::{Envelope, Verdict};
use rustix::thread::{sched_getaffinity, sched_setaffinity, CpuSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest time that one function call may add to a run: docs/operating.md.
const MAX_CALL_TIME: Duration = Duration::from_millis(3);
/// Most memory that a run may take: docs/operating.md.
const MAX_RUN_BYTES: u64 = 8 << 20;
/// Plays of each script, of which the quickest counts: the others may have waited for a processor.
const PLAYS: usize = 10;
const TIME_LEFT: Duration = Duration::from_secs(16);

/// Counts the memory of the process.
#[global_allocator]
static MEMORY: PeakAlloc = PeakAlloc;

/// The tests measure the process, so they take turns.
static TURN: Mutex<()> = Mutex::new(());

/// Scripts that go on for as long as they may.
const ENDLESS: [(&str, &str); 16] = [
    ("loop", "loop { }"),
    ("pad", r#"loop { let t = ""; t.pad(16000, "x"); }"#),
    ("pad by nothing", r#"let t = ""; t.pad(10, ""); loop { t.pad(10, ""); }"#),
    ("pad by a text", r#"loop { let t = ""; t.pad(16000, "xyz"); }"#),
    (
        "replace",
        r#"let t = ""; t.pad(16000, "x"); let u = t; loop { let v = t; v.replace("x", u); }"#,
    ),
    (
        "replace once",
        r#"let t = ""; t.pad(16000, "x"); let u = t; t.replace("x", u);"#,
    ),
    (
        "replace a character",
        r#"let t = ""; t.pad(16000, "x"); let u = t; loop { let v = t; v.replace('x', u); }"#,
    ),
    ("join", r#"loop { let t = ""; loop { t += "0123456789abcdef"; if t.len > 16000 { break; } } }"#),
    (
        "split",
        r#"let t = ""; t.pad(16000, "x "); loop { t.split(' '); }"#,
    ),
    (
        "split into many",
        r#"let t = ""; t.pad(16000, "x "); loop { try { t.split(" ", 16000); } catch { } }"#,
    ),
    (
        "sort",
        "let a = []; for i in 0..250 { a.push(250 - i); } loop { a.sort(|x, y| y - x); a.sort(|x, y| x - y); }",
    ),
    (
        "recursion",
        "fn f(n) { let t = \"\"; t.pad(16000, \"x\"); f(n + 1); f(n + 2) } f(0);",
    ),
    (
        "arrays in arrays",
        "let a = []; loop { try { a.push(a); } catch { a = []; } }",
    ),
    (
        "texts in variables",
        r#"let t = ""; t.pad(16000, "x"); loop { let a = t + "a"; let b = t + "b"; let c = t + "c"; let d = t + "d"; }"#,
    ),
    (
        "log",
        r#"let t = ""; t.pad(16000, "x"); loop { log(t); }"#,
    ),
    ("throw", r#"let t = ""; t.pad(16000, "x"); throw [t, t, t];"#),
];

/// Values of the largest sizes.
const TEXT: &str = "let t = \"\"; t.pad(16000, 'x');";
const ARRAY: &str = r#"let t = ""; t.pad(60, 'x'); let a = []; a.pad(250, t); let b = a;"#;
const MAP: &str = r#"let m = #{}; for i in 0..250 { m[`k${i}`] = `"${i}"`; } let n = m;"#;

/// One call of each costly function at the largest sizes: its name, the values, the call.
const CALLS: [(&str, &str, &str); 38] = [
    (r##"text.pad(len, char)"##, TEXT, r##"t.pad(16384, 'y')"##),
    (r##"text.pad(len, text)"##, TEXT, r##"t.pad(16384, "yz")"##),
    (
        r##"text.replace(text, text)"##,
        TEXT,
        r##"t.replace("x", "y")"##,
    ),
    (
        r##"text.replace(text, longer)"##,
        TEXT,
        r##"t.replace("x", t)"##,
    ),
    (r##"text.replace("", text)"##, TEXT, r##"t.replace("", t)"##),
    (r##"text.remove(text)"##, TEXT, r##"t.remove("x")"##),
    (r##"text.split(text)"##, TEXT, r##"t.split("x")"##),
    (
        r##"text.split(text, count)"##,
        TEXT,
        r##"t.split("x", 16000)"##,
    ),
    (
        r##"text.split_rev(text, count)"##,
        TEXT,
        r##"t.split_rev("x", 16000)"##,
    ),
    (r##"text.split(index)"##, TEXT, r##"t.split(8000)"##),
    (r##"text.split()"##, TEXT, r##"t.split()"##),
    (r##"text.to_chars()"##, TEXT, r##"t.to_chars()"##),
    (r##"text.to_blob()"##, TEXT, r##"t.to_blob()"##),
    (r##"text.to_upper()"##, TEXT, r##"t.to_upper()"##),
    (r##"text.crop(start, len)"##, TEXT, r##"t.crop(8000, 100)"##),
    (
        r##"text.sub_string(start, len)"##,
        TEXT,
        r##"t.sub_string(15000, 100)"##,
    ),
    (
        r##"text.index_of(text)"##,
        TEXT,
        r##"t.index_of("xxxxxxxxy")"##,
    ),
    (r##"text.contains(text)"##, TEXT, r##"t.contains("y")"##),
    (r##"text.trim()"##, TEXT, r##"t.trim()"##),
    (r##"text + text"##, TEXT, r##"t + t"##),
    (r##"text[index]"##, TEXT, r##"t[15999]"##),
    (r##"text == text"##, TEXT, r##"t == t + """##),
    (r##"text.to_debug()"##, TEXT, r##"t.to_debug()"##),
    (r##"array == array"##, ARRAY, r##"a == b"##),
    (r##"array.sort()"##, ARRAY, r##"a.sort()"##),
    (r##"array.sort(comparer)"##, ARRAY, r##"a.sort(|x, y| 1)"##),
    (r##"array.map(function)"##, ARRAY, r##"a.map(|x| x)"##),
    (r##"array.dedup()"##, ARRAY, r##"a.dedup()"##),
    (r##"array.contains(item)"##, ARRAY, r##"a.contains(0)"##),
    (r##"array + array"##, ARRAY, r##"a + b"##),
    (r##"array.to_string()"##, ARRAY, r##"a.to_string()"##),
    (r##"array.push(item)"##, ARRAY, r##"a.push("x")"##),
    (
        r##"array.splice(start, len, array)"##,
        ARRAY,
        r##"a.splice(0, 100, b)"##,
    ),
    (r##"map.to_json()"##, MAP, r##"m.to_json()"##),
    (r##"map.keys()"##, MAP, r##"m.keys()"##),
    (r##"map.values()"##, MAP, r##"m.values()"##),
    (r##"map.mixin(map)"##, MAP, r##"m.mixin(n)"##),
    (r##"map == map"##, MAP, r##"m == n"##),
];

fn envelope() -> Envelope {
    Envelope {
        id: "m1".into(),
        dest: 7,
        ..Envelope::default()
    }
}

fn compile(body: &str) -> ScriptHook {
    // A function in the body has to stand before the entry point.
    let (functions, body) = match body.rsplit_once("} f(0);") {
        Some((functions, _)) => (format!("{functions}}}"), "f(0);"),
        None => (String::new(), body),
    };
    let script = format!("{functions}\nfn ingress(message) {{ {body} }}");
    ScriptHook::compile(&script).expect("compiles")
}

/// Returns the shortest time of several runs, each with a budget of its own.
fn shortest_run(hook: &ScriptHook) -> Duration {
    let run = || {
        let budget = ScriptBudget::default();
        let begun = Instant::now();
        hook.ingress(&budget, &envelope(), "event", TIME_LEFT);
        begun.elapsed()
    };
    (0..PLAYS).map(|_| run()).min().expect("some plays")
}

/// Returns the shortest time of a script's runs, and the most memory that one took.
fn measure(hook: &ScriptHook) -> (Duration, u64) {
    let before = MEMORY.current_usage();
    MEMORY.reset_peak_usage();
    let took = shortest_run(hook);
    let bytes = MEMORY.peak_usage().saturating_sub(before);
    (took, bytes as u64)
}

#[test]
fn the_largest_values_can_be_made_in_one_run() {
    let _turn = TURN.lock();
    for values in [TEXT, ARRAY, MAP] {
        let hook = compile(&format!("{values} #{{ notes: #{{ made: 1 }} }}"));
        let made = HookDecision::Pass(vec![("made".into(), "1".into())]);
        let run = || hook.ingress(&ScriptBudget::default(), &envelope(), "event", TIME_LEFT);
        assert!((0..PLAYS).any(|_| run() == made), "{values}");
    }
}

#[test]
fn no_script_holds_the_event_loop_or_the_memory_beyond_its_bounds() {
    // review/3: a script that allocates without end took a second for each message.
    let _turn = TURN.lock();
    for (name, body) in ENDLESS {
        let hook = compile(body);
        let (took, bytes) = measure(&hook);
        println!("| {name} | {took:?} | {} KB |", bytes / 1024);
        assert!(took <= MAX_RUN_TIME + MAX_CALL_TIME, "{name}: {took:?}");
        assert!(bytes <= MAX_RUN_BYTES, "{name}: {bytes} bytes");
    }
}

#[test]
fn no_single_call_takes_more_than_its_bound() {
    let _turn = TURN.lock();
    for (name, values, call) in CALLS {
        let without = shortest_run(&compile(values));
        let hook = compile(&format!("{values} {call};"));
        let (took, bytes) = measure(&hook);
        let took = took.saturating_sub(without);
        println!("| {name} | {} us | {} KB |", took.as_micros(), bytes / 1024);
        assert!(took <= MAX_CALL_TIME, "{name}: {took:?}");
        assert!(bytes <= MAX_RUN_BYTES, "{name}: {bytes} bytes");
    }
}

#[test]
fn memory_does_not_grow_with_the_number_of_runs() {
    // A closure that captured the map that it was put into was never freed.
    let _turn = TURN.lock();
    for body in [
        "let a = []; a.pad(200, 1); a.push(|x| x + 1); for i in 0..10 { a.push(`${i}`); }",
        r#"let t = ""; t.pad(16000, "x"); let m = #{ t: t }; let f = || m.t; m.f = f;"#,
    ] {
        let hook = compile(body);
        let run = || {
            let budget = ScriptBudget::default();
            hook.ingress(&budget, &envelope(), "event", TIME_LEFT)
        };
        (0..100).for_each(|_| drop(run()));
        let before = MEMORY.current_usage();
        (0..1_000).for_each(|_| drop(run()));
        let after = MEMORY.current_usage();
        assert!(after <= before, "{body}: {before} {after}");
    }
}

#[test]
fn long_and_deep_texts_are_compiled_in_bounded_time_or_refused() {
    let _turn = TURN.lock();
    let fill = |part: &str| part.repeat((MAX_SCRIPT_BYTES - 100) / part.len());
    let bodies = [
        format!("1{}", fill("+1")),
        format!("message{}", fill(".a")),
        format!("message{}", fill("[0]")),
        format!("{}1{}", fill("((").split_at(MAX_SCRIPT_BYTES / 3).0, ""),
        format!("if true {{ }} {}", fill("else if true { } ")),
        format!("let x = 1; {}", fill("x += 1; ")),
        format!("`{}`", fill("${1}")),
        format!("[{}]", fill("1,")),
        format!("{}1", fill("!")),
        format!("x{}", fill(" ?? x")),
        format!("message.id{}", fill("+message.id")),
        format!("{}{}", fill("{").split_at(MAX_SCRIPT_BYTES / 3).0, ""),
        format!("switch 1 {{ {} _ => 1 }}", fill("1 => 2, ")),
    ];
    for body in bodies {
        let script = format!("fn ingress(message) {{ {body} }}");
        let begun = Instant::now();
        let hook = ScriptHook::compile(&script);
        let took = begun.elapsed();
        let shown = &script[..60];
        println!("| {shown} | {} | {took:?} |", hook.is_ok());
        assert!(took < Duration::from_secs(1), "{shown}: {took:?}");
        if let Ok(hook) = hook {
            assert!(
                shortest_run(&hook) <= MAX_RUN_TIME + MAX_CALL_TIME,
                "{shown}"
            );
        }
    }
    let long = format!("fn ingress(m) {{ }} //{}", "x".repeat(MAX_SCRIPT_BYTES));
    assert!(matches!(
        ScriptHook::compile(&long),
        Err(HookError::TooLong)
    ));
}

#[test]
fn a_script_that_panics_or_sorts_without_an_order_lets_messages_pass() {
    let _turn = TURN.lock();
    let hook = compile(
        "let a = []; for i in 0..250 { a.push(i * 7 % 250); } \
         a.sort(|x, y| if (x * y) % 3 == 0 { 1 } else { -1 }); a.sort(|x, y| throw x);",
    );
    let budget = ScriptBudget::default();
    for _ in 0..10 {
        let decision = hook.ingress(&budget, &envelope(), "event", TIME_LEFT);
        assert_eq!(decision, HookDecision::Pass(Vec::new()));
    }
}

#[test]
fn a_busy_machine_cuts_off_no_script() {
    // A bound by the wall clock alone cut off scripts that waited for a processor.
    let _turn = TURN.lock();
    let mut one_processor = CpuSet::new();
    let processor = (0..CpuSet::MAX_CPU).find(|cpu| {
        sched_getaffinity(None)
            .expect("its processors")
            .is_set(*cpu)
    });
    one_processor.set(processor.expect("a processor"));
    // What this thread starts from now on shares the processor with it.
    sched_setaffinity(None, &one_processor).expect("pinned");
    let ended = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..4)
        .map(|_| {
            let ended = ended.clone();
            thread::spawn(move || while !ended.load(Ordering::Relaxed) {})
        })
        .collect();
    let hook = compile("for i in 0..2000 { } #{ notes: #{ whole: 1 } }");
    // Of three rounds the best counts: in the others the machine itself may have stood still.
    let rounds: Vec<Round> = (0..3).map(|_| play_round(&hook)).collect();
    ended.store(true, Ordering::Relaxed);
    for other in others {
        other.join().expect("ended");
    }
    let waited = rounds.iter().all(|round| round.longest > MAX_RUN_TIME);
    let is_any_whole = rounds.iter().any(|round| round.cut_off == 0);
    assert!(waited && is_any_whole, "{rounds:?}");
}

/// Runs of a script that were played for a while.
#[derive(Debug)]
struct Round {
    /// By the wall clock.
    longest: Duration,
    cut_off: u32,
}

fn play_round(hook: &ScriptHook) -> Round {
    let begun = Instant::now();
    let mut round = Round {
        longest: Duration::ZERO,
        cut_off: 0,
    };
    while begun.elapsed() < Duration::from_millis(500) {
        let run = Instant::now();
        let decision = hook.ingress(&ScriptBudget::default(), &envelope(), "event", TIME_LEFT);
        round.longest = round.longest.max(run.elapsed());
        round.cut_off += u32::from(decision == HookDecision::Pass(Vec::new()));
    }
    round
}

#[test]
fn all_runs_together_take_the_stated_part_of_a_processor() {
    let _turn = TURN.lock();
    let hook = ScriptHook::compile("fn ingress(m) { loop { } } fn final_answer(m, a) { loop { } }");
    let hook = hook.expect("compiles");
    let budget = ScriptBudget::default();
    let begun = Instant::now();
    // As many messages as a storm may bring in a second.
    for _ in 0..2_000 {
        hook.ingress(&budget, &envelope(), "event", TIME_LEFT);
        hook.final_answer(&budget, &envelope(), "event", Verdict::Delivered);
    }
    // A twentieth of a second of processor time; the rest is room for a busy machine.
    assert!(
        begun.elapsed() < Duration::from_millis(500),
        "{:?}",
        begun.elapsed()
    );
}
