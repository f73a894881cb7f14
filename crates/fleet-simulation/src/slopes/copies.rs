//! Copies in the instance's own memory: what one takes beside its bytes.

use super::cost::{heap, Stopwatch};
use super::Effort;
use crate::capacity::{Per, Quantity, Role, Row};
use larchdale::local_cache::{CachedCopy, Key, Limits, LocalCache, Lookup};

const MECHANISM: &str = "src/local_cache/mod.rs, LocalCache (bounded by bytes held)";
const S: u64 = 1_000_000;
/// Bytes of a body here.
const BODY: usize = 1_000;
/// Copies of 180 KB in an eighth of 256 MB.
const HELD: f64 = 178.0;

fn kept(many: usize) -> LocalCache {
    let mut copies = LocalCache::default();
    copies.set_limits(Limits { max_bytes: 256 << 20, transfer_bytes_per_s: 1e9, link_bytes_per_s: 1e9 });
    for n in 0..many as u64 {
        let key = Key { class: 0, object: n, chunk: 0 };
        (0..3).for_each(|_| copies.count_demand(S, key));
        let copy =
            CachedCopy { etag: format!("tag-{n}"), created_at: S, purge_group: n % 97, body: vec![7; BODY] };
        copies.insert(S, key, copy);
    }
    copies
}

fn sizes(effort: Effort) -> &'static [usize] {
    effort.sizes(&[100, 400, 1_000, 4_000], &[50, 100, 200, 400])
}

/// Processor time of a request that is served from here, and of a purge.
pub fn times(effort: Effort) -> Vec<Row> {
    let row = |name: &str, points: &[(f64, f64)]| {
        Row::new(Role::Router, name, Quantity::CpuEach, Per::Object, HELD, points, MECHANISM)
    };
    let serve = effort.points(sizes(effort), |n| {
        let (mut copies, mut watch) = (kept(n), Stopwatch::new());
        for k in 0..2_000u64 {
            let wish = Lookup {
                key: Key { class: 0, object: k % n as u64, chunk: 0 },
                fresh_for: 0,
                latency_objective: S,
                if_none_match: None,
            };
            watch.time(|| {
                copies.count_demand(2 * S, wish.key);
                copies.serve(2 * S, wish).is_some()
            });
        }
        watch.us_each()
    });
    let void = effort.points(sizes(effort), |n| {
        let (mut copies, mut watch) = (kept(n), Stopwatch::new());
        (0..200u64).for_each(|k| watch.time(|| copies.purge(Some(1 << 40 | k), k % 97)));
        watch.us_each()
    });
    vec![
        row("a copy served from the own memory", &serve),
        row("a purge of an object that is not kept, own copies", &void),
    ]
}

/// Bytes beside those of the bodies.
pub fn heaps(effort: Effort) -> Vec<Row> {
    let points = effort.points(sizes(effort), |n| heap(|| kept(n)) - (n * BODY) as f64);
    let name = "own copies, beside the bytes of their bodies";
    vec![Row::new(Role::Router, name, Quantity::Heap, Per::Object, HELD, &points, MECHANISM)]
}
