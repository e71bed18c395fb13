use crate::coordination::messages::*;

#[test]
fn hash_fractions_are_even_and_differ_by_zone() {
    let fractions: Vec<f32> = (0..3_000)
        .map(|n| sender_hash_fraction(&format!("n{n}"), "a", 3))
        .collect();
    for tenth in 1..10 {
        let under = fractions
            .iter()
            .filter(|f| **f < tenth as f32 / 10.0)
            .count();
        assert!(
            (270 * tenth..=330 * tenth).contains(&under),
            "{under} fractions are below {tenth}/10"
        );
    }
    assert_ne!(
        sender_hash_fraction("n1", "a", 3),
        sender_hash_fraction("n1", "b", 3)
    );
}
