//! Cause found for each kind of evidence.

use super::*;

const MS: Micros = 1_000;

fn evidence(late: Micros, phase: FollowPhase) -> Evidence {
    let due = 5_000 * MS;
    Evidence { now: due + late, staleness_deadline: due, confirmed_at: Some(due - 1_000 * MS), phase }
}

#[test]
fn cause_is_the_instance_itself_if_it_ran_too_late_and_else_the_connection_phase() {
    let checking = FollowPhase::Checking { sent: 4_500 * MS };
    let phases = [
        checking,
        FollowPhase::Disconnected,
        FollowPhase::Dialing,
        FollowPhase::Listing,
        FollowPhase::Watching,
    ];
    for phase in phases {
        assert_eq!(Cause::of(&evidence(MAX_DEADLINE_DELAY + 1, phase)), Cause::InstanceStalled);
    }
    let in_time = phases.map(|phase| Cause::of(&evidence(MAX_DEADLINE_DELAY, phase)));
    let lost = Cause::Disconnected;
    assert_eq!(in_time, [Cause::CheckUnanswered, lost, lost, lost, Cause::ConfirmedLate]);
}

#[test]
fn each_cause_has_its_own_count_and_name() {
    let mut counts = CauseCounts::default();
    for (times, cause) in Cause::ALL.into_iter().enumerate() {
        (0..times).for_each(|_| counts.add(cause));
    }
    assert_eq!(Cause::ALL.map(|cause| counts.get(cause)), [0, 1, 2, 3]);
    let names: std::collections::BTreeSet<_> = Cause::ALL.map(Cause::name).into_iter().collect();
    assert_eq!(names.len(), Cause::ALL.len());
}
