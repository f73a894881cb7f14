use super::*;
use proptest::prelude::*;

fn identity(name: &str) -> Identity {
    Identity { name: name.to_owned(), listen: "127.0.0.1:9090".parse().unwrap() }
}

fn handle(offers: &mut Offers<u8>, connection: u8, message: &FromSuccessor) -> Action {
    offers.handle_line(connection, &encode_line(message))
}

#[test]
fn the_listener_is_offered_to_one_process_of_the_same_instance_at_a_time() {
    let mut offers = Offers::new(identity("n0"));
    for (message, reason) in [
        (hello(identity("n1")), "this is n0 at 127.0.0.1:9090"),
        (FromSuccessor::Hello { version: 9, identity: identity("n0"), reads_executions: true }, "version 9"),
    ] {
        assert!(
            matches!(handle(&mut offers, 1, &message), Action::Refuse(FromPredecessor::Refused(text)) if text.contains(reason))
        );
    }
    assert!(matches!(offers.handle_line(1, b"GET / HTTP/1.1\r\n"), Action::Refuse(_)));
    assert_eq!(
        handle(&mut offers, 1, &FromSuccessor::Serving { shared_listener: true }),
        Action::Nothing,
        "no process has sent hello"
    );
    assert_eq!(handle(&mut offers, 1, &hello(identity("n0"))), Action::Offer);
    assert_eq!(handle(&mut offers, 2, &hello(identity("n0"))), Action::Refuse(FromPredecessor::Busy));
    assert_eq!(handle(&mut offers, 2, &FromSuccessor::Serving { shared_listener: true }), Action::Nothing);
    assert!(!offers.handle_disconnect(2) && offers.has_successor());
    assert_eq!(
        handle(&mut offers, 1, &FromSuccessor::Serving { shared_listener: false }),
        Action::Replaced { shared_listener: false }
    );
    assert_eq!(
        handle(&mut offers, 1, &FromSuccessor::Serving { shared_listener: true }),
        Action::Nothing,
        "replaces only once"
    );
    assert!(offers.handle_disconnect(1) && !offers.has_successor());
    assert_eq!(
        handle(&mut offers, 3, &hello(identity("n0"))),
        Action::Offer,
        "the next process gets an offer"
    );
}

#[test]
fn a_state_file_is_accepted_only_if_intact_and_of_the_same_instance() {
    let state = TakeoverState {
        identity: identity("n0"),
        purges: vec![
            PurgeInForce { object: Some(u64::MAX), group: 3, purged_ms: 17 },
            PurgeInForce { object: None, group: 255, purged_ms: 1 },
        ],
        written_ms: None,
        classes: Vec::new(),
        limits: Vec::new(),
        executed: Vec::new(),
    };
    let file = state.encode();
    assert_eq!(TakeoverState::decode(&file, &identity("n0")), Ok(state));
    assert_eq!(TakeoverState::decode(&file, &identity("n1")), Err(StateError::OtherInstance));
    for at in 0..file.len() {
        assert!(TakeoverState::decode(&file[..at], &identity("n0")).is_err(), "truncated to {at}");
        let mut corrupt = file.clone();
        corrupt[at] ^= 1;
        assert!(TakeoverState::decode(&corrupt, &identity("n0")).is_err(), "corrupt at {at}");
    }
    assert_eq!(TakeoverState::decode(b"PK\x03\x04\n", &identity("n0")), Err(StateError::UnknownFormat));
}

proptest! {
    #![proptest_config(crate::net::testing::config())]

    /// For any lines on any connections there is at most one successor, only it can replace this process, and only
    /// once.
    #[test]
    fn only_the_process_with_the_offer_replaces_the_predecessor(steps in prop::collection::vec((0u8..4, 0u8..5), 0..60)) {
        let mut offers = Offers::new(identity("n0"));
        let mut model: Option<(u8, bool)> = None;
        for (kind, connection) in steps {
            let action = match kind {
                0 => handle(&mut offers, connection, &hello(identity("n0"))),
                1 => handle(&mut offers, connection, &FromSuccessor::Serving { shared_listener: true }),
                2 => offers.handle_line(connection, &[connection; 9]),
                _ => {
                    let was_successor = model.is_some_and(|m| m.0 == connection);
                    prop_assert_eq!(offers.handle_disconnect(connection), was_successor);
                    model = model.filter(|m| m.0 != connection);
                    continue;
                }
            };
            match action {
                Action::Offer => {
                    prop_assert!(model.is_none() && kind == 0);
                    model = Some((connection, false));
                }
                Action::Replaced { .. } => {
                    prop_assert_eq!(model, Some((connection, false)));
                    model = Some((connection, true));
                }
                Action::Refuse(_) => prop_assert!(kind == 2 || model.is_some()),
                Action::Nothing => prop_assert!(kind == 1 && model != Some((connection, false))),
            }
            prop_assert_eq!(offers.has_successor(), model.is_some());
        }
    }
}

/// Guards against a line of the predecessor that is lost because it arrives in pieces, and against one that never ends.
#[test]
fn lines_are_complete_however_they_arrive_and_an_endless_one_takes_no_memory() {
    let text = b"first\nsecond\nthird";
    for split in 0..text.len() {
        let mut lines = Lines::default();
        let mut complete = lines.add(&text[..split]);
        complete.extend(lines.add(&text[split..]));
        assert_eq!(complete, [b"first\n".to_vec(), b"second\n".to_vec()], "{split}");
        assert_eq!(lines.add(b"\n"), [b"third\n".to_vec()], "{split}");
    }
    let mut lines = Lines::default();
    for _ in 0..10 {
        assert!(lines.add(&[b'x'; MAX_LINE_BYTES]).is_empty());
    }
    lines.add(b"\n");
    assert_eq!(lines.add(b"next\n"), [b"next\n".to_vec()]);
}
