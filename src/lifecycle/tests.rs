use super::*;
use proptest::prelude::*;

const START: Micros = 1_000_000;
const SECOND: Micros = 1_000_000;

fn idle(is_leaving: bool, had_request: bool, idle: Micros) -> IdleConnection {
    IdleConnection { is_leaving, had_request, idle }
}

fn serving_process() -> Lifecycle {
    let mut process = Lifecycle::default();
    assert_eq!((process.phase(), process.is_serving()), (Phase::Starting, false));
    process.handle(START, Event::EndpointsListed(true)).unwrap();
    assert!(
        process.is_serving()
            && process.is_ready()
            && process.accepts_connections()
            && !process.sends_going_away()
    );
    process
}

#[test]
fn standby_drains_clients_within_four_seconds_and_active_cancels_it_at_any_time() {
    let mut process = serving_process();
    process.handle(START, Event::Standby).unwrap();
    assert!(!process.is_serving() && !process.is_ready() && process.sends_going_away());
    assert!(
        process.accepts_connections() && process.admits_requests(START + SECOND),
        "new requests are still served early in standby"
    );
    assert!(
        process.should_close(START, idle(true, true, LEAVING_IDLE_TIMEOUT))
            && !process.should_close(START, idle(true, true, LEAVING_IDLE_TIMEOUT - 1))
    );
    assert!(
        !process.should_close(START + SECOND, idle(false, true, SECOND)),
        "a new connection may still bring its request"
    );
    // A second call does not restart the drain.
    process.handle(START + SECOND, Event::Standby).unwrap();
    assert!(
        !process.admits_requests(START + 2 * SECOND)
            && process.should_close(START + 2 * SECOND, idle(false, true, LEAVING_IDLE_TIMEOUT))
    );
    assert!(
        !process.closes_partial_messages(START + 3 * SECOND)
            && process.closes_partial_messages(START + 4 * SECOND - 1)
    );
    assert!(!process.may_exit(START + 100 * SECOND, OpenWork::default()), "standby does not end the process");
    process.handle(START + 3 * SECOND, Event::Active).unwrap();
    process.handle(START + 3 * SECOND, Event::Active).unwrap();
    let now = START + 9 * SECOND;
    assert!(
        process.is_serving()
            && process.admits_requests(now)
            && !process.sends_going_away()
            && !process.closes_partial_messages(now)
    );
    assert!(
        process.should_close(now, idle(true, true, LEAVING_IDLE_TIMEOUT)),
        "a client that was told to leave is still disconnected"
    );
    assert!(!process.should_close(now, idle(false, true, LEAVING_IDLE_TIMEOUT)));
}

#[test]
fn a_process_stops_serving_while_its_successor_serves_and_resumes_if_the_successor_exits() {
    for (shared, standby) in [(true, false), (false, false), (true, true)] {
        let mut process = serving_process();
        if standby {
            process.handle(START, Event::Standby).unwrap();
        }
        let before = process.phase();
        process.handle(START, Event::SuccessorServing { shares_listener: shared }).unwrap();
        assert!(
            !process.is_serving() && process.is_ready() && process.sends_going_away(),
            "the instance stays ready"
        );
        assert_eq!(
            process.accepts_connections(),
            !shared,
            "connections in this process's own listen queue are accepted"
        );
        assert!(
            process.admits_requests(START + 9 * SECOND)
                && !process.closes_partial_messages(START + 9 * SECOND)
        );
        assert_eq!(process.handle(START, Event::Standby), Err(CallRefused::Replaced));
        assert_eq!(process.handle(START, Event::Active), Err(CallRefused::Replaced));
        process.handle(START, Event::SuccessorEnded).unwrap();
        assert_eq!((process.phase(), process.accepts_connections()), (before, true));
    }
}

#[test]
fn a_stopping_process_exits_when_no_work_is_open_and_at_the_drain_deadline_at_the_latest() {
    let no_work = OpenWork::default();
    let unanswered = OpenWork { unanswered: true, ..no_work };
    let incoming = OpenWork { incoming: true, ..no_work };
    let mut process = serving_process();
    process.handle(START, Event::Terminate { longest_deadline: 2 * SECOND }).unwrap();
    assert_eq!(process.handle(START, Event::Active), Err(CallRefused::Stopping));
    assert_eq!(process.handle(START, Event::Standby), Err(CallRefused::Stopping));
    assert!(
        !process.is_ready()
            && process.accepts_connections()
            && process.admits_requests(START)
            && !process.should_close(START, idle(true, true, SECOND))
    );
    assert!(!process.may_exit(START + MIN_DRAIN - 1, no_work), "requests may still be on their way");
    assert!(process.may_exit(START + MIN_DRAIN, no_work));
    let stop = START + 2 * SECOND + DRAIN_MARGIN + DRAIN_FLUSH;
    for open in [unanswered, incoming] {
        assert!(!process.may_exit(stop - 1, open) && process.may_exit(stop, open));
    }
    // A second SIGTERM does not postpone the exit, and a deadline of an hour is capped at three seconds.
    process.handle(START + SECOND, Event::Terminate { longest_deadline: 3_600 * SECOND }).unwrap();
    assert_eq!(process.drain_deadline(), Some(stop - DRAIN_FLUSH));
    let mut process = serving_process();
    process.handle(START, Event::Terminate { longest_deadline: 3_600 * SECOND }).unwrap();
    assert_eq!(process.drain_deadline(), Some(START + MAX_DRAIN + DRAIN_MARGIN));
    // A process in standby stops as one that serves does, and still admits new requests meanwhile.
    let mut process = serving_process();
    process.handle(START, Event::Standby).unwrap();
    process.handle(START + 3 * SECOND, Event::Terminate { longest_deadline: SECOND }).unwrap();
    assert!(
        process.admits_requests(START + 3 * SECOND) && !process.closes_partial_messages(START + 4 * SECOND)
    );
    assert!(
        !process.may_exit(START + 3 * SECOND, no_work)
            && process.may_exit(START + 3 * SECOND + MIN_DRAIN, no_work)
    );
    // With a successor on the same listen queue no new connection arrives: only the existing ones are waited for.
    let mut process = serving_process();
    process.handle(START, Event::SuccessorServing { shares_listener: true }).unwrap();
    process.handle(START, Event::Terminate { longest_deadline: SECOND }).unwrap();
    assert!(process.is_ready() && process.should_close(START, idle(true, true, LEAVING_IDLE_TIMEOUT)));
    assert!(
        !process.should_close(START, idle(true, false, LEAVING_IDLE_TIMEOUT))
            && process.should_close(START, idle(true, false, SECOND)),
        "a first request may still arrive"
    );
    assert!(
        !process.may_exit(START, OpenWork { clients: true, ..no_work }) && process.may_exit(START, no_work)
    );
}

proptest! {
    #![proptest_config(crate::net::testing::config())]

    /// For any order of events: a serving process accepts connections and admits requests; a process that was told to
    /// terminate exits in bounded time and never serves again; `active` makes a process serve that is neither replaced
    /// nor stopping.
    #[test]
    fn lifecycle_invariants_hold_for_any_order_of_events(steps in prop::collection::vec((0u8..7, 0u64..3_000_000), 1..40)) {
        let (mut process, mut now, mut exit_by) = (Lifecycle::default(), START, None::<Micros>);
        process.handle(now, Event::EndpointsListed(true)).unwrap();
        for (kind, wait) in steps {
            now += wait;
            let event = match kind {
                0 | 1 => Event::Standby,
                2 | 3 => Event::Active,
                4 => Event::SuccessorServing { shares_listener: wait % 2 == 0 },
                5 => Event::SuccessorEnded,
                _ => Event::Terminate { longest_deadline: 3 * SECOND },
            };
            let before = process.phase();
            let handled = process.handle(now, event);
            if handled.is_err() {
                prop_assert_eq!(process.phase(), before);
            }
            if let Event::Terminate { .. } = event {
                exit_by.get_or_insert(now + MAX_DRAIN + DRAIN_MARGIN + DRAIN_FLUSH);
            }
            if event == Event::Active && handled.is_ok() {
                prop_assert!(process.is_serving());
            }
            if process.is_serving() {
                prop_assert!(process.accepts_connections() && process.admits_requests(now) && process.is_ready() && !process.sends_going_away());
            }
            let all_work = OpenWork { unanswered: true, incoming: true, clients: true };
            match exit_by {
                Some(deadline) => {
                    prop_assert!(!process.is_serving());
                    prop_assert_eq!(process.may_exit(now, all_work), now >= deadline);
                }
                None => prop_assert!(!process.may_exit(now, OpenWork::default())),
            }
        }
    }
}
