//! Whether a hollow instance sends and is sent what a real one does: both follow documents, before the same registry and
//! over the same time, calm and with changes.

use super::fleets::{change, registry};
use super::hollow::{Hollows, Kind};
use super::process::Proxy;
use super::tap::{Counts, Tap};
use super::{LoopbackError, CHANGES, PREFIX};
use std::path::Path;
use std::time::{Duration, Instant};

/// They may be apart by this part.
pub const TENTH: f64 = 0.1;
/// After the start lists and claims are done.
const SETTLES: Duration = Duration::from_secs(3);
/// Hollow instances whose mean is compared: one alone is off by a check more or less.
const HOLLOW: usize = 10;
/// What is compared, in the order of [`Counts`].
pub const WHAT: [&str; 4] = [
    "bytes to the registry",
    "messages to the registry",
    "bytes from the registry",
    "messages from the registry",
];

/// What one hollow instance, the mean of ten, and one real instance sent and were sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Agreement {
    /// The hollow one, in the order of [`WHAT`].
    pub hollow: [f64; 4],
    /// The real one.
    pub real: [f64; 4],
    /// How long it was, in seconds.
    pub seconds: f64,
}

impl Agreement {
    /// Whether they agree.
    ///
    /// # Errors
    /// The first figure that is more than a tenth apart.
    pub fn check(&self) -> Result<(), LoopbackError> {
        for (n, what) in WHAT.into_iter().enumerate() {
            let (hollow, real) = (self.hollow[n], self.real[n]);
            if (hollow - real).abs() > TENTH * real.max(1.0) {
                return Err(LoopbackError::Apart { what, hollow, real });
            }
        }
        Ok(())
    }
}

/// Lets both follow one registry, half of `span` calm and half with [`CHANGES`] a second.
///
/// # Errors
/// One of them does not get to follow.
pub fn measure(program: &Path, span: Duration) -> Result<Agreement, LoopbackError> {
    let registry = registry()?;
    let address = registry.addresses[0];
    let (real_tap, hollow_tap) = (Tap::start(address)?, Tap::start(address)?);
    let script = format!("shards(endpoints = [\"{}\"], prefix = \"{PREFIX}\")\n", real_tap.address);
    let real = Proxy::start(program, &script)?;
    real.logs("documents: list taken")?;
    let mut hollow = Hollows::new(Kind::Documents, HOLLOW, |_| hollow_tap.address)?;
    hollow.follow(SETTLES * 3)?;
    hollow.run(Instant::now() + SETTLES)?;
    let before = [hollow_tap.passed.counts(), real_tap.passed.counts()];
    let began = Instant::now();
    hollow.run(began + span / 2)?;
    let changes = CHANGES * span.as_secs() as u32 / 2;
    for n in 0..changes {
        change(&registry, Kind::Documents, n);
        hollow.run(began + span / 2 + (span / 2) * (n + 1) / changes.max(1))?;
    }
    let of = |tap: &Tap, before: Counts, many: usize| {
        let now = tap.passed.counts();
        std::array::from_fn(|k| (now[k] - before[k]) as f64 / many as f64)
    };
    Ok(Agreement {
        hollow: of(&hollow_tap, before[0], HOLLOW),
        real: of(&real_tap, before[1], 1),
        seconds: began.elapsed().as_secs_f64(),
    })
}
