//! Random dials, responses, silences and selections of the pool, checked against its limits.

use super::*;
use crate::net::connection::{Callbacks, State};
use crate::net::protocol::Malformed;
use crate::net::testing::{config, ScriptedTransport};
use proptest::prelude::*;

const MULTIPLEX: usize = 2;
const MAX_CONNECTIONS: usize = 5;
const MAX_PER_ENDPOINT: usize = 3;

struct IgnoreInput;

impl Callbacks for IgnoreInput {
    fn received(&mut self, _: &mut bytes::BytesMut) -> Result<(), Malformed> {
        Ok(())
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// A connection to this endpoint is selected for a request; if `true`, the last used connection is excluded.
    Choose(u8, bool),
    /// The dial of this connection succeeds.
    DialSucceeds(usize),
    /// A response arrives on this connection.
    Response(usize),
    /// This connection is lost.
    Lost(usize),
    /// Writes on this connection block.
    WriteBlocks(usize),
    /// Time passes, in microseconds.
    TimePasses(Micros),
    /// This endpoint is restarted.
    EndpointRestarts(u8),
    /// This endpoint is removed.
    EndpointRemoved(u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3u8, prop::bool::weighted(0.2)).prop_map(|(endpoint, excluded)| Step::Choose(endpoint, excluded)),
        4 => (0..MAX_CONNECTIONS).prop_map(Step::DialSucceeds),
        3 => (0..MAX_CONNECTIONS).prop_map(Step::Response),
        1 => (0..MAX_CONNECTIONS).prop_map(Step::Lost),
        1 => (0..MAX_CONNECTIONS).prop_map(Step::WriteBlocks),
        2 => (1..2 * UNRESPONSIVE_AFTER).prop_map(Step::TimePasses),
        1 => (0..3u8).prop_map(Step::EndpointRestarts),
        1 => (0..3u8).prop_map(Step::EndpointRemoved),
    ]
}

fn name(endpoint: u8) -> Id {
    format!("s-{endpoint:08x}").into()
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

fn check(steps: Vec<Step>) {
    let mut pool: Pool<ScriptedTransport> =
        Pool::new(MULTIPLEX, MAX_CONNECTIONS, MAX_PER_ENDPOINT, 13_500_000);
    for endpoint in 0..2 {
        pool.set_address(&name(endpoint), address());
    }
    let (mut now, mut next, mut last) = (UNRESPONSIVE_AFTER, 0, None);
    for (number, step) in steps.into_iter().enumerate() {
        let mut tokens: Vec<Token> = pool.connections.keys().copied().collect();
        tokens.sort();
        let nth = |n: usize| tokens.get(n).copied();
        match step {
            Step::Choose(endpoint, excluded) => {
                let excluded: Vec<Token> = last.filter(|_| excluded).into_iter().collect();
                let (id, endpoint) = (Id::from(number.to_string()), name(endpoint));
                match pool.choose(&endpoint, now, &excluded) {
                    Choice::Use(token) => {
                        let upstream = pool.get_mut(token).unwrap();
                        assert!(
                            upstream.conn.is_open() && upstream.conn.backlog() == 0,
                            "queued behind unwritten bytes"
                        );
                        assert!(!excluded.contains(&token), "on an excluded connection");
                        assert!(upstream.in_flight.len() < MULTIPLEX && upstream.endpoint == endpoint);
                        let unresponsive = upstream.is_unresponsive(now);
                        upstream.note_sent(id, 0, now);
                        let connections = pool.tokens(&endpoint).len();
                        assert!(
                            !unresponsive || connections == MAX_PER_ENDPOINT || pool.is_full(),
                            "on an unresponsive connection although a dial was possible"
                        );
                        last = Some(token);
                    }
                    Choice::Wait(token) => {
                        let upstream = pool.get_mut(token).unwrap();
                        assert!(
                            upstream.conn.state() == State::Dialing && upstream.waiting.len() < MULTIPLEX
                        );
                        upstream.waiting.push(id);
                    }
                    Choice::Dial(_) => {
                        assert!(pool.tokens(&endpoint).len() < MAX_PER_ENDPOINT && !pool.is_full());
                        let conn = Connection::dialing(ScriptedTransport::default(), now);
                        next += 1;
                        pool.add(Token(next), UpstreamConnection::new(conn, endpoint, address(), now));
                    }
                    Choice::Full => {
                        let usable =
                            |t: &&Token| pool.connections[*t].conn.is_open() && !excluded.contains(t);
                        let has_capacity = |t: &&Token| pool.connections[*t].in_flight.len() < MULTIPLEX;
                        let is_writable = |t: &&Token| pool.connections[*t].conn.backlog() == 0;
                        let available = pool
                            .tokens(&endpoint)
                            .iter()
                            .filter(usable)
                            .filter(has_capacity)
                            .find(is_writable);
                        assert!(
                            available.is_none() || !pool.addresses.contains_key(&endpoint),
                            "full although a connection had capacity"
                        );
                    }
                }
            }
            Step::DialSucceeds(n) => {
                let Some(upstream) = nth(n).and_then(|t| pool.get_mut(t)) else { continue };
                upstream.conn.transport().0.borrow_mut().dial = Some(true);
                upstream.conn.ready(now, false, true, &mut IgnoreInput);
                for id in std::mem::take(&mut upstream.waiting) {
                    upstream.in_flight.insert(id, 0);
                    upstream.awaiting_since.get_or_insert(now);
                }
            }
            Step::Response(n) => {
                let Some(upstream) = nth(n).and_then(|t| pool.get_mut(t)) else { continue };
                if let Some(id) = upstream.in_flight.keys().next().cloned() {
                    upstream.in_flight.remove(&id);
                    upstream.note_received(now);
                    assert!(
                        !upstream.is_unresponsive(now)
                            && upstream.awaiting_since.is_some() != upstream.in_flight.is_empty()
                    );
                }
            }
            Step::Lost(n) => {
                nth(n).and_then(|t| pool.remove(t));
            }
            Step::WriteBlocks(n) => {
                nth(n).and_then(|t| pool.get_mut(t)).into_iter().for_each(|l| l.conn.queue(vec![0]));
            }
            Step::TimePasses(span) => now += span,
            Step::EndpointRemoved(endpoint) => {
                pool.remove_endpoint(&name(endpoint));
                assert_eq!(pool.choose(&name(endpoint), now, &[]), Choice::Full);
            }
            Step::EndpointRestarts(endpoint) => {
                pool.set_address(&name(endpoint), address());
                let old = pool.dialed_before(&name(endpoint), now);
                old.into_iter().for_each(|t| drop(pool.remove(t)));
                let is_current = |l: &UpstreamConnection<ScriptedTransport>| {
                    l.endpoint != name(endpoint) || l.dialed_at >= now
                };
                assert!(pool.connections.values().all(is_current), "a connection to the previous process");
            }
        }
        if let Some(token) = tokens.iter().find(|t| pool.connections.get(t).is_some_and(|l| l.is_idle())) {
            let listed = pool.addresses.contains_key(&pool.connections[token].endpoint);
            assert!(
                listed || pool.idle_for(now, Micros::MAX).contains(token),
                "an idle connection to a removed endpoint is kept open"
            );
        }
        assert!(
            pool.len() <= MAX_CONNECTIONS && pool.by_endpoint.values().all(|t| t.len() <= MAX_PER_ENDPOINT)
        );
        assert_eq!(pool.by_endpoint.values().map(Vec::len).sum::<usize>(), pool.len());
        assert!(pool.idle_for(now, 0).iter().all(|t| pool.connections[t].is_idle()));
    }
}

proptest! {
    #![proptest_config(config())]
    #[test]
    fn the_pool_keeps_its_limits_for_any_steps(steps in prop::collection::vec(step(), 1..120)) {
        check(steps);
    }
}

/// Guards against treating any loss as that of a stale connection: only a loss right after a request on an idle
/// connection shows that it was stale.
#[test]
fn a_loss_right_after_an_idle_time_lowers_the_stale_timeout() {
    const SECOND: Micros = 1_000_000;
    for (idle, after, expected) in [
        (2 * SECOND, STALE_LOSS_WINDOW / 2, 3 * SECOND / 2),
        (2 * SECOND, 2 * STALE_LOSS_WINDOW, 13 * SECOND),
        (MIN_STALE_AFTER / 2, 0, 13 * SECOND),
        (MIN_STALE_AFTER, 0, MIN_STALE_AFTER),
    ] {
        let mut pool: Pool<ScriptedTransport> =
            Pool::new(MULTIPLEX, MAX_CONNECTIONS, MAX_PER_ENDPOINT, 13 * SECOND);
        let mut upstream = UpstreamConnection::new(
            Connection::accepted(ScriptedTransport::default(), SECOND),
            name(0),
            address(),
            SECOND,
        );
        upstream.note_sent("a".into(), 0, SECOND + idle);
        pool.note_lost(&upstream, SECOND + idle + after);
        assert_eq!(pool.stale_after, expected, "idle for {idle}, lost after {after}");
    }
}
