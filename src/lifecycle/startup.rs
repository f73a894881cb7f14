//! Retry policy for failed startup steps.
//!
//! The module does no I/O and reads no clock. Its driver is `src/net/startup.rs`.

use crate::routing::events::Micros;

const MICROS_PER_MS: Micros = 1_000;
/// Pause before the first retry; doubled for each further one, up to `MAX_PAUSE`.
const FIRST_PAUSE: Micros = 20 * MICROS_PER_MS;
const MAX_PAUSE: Micros = 200 * MICROS_PER_MS;
/// Time for which a step that lacks a resource is retried: an instance has 30 s to become ready.
const RESOURCE_TIMEOUT: Micros = 25_000 * MICROS_PER_MS;
/// Time for which a step that finds its address in use is retried: the process that holds the address may be exiting.
/// Short, so that an instance started twice by mistake fails soon.
const ADDRESS_TIMEOUT: Micros = 5_000 * MICROS_PER_MS;

/// Why a step failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The system lacks a resource that may soon be available again: descriptors, memory, buffers, a route.
    Resource,
    /// The address is in use.
    AddressInUse,
    /// A retry would fail as well.
    Permanent,
}

/// The retries of one step.
#[derive(Clone, Copy, Debug)]
pub struct Retries {
    started_at: Micros,
    pause: Micros,
}

impl Retries {
    /// Starts the retries of a step whose first attempt is made at `now`.
    pub fn new(now: Micros) -> Self {
        Retries { started_at: now, pause: FIRST_PAUSE }
    }

    /// Returns the pause before the next attempt after one has failed, or `None` if the step is to be given up.
    pub fn failed(&mut self, now: Micros, cause: Cause) -> Option<Micros> {
        let timeout = match cause {
            Cause::Resource => RESOURCE_TIMEOUT,
            Cause::AddressInUse => ADDRESS_TIMEOUT,
            Cause::Permanent => return None,
        };
        if now.saturating_sub(self.started_at) >= timeout {
            return None;
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(MAX_PAUSE);
        Some(pause)
    }
}
