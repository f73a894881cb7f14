//! Bounded staleness: while purges may be unknown to a router, it accepts no copy older than the bound.

mod common;

use common::*;
use larchdale::routing::events::*;
use larchdale::Router;

const STALENESS_BOUND: Micros = S;

fn router_with_bound(bound: Option<Micros>) -> Router {
    let mut router = router();
    handle_event(&mut router, T0, Event::BoundedStaleness(bound));
    router
}

#[test]
fn staleness_bound_overrides_the_age_allowed_by_the_class_and_prevents_joining_fills() {
    for (class, class_max_age) in [(VIDEO, 0), (PAGE, 20 * S)] {
        let mut router = router_with_bound(Some(STALENESS_BOUND));
        let actions = send_request(&mut router, T0 + S, "a", class, 7);
        assert_eq!(sent_attempt(&actions).max_age, STALENESS_BOUND);
        let joins = |a: &Action| matches!(a, Action::Send { fetch: Some(f), .. } if f.join_fill);
        assert!(!actions.iter().any(joins), "a fill that started earlier may return an old copy");
        end_attempt(&mut router, T0 + S, "a", 0, AttemptStatus::Served);
        // The bound does not expire: it applies until it is lifted.
        let later = T0 + 60 * S;
        assert_eq!(sent_attempt(&send_request(&mut router, later, "b", class, 7)).max_age, STALENESS_BOUND);
        end_attempt(&mut router, later, "b", 0, AttemptStatus::Served);
        handle_event(&mut router, later, Event::BoundedStaleness(None));
        assert_eq!(sent_attempt(&send_request(&mut router, later + S, "c", class, 7)).max_age, class_max_age);
    }
}

#[test]
fn stricter_of_purge_and_staleness_bound_applies_and_the_purge_outlives_the_bound() {
    let mut router = router_with_bound(Some(STALENESS_BOUND));
    handle_event(&mut router, T0, Event::Purged { object: Some(7), purge_group: 0, age: 0 });
    assert_eq!(
        sent_attempt(&send_request(&mut router, T0 + S / 2, "a", PAGE, 7)).max_age,
        S / 2,
        "the purge is stricter"
    );
    end_attempt(&mut router, T0 + S / 2, "a", 0, AttemptStatus::Served);
    assert_eq!(
        sent_attempt(&send_request(&mut router, T0 + 3 * S, "b", PAGE, 7)).max_age,
        STALENESS_BOUND,
        "the bound is stricter"
    );
    end_attempt(&mut router, T0 + 3 * S, "b", 0, AttemptStatus::Served);
    handle_event(&mut router, T0 + 3 * S, Event::BoundedStaleness(None));
    assert_eq!(sent_attempt(&send_request(&mut router, T0 + 4 * S, "c", PAGE, 7)).max_age, 4 * S);
    end_attempt(&mut router, T0 + 4 * S, "c", 0, AttemptStatus::Served);
    assert_eq!(sent_attempt(&send_request(&mut router, T0 + 4 * S, "d", PAGE, 8)).max_age, 20 * S);
}

#[test]
fn staleness_bound_of_zero_gives_a_max_age_of_one_microsecond() {
    // A maximum age of 0 would mean the fresh time of the class.
    let mut router = router_with_bound(Some(0));
    assert_eq!(sent_attempt(&send_request(&mut router, T0 + S, "a", VIDEO, 7)).max_age, 1);
}
