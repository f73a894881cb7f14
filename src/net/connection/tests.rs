//! Random steps of a connection, checked against a model of its state transitions.

use super::*;
use crate::net::protocol::Malformed;
use crate::net::testing::{config, ScriptedTransport};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Dial(bool),
    Incoming(u8, usize),
    PeerCloses(bool),
    SetCapacity(usize),
    Ready(bool, bool),
    Queue(u8, usize),
    Flush,
    Pause(bool),
    DiscardInput,
    Finish,
    Close,
}

fn step() -> impl Strategy<Value = Step> {
    // Large sizes now and then exceed the buffers and the bytes read in one iteration.
    let size = || prop_oneof![8 => 1..2_000usize, 1 => 60_000..700_000usize];
    prop_oneof![
        2 => prop_oneof![3 => Just(true), 1 => Just(false)].prop_map(Step::Dial),
        3 => (prop_oneof![9 => 0..POISON, 1 => Just(POISON)], size()).prop_map(|(b, n)| Step::Incoming(b, n)),
        1 => any::<bool>().prop_map(Step::PeerCloses),
        3 => size().prop_map(Step::SetCapacity),
        6 => any::<(bool, bool)>().prop_map(|(r, w)| Step::Ready(r, w)),
        3 => (any::<u8>(), size()).prop_map(|(b, n)| Step::Queue(b, n)),
        2 => Just(Step::Flush),
        2 => any::<bool>().prop_map(Step::Pause),
        1 => Just(Step::DiscardInput),
        1 => Just(Step::Finish),
        1 => Just(Step::Close),
    ]
}

/// A byte that the owner of the connection rejects as malformed.
const POISON: u8 = 12;

/// An owner that records the received bytes in order.
#[derive(Default)]
struct Owner {
    opened: usize,
    received: Vec<u8>,
    rejected: bool,
}

impl Callbacks for Owner {
    fn opened(&mut self) {
        assert!(self.received.is_empty(), "bytes before the connection opened");
        self.opened += 1;
    }

    fn received(&mut self, bytes: &mut BytesMut) -> Result<(), Malformed> {
        assert!(!self.rejected, "bytes after a malformed one");
        self.received.extend(&bytes.split()[..]);
        self.rejected = self.received.contains(&POISON);
        if self.rejected {
            return Err(Malformed::FrameType);
        }
        Ok(())
    }
}

fn check(accepted: bool, steps: Vec<Step>) {
    let transport = ScriptedTransport::default();
    let peer = transport.0.clone();
    let new = if accepted { Connection::accepted } else { Connection::dialing };
    let mut conn = new(transport, 0);
    let (mut owner, mut sent, mut queued) = (Owner::default(), Vec::new(), Vec::new());
    for (now, step) in (1..).zip(steps) {
        let (before, received, written) = (conn.state(), owner.received.len(), peer.borrow().written.len());
        let (paused, dial) = (conn.paused, peer.borrow().dial);
        let blocked = peer.borrow().capacity < conn.backlog();
        let mut may_become = vec![before];
        match step {
            Step::Dial(ok) => {
                peer.borrow_mut().dial.get_or_insert(ok);
            }
            Step::Incoming(byte, count) => {
                sent.extend(std::iter::repeat_n(byte, count));
                peer.borrow_mut().incoming.extend(std::iter::repeat_n(byte, count));
            }
            Step::PeerCloses(error) => peer.borrow_mut().end = Some(error),
            Step::SetCapacity(capacity) => peer.borrow_mut().capacity = capacity,
            Step::Queue(byte, count) => {
                conn.queue(vec![byte; count]);
                if !matches!(before, State::Lingering | State::Closed(_)) {
                    queued.extend(std::iter::repeat_n(byte, count));
                }
            }
            Step::Pause(paused) => conn.pause(paused),
            Step::Ready(readable, writable) => {
                conn.ready(now, readable, writable, &mut owner);
                match (before, dial) {
                    (State::Dialing, Some(false)) if readable || writable => {
                        may_become = vec![State::Closed(Closed::DialFailed)];
                    }
                    (State::Dialing, Some(true)) if readable || writable => {
                        may_become = vec![State::Open, State::Discarding, State::Closed(Closed::Lost)];
                    }
                    (State::Open, _) => may_become.extend([State::Discarding, State::Closed(Closed::Lost)]),
                    (State::Discarding, _) => may_become.push(State::Closed(Closed::Lost)),
                    // An error closes it in any state; the peer's end only after all output is written.
                    (State::Finishing, _) if writable && !blocked => {
                        may_become = vec![
                            State::Lingering,
                            State::Closed(Closed::ByOwner),
                            State::Closed(Closed::Lost),
                        ];
                    }
                    (State::Finishing | State::Lingering, _) => {
                        may_become.push(State::Closed(Closed::Lost));
                        let ended = before == State::Lingering;
                        may_become.extend(ended.then_some(State::Closed(Closed::ByOwner)));
                    }
                    _ => {}
                }
                if conn.state() == State::Discarding && before != State::Discarding {
                    assert!(owner.rejected, "input discarded without a cause");
                }
                if conn.state() == State::Closed(Closed::ByOwner) && before != conn.state() {
                    // Guards the last response: a close with unread input resets the connection and loses it.
                    let (read, peer) = (peer.borrow().incoming.is_empty(), peer.borrow());
                    assert!(read && peer.end.is_some(), "closed over unread bytes");
                }
                if conn.state() == State::Closed(Closed::Lost) && before != conn.state() {
                    assert!(peer.borrow().end.is_some(), "lost without a cause");
                }
            }
            Step::Flush | Step::Finish => {
                match step {
                    Step::Flush => conn.flush(now),
                    _ => conn.finish(now),
                }
                may_become = match (before, step) {
                    (State::Finishing, _) | (State::Open | State::Discarding, Step::Finish) if blocked => {
                        vec![State::Finishing]
                    }
                    (State::Finishing | State::Open | State::Discarding, Step::Finish)
                    | (State::Finishing, _) => {
                        vec![if conn.peer_closed { State::Closed(Closed::ByOwner) } else { State::Lingering }]
                    }
                    (State::Dialing, Step::Finish) => vec![State::Closed(Closed::ByOwner)],
                    _ => may_become,
                };
                if !blocked && matches!(before, State::Open | State::Discarding | State::Finishing) {
                    assert_eq!(
                        peer.borrow().written.len(),
                        queued.len(),
                        "not all output was written although the transport had capacity"
                    );
                }
            }
            Step::DiscardInput => {
                conn.discard_input();
                if before == State::Open {
                    may_become = vec![State::Discarding];
                }
            }
            Step::Close => {
                conn.close();
                if !matches!(before, State::Closed(_)) {
                    may_become = vec![State::Closed(Closed::ByOwner)];
                }
            }
        }
        let after = conn.state();
        assert!(may_become.contains(&after), "{before:?} became {after:?}, not one of {may_become:?}");
        let peer = peer.borrow();
        assert!(queued.starts_with(&peer.written), "written bytes differ from queued ones");
        assert!(sent.starts_with(&owner.received), "received bytes differ from sent ones");
        assert_eq!((conn.written(), conn.queued()), (peer.written.len() as u64, queued.len() as u64));
        assert_eq!(owner.opened, usize::from(!accepted && owner.opened > 0), "opened once at most");
        let may_receive = matches!(before, State::Open | State::Dialing) && !paused;
        assert!(
            may_receive || owner.received.len() == received,
            "received while {before:?}, paused {paused}"
        );
        if after == State::Lingering {
            assert_eq!(peer.shutdown_at, Some(queued.len()), "shut down before all output was written");
        }
        let may_write = !matches!(before, State::Lingering | State::Closed(_));
        assert!(may_write || peer.written.len() == written, "wrote while {before:?}");
    }
}

proptest! {
    #![proptest_config(config())]
    #[test]
    fn state_transitions_match_the_model(accepted: bool, steps in prop::collection::vec(step(), 1..60)) {
        check(accepted, steps);
    }
}

/// Guards against a cancellation that lies behind more unread requests than are looked through.
#[test]
fn all_that_a_client_may_have_open_unread_is_looked_through() {
    const UNREAD_BYTES: usize = 32 * 64_384;
    let transport = ScriptedTransport::default();
    transport.0.borrow_mut().incoming.extend(std::iter::repeat_n(7, UNREAD_BYTES));
    let mut conn = Connection::accepted(transport, 0);
    assert_eq!(conn.peek_unread().map(|bytes| bytes.len()), Some(UNREAD_BYTES));
}
