//! The simulated network: how long a packet takes, and whether it comes.
//!
//! A datagram that is lost or meets a cut is gone. What goes over TCP comes in order; a packet that is lost is sent
//! again after 200 ms, then after twice as long each time, and after the seventh try the connection is broken. That
//! is slower than a TCP that hears of the loss from later packets, so times under loss are upper bounds. A packet has
//! no size: links don't fill.

use crate::places::Place;
use crate::plan::Plan;
use crate::queue::Micros;
use crate::scenario::Ways;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// After so long a packet is sent again for the first time.
const RESEND: Micros = 200_000;
/// Tries until a connection is broken.
const TRIES: u32 = 7;

/// What becomes of something that was sent over TCP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// It comes at this moment.
    Comes(Micros),
    /// The sender gives the connection up at this moment.
    Breaks(Micros),
}

/// See the module.
#[derive(Clone, Debug)]
pub struct Network<'a> {
    plan: &'a Plan,
    ways: Ways,
    /// By pair of regions, the least way in ms.
    bases: Vec<f64>,
    regions: usize,
    rng: Pcg32,
}

impl<'a> Network<'a> {
    /// One on which the plan's faults happen, with chances from `seed`.
    pub fn new(plan: &'a Plan, ways: &Ways, seed: u64) -> Self {
        let regions = plan.places.all.iter().map(|p| usize::from(p.region) + 1).max().unwrap_or(1);
        // Ways are the world's, so they don't hang on the seed.
        let mut rng = Pcg32::seed_from_u64(0x0dd5);
        let mut bases = vec![0.0; regions * regions];
        for one in 0..regions {
            for other in 0..one {
                let base = rng.random_range(ways.far_ms[0]..=ways.far_ms[1]);
                bases[one * regions + other] = base;
                bases[other * regions + one] = base;
            }
        }
        Network { plan, ways: ways.clone(), bases, regions, rng: Pcg32::seed_from_u64(seed) }
    }

    /// How long a packet takes.
    pub fn way(&mut self, from: usize, to: usize) -> Micros {
        let (a, b) = (self.plan.places.all[from], self.plan.places.all[to]);
        let [least, most] = self.range(a, b);
        self.between(least, most)
    }

    /// The least time that a packet takes.
    pub fn least_way(&self, from: usize, to: usize) -> Micros {
        let (a, b) = (self.plan.places.all[from], self.plan.places.all[to]);
        (self.range(a, b)[0] * 1_000.0) as Micros
    }

    /// A span by chance, from ms.
    pub fn between(&mut self, least: f64, most: f64) -> Micros {
        let ms = if most > least { self.rng.random_range(least..most) } else { least };
        (ms * 1_000.0) as Micros
    }

    /// How long a control machine takes to hear from most others, there and back.
    pub fn quorum(&self, control: usize) -> Micros {
        let places = &self.plan.places;
        let way = |other| 2 * self.least_way(places.control(control), places.control(other));
        let mut ways: Vec<Micros> = (0..places.controls).filter(|&o| o != control).map(way).collect();
        ways.sort_unstable();
        // It counts itself.
        (places.controls / 2).checked_sub(1).and_then(|n| ways.get(n)).copied().unwrap_or(0)
    }

    fn range(&self, a: Place, b: Place) -> [f64; 2] {
        if a.region != b.region {
            let base = self.bases[usize::from(a.region) * self.regions + usize::from(b.region)];
            [base, base * 1.1]
        } else if a.zone != b.zone {
            self.ways.region_ms
        } else if a.site != b.site {
            self.ways.zone_ms
        } else {
            self.ways.site_ms
        }
    }

    /// Whether a packet gets lost.
    fn loses(&mut self, now: Micros, from: usize, to: usize, tcp: bool) -> bool {
        let lost = self.plan.lost(now, tcp);
        self.plan.is_cut(from, to, now) || (lost > 0.0 && self.rng.random::<f64>() < lost)
    }

    /// When a datagram comes, if it does.
    pub fn datagram(&mut self, now: Micros, from: usize, to: usize) -> Option<Micros> {
        if self.loses(now, from, to, false) {
            return None;
        }
        Some(now + self.way(from, to))
    }

    /// When a packet that opens a connection comes, if it does: who dials waits no longer than the first try.
    pub fn opening(&mut self, now: Micros, from: usize, to: usize) -> Option<Micros> {
        if self.loses(now, from, to, true) {
            return None;
        }
        Some(now + self.way(from, to))
    }

    /// What becomes of a message on a connection.
    pub fn segment(&mut self, now: Micros, from: usize, to: usize) -> Sent {
        let (mut at, mut pause) = (now, RESEND);
        for _ in 0..TRIES {
            // Who has stopped sends nothing again.
            let sent = self.plan.runs(from, at) && !self.loses(at, from, to, true);
            let comes = at + self.way(from, to);
            if sent && self.plan.runs(to, comes) {
                return Sent::Comes(comes);
            }
            at += pause;
            pause *= 2;
        }
        Sent::Breaks(at)
    }
}
