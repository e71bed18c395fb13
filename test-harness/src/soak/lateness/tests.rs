use super::*;

const MS: Duration = Duration::from_millis(1);

fn life(delivered_at: Option<Instant>, told_at: Option<Instant>) -> Life {
    Life {
        taken_on: true,
        delivered_at,
        told_at,
        ..Life::default()
    }
}

#[test]
fn a_message_is_late_without_a_delivery_in_its_time_or_a_notice_soon_after() {
    let due = Instant::now() + Duration::from_secs(60);
    let late = |delivered, told| late_by(due, &life(delivered, told), &[], Duration::ZERO);
    assert_eq!(late(Some(due), None), None);
    assert_eq!(late(None, Some(due + 350 * MS)), None);
    assert_eq!(late(Some(due + MS), Some(due + 350 * MS)), None);
    assert!(late(Some(due + MS), None).is_some());
    assert!(late(None, Some(due + 351 * MS)).is_some());
    assert!(late(None, None).is_some());
}

#[test]
fn a_restart_puts_off_what_comes_due_until_the_process_is_ready_again() {
    let due = Instant::now() + Duration::from_secs(60);
    let restart = |begun_at, ready_at| Restart { begun_at, ready_at };
    let ready_at = due + 5_000 * MS;
    let put_off = Some(ready_at + 1_550 * MS);
    let usual = Some(due + 350 * MS);
    let overdue = |restarts: &[Restart]| overdue_at(due, restarts);
    assert_eq!(overdue(&[]), usual);
    let over = restart(due - 9_000 * MS, Some(due - 8_000 * MS));
    assert_eq!(overdue(&[over]), usual);
    let across = restart(due - 1_000 * MS, Some(ready_at));
    assert_eq!(overdue(&[over, across]), put_off);
    assert_eq!(overdue(&[restart(due + 351 * MS, Some(ready_at))]), usual);
    // A second one, before the first one's time of grace is over.
    let again = restart(ready_at + MS, Some(ready_at + 4_000 * MS));
    assert_eq!(overdue(&[across, again]), Some(ready_at + 5_550 * MS));
    assert_eq!(overdue(&[restart(due, None)]), None);
}
