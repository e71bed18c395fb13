use crate::coordination::zones::evidence::*;

#[test]
fn one_refusal_in_few_calls_is_chance() {
    let of = |taken, refused| {
        Lately {
            taken,
            refused,
            bad: 0.0,
        }
        .least_refused()
    };
    assert!(
        of(8.0, 1.0) < 0.1 && of(6.0, 3.0) > 0.1 && of(80.0, 10.0) < 0.1 && of(80.0, 16.0) > 0.1
    );
}

#[test]
fn few_calls_prove_little() {
    assert!(least_share(13.0, 13.0, 3.0) < 0.6 && least_share(14.0, 14.0, 3.0) > 0.6);
    assert!(least_share(60.0, 100.0, 3.0) < 0.5 && least_share(0.0, 0.0, 3.0) == 0.0);
}
