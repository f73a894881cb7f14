//! What one datagram of the fleet's view costs: taken and answered, in fleets of three sizes.

use criterion::{criterion_group, criterion_main, Criterion};
use larchdale::gossip::message::{encode, Head, Kind, Update};
use larchdale::gossip::{Config, Gossip, State};
use std::hint::black_box;

fn datagram(c: &mut Criterion) {
    for many in [5u16, 20, 100] {
        let updates =
            (1..many).map(|n| Update { member: n, incarnation: 1 << 49, state: State::Alive, accuser: 0 });
        let head = Head { incarnation: 1 << 49, kind: Kind::Ping(7) };
        let ping = encode(&head, updates.take(6), &[]).bytes;
        let mut gossip = Gossip::new(Config::new(0, many), 1 << 49, 1, 1_000_000);
        let (mut now, mut actions) = (1_000_000, Vec::new());
        c.bench_function(&format!("a ping of 6 updates taken and answered, {many} members"), |b| {
            b.iter(|| {
                now += 10;
                actions.clear();
                let _ = black_box(gossip.receive(now, 1, black_box(&ping), &mut actions));
                black_box(&actions);
            })
        });
    }
}

criterion_group!(benches, datagram);
criterion_main!(benches);
