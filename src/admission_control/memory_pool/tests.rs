//! What may be held together, and what is kept for known clients.

use super::*;

#[test]
fn holds_never_sum_to_more_than_the_pool_has_and_return_all_on_drop() {
    let pool = MemoryPool::new(1_000);
    let mut random = fastrand::Rng::with_seed(7);
    let mut holds: Vec<MemoryHold> = (0..20).map(|_| pool.hold()).collect();
    holds[3].set_known();
    for _ in 0..10_000 {
        let hold = &holds[random.usize(..holds.len())];
        match random.u8(..3) {
            0 => hold.release(),
            _ => drop(hold.grow_to(random.usize(..400))),
        }
        let sum: usize = holds.iter().map(MemoryHold::bytes).sum();
        assert_eq!(sum, pool.held_bytes());
        assert!(sum <= pool.limit_bytes());
    }
    assert!(pool.refusals() > 0);

    holds.clear();

    assert_eq!(pool.held_bytes(), 0);
}

#[test]
fn strangers_leave_a_part_for_known_clients() {
    let pool = MemoryPool::new(1_000);
    let (stranger, known) = (pool.hold(), pool.hold());
    known.set_known();

    assert_eq!(stranger.grow_to(751), Err(OutOfMemory { wanted: 751 }));
    assert_eq!(stranger.grow_to(750), Ok(()));
    assert_eq!(stranger.grow_to(751), Err(OutOfMemory { wanted: 1 }));
    assert_eq!(known.grow_to(250), Ok(()));
    assert_eq!(known.grow_to(251), Err(OutOfMemory { wanted: 1 }));
    assert_eq!((pool.held_bytes(), pool.refusals()), (1_000, 3));
}
