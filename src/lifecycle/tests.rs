use super::*;
use proptest::prelude::*;

const T: Micros = 1_000_000;
const SECOND: Micros = 1_000_000;

fn idle(is_leaving: bool, had_request: bool, idle: Micros) -> IdleConnection {
    IdleConnection { is_leaving, had_request, idle }
}

fn serving() -> Lifecycle {
    let mut life = Lifecycle::default();
    assert_eq!((life.phase(), life.is_serving()), (Phase::Starting, false));
    life.handle(T, Event::EndpointsListed(true)).unwrap();
    assert!(life.is_serving() && life.is_ready() && life.accepts_connections() && !life.sends_going_away());
    life
}

#[test]
fn standby_empties_within_four_seconds_and_active_ends_it_at_any_moment() {
    let mut life = serving();
    life.handle(T, Event::Standby).unwrap();
    assert!(!life.is_serving() && !life.is_ready() && life.sends_going_away());
    assert!(life.accepts_connections() && life.admits_requests(T + SECOND), "what still comes is served");
    assert!(
        life.closes(T, idle(true, true, LEAVING_IDLE_TIMEOUT))
            && !life.closes(T, idle(true, true, LEAVING_IDLE_TIMEOUT - 1))
    );
    assert!(
        !life.closes(T + SECOND, idle(false, true, SECOND)),
        "a new connection may still bring its request"
    );
    // A second call does not begin the drain anew.
    life.handle(T + SECOND, Event::Standby).unwrap();
    assert!(
        !life.admits_requests(T + 2 * SECOND)
            && life.closes(T + 2 * SECOND, idle(false, true, LEAVING_IDLE_TIMEOUT))
    );
    assert!(
        !life.closes_partial_messages(T + 3 * SECOND) && life.closes_partial_messages(T + 4 * SECOND - 1)
    );
    assert!(!life.may_exit(T + 100 * SECOND, OpenWork::default()), "standby is not the end");
    life.handle(T + 3 * SECOND, Event::Active).unwrap();
    life.handle(T + 3 * SECOND, Event::Active).unwrap();
    let now = T + 9 * SECOND;
    assert!(
        life.is_serving()
            && life.admits_requests(now)
            && !life.sends_going_away()
            && !life.closes_partial_messages(now)
    );
    assert!(life.closes(now, idle(true, true, LEAVING_IDLE_TIMEOUT)), "who was told to leave must not stay");
    assert!(!life.closes(now, idle(false, true, LEAVING_IDLE_TIMEOUT)));
}

#[test]
fn a_successor_takes_over_and_its_death_before_the_end_gives_all_back() {
    for (shared, standby) in [(true, false), (false, false), (true, true)] {
        let mut life = serving();
        if standby {
            life.handle(T, Event::Standby).unwrap();
        }
        let before = life.phase();
        life.handle(T, Event::SuccessorServing { shares_listener: shared }).unwrap();
        assert!(!life.is_serving() && life.is_ready() && life.sends_going_away(), "the doorman is ready");
        assert_eq!(life.accepts_connections(), !shared, "what only this listener gets is taken");
        assert!(life.admits_requests(T + 9 * SECOND) && !life.closes_partial_messages(T + 9 * SECOND));
        assert_eq!(life.handle(T, Event::Standby), Err(CallRefused::Replaced));
        assert_eq!(life.handle(T, Event::Active), Err(CallRefused::Replaced));
        life.handle(T, Event::SuccessorEnded).unwrap();
        assert_eq!((life.phase(), life.accepts_connections()), (before, true));
    }
}

#[test]
fn the_end_comes_when_nothing_is_owed_and_at_the_latest_in_time() {
    let nothing = OpenWork::default();
    let owed = OpenWork { unanswered: true, ..nothing };
    let coming = OpenWork { incoming: true, ..nothing };
    let mut life = serving();
    life.handle(T, Event::Terminate { longest_deadline: 2 * SECOND }).unwrap();
    assert_eq!(life.handle(T, Event::Active), Err(CallRefused::Stopping));
    assert_eq!(life.handle(T, Event::Standby), Err(CallRefused::Stopping));
    assert!(
        !life.is_ready()
            && life.accepts_connections()
            && life.admits_requests(T)
            && !life.closes(T, idle(true, true, SECOND))
    );
    assert!(!life.may_exit(T + LINGER - 1, nothing), "requests may still be on their way");
    assert!(life.may_exit(T + LINGER, nothing));
    let stop = T + 2 * SECOND + DRAIN_MARGIN + DRAIN_FLUSH;
    for held in [owed, coming] {
        assert!(!life.may_exit(stop - 1, held) && life.may_exit(stop, held));
    }
    // A second SIGTERM does not put the end off, and a deadline of an hour counts as three seconds.
    life.handle(T + SECOND, Event::Terminate { longest_deadline: 3_600 * SECOND }).unwrap();
    assert_eq!(life.drain_deadline(), Some(stop - DRAIN_FLUSH));
    let mut life = serving();
    life.handle(T, Event::Terminate { longest_deadline: 3_600 * SECOND }).unwrap();
    assert_eq!(life.drain_deadline(), Some(T + MAX_DRAIN + DRAIN_MARGIN));
    // Out of standby it ends as from anywhere else, and begins what still comes.
    let mut life = serving();
    life.handle(T, Event::Standby).unwrap();
    life.handle(T + 3 * SECOND, Event::Terminate { longest_deadline: SECOND }).unwrap();
    assert!(life.admits_requests(T + 3 * SECOND) && !life.closes_partial_messages(T + 4 * SECOND));
    assert!(!life.may_exit(T + 3 * SECOND, nothing) && life.may_exit(T + 3 * SECOND + LINGER, nothing));
    // With a successor at the same queue nothing new comes: only its own connections are waited for.
    let mut life = serving();
    life.handle(T, Event::SuccessorServing { shares_listener: true }).unwrap();
    life.handle(T, Event::Terminate { longest_deadline: SECOND }).unwrap();
    assert!(life.is_ready() && life.closes(T, idle(true, true, LEAVING_IDLE_TIMEOUT)));
    assert!(
        !life.closes(T, idle(true, false, LEAVING_IDLE_TIMEOUT)) && life.closes(T, idle(true, false, SECOND)),
        "a first request may come"
    );
    assert!(!life.may_exit(T, OpenWork { clients: true, ..nothing }) && life.may_exit(T, nothing));
}

proptest! {
    #![proptest_config(crate::net::testing::config())]

    /// Whatever happens in whatever order: what is taken is also accepted and begun; a process that is to end
    /// does, in bounded time, and never takes clients again; after the last `active` one that is neither
    /// replaced nor stopping serves.
    #[test]
    fn any_order_of_events_keeps_the_phases_apart(steps in prop::collection::vec((0u8..7, 0u64..3_000_000), 1..40)) {
        let (mut life, mut now, mut ends) = (Lifecycle::default(), T, None::<Micros>);
        life.handle(now, Event::EndpointsListed(true)).unwrap();
        for (what, wait) in steps {
            now += wait;
            let event = match what {
                0 | 1 => Event::Standby,
                2 | 3 => Event::Active,
                4 => Event::SuccessorServing { shares_listener: wait % 2 == 0 },
                5 => Event::SuccessorEnded,
                _ => Event::Terminate { longest_deadline: 3 * SECOND },
            };
            let before = life.phase();
            let taken = life.handle(now, event);
            if taken.is_err() {
                prop_assert_eq!(life.phase(), before);
            }
            if let Event::Terminate { .. } = event {
                ends.get_or_insert(now + MAX_DRAIN + DRAIN_MARGIN + DRAIN_FLUSH);
            }
            if event == Event::Active && taken.is_ok() {
                prop_assert!(life.is_serving());
            }
            if life.is_serving() {
                prop_assert!(life.accepts_connections() && life.admits_requests(now) && life.is_ready() && !life.sends_going_away());
            }
            let held = OpenWork { unanswered: true, incoming: true, clients: true };
            match ends {
                Some(end) => {
                    prop_assert!(!life.is_serving());
                    prop_assert_eq!(life.may_exit(now, held), now >= end);
                }
                None => prop_assert!(!life.may_exit(now, OpenWork::default())),
            }
        }
    }
}
