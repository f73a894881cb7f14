//! Pins the decisions of a process's lifecycle and of the retries of a startup step by digests of random runs.

use crate::digest::{expect, Digest};
use larchdale::lifecycle::startup::{Cause, Retries};
use larchdale::lifecycle::{CallRefused, Event, IdleConnection, Lifecycle, OpenWork, Phase};
use larchdale::routing::events::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const MS: Micros = 1_000;

fn random_event(rng: &mut Pcg32) -> Event {
    match rng.random_range(0..24) {
        0..6 => Event::EndpointsListed(rng.random_ratio(4, 5)),
        6..10 => Event::Standby,
        10..14 => Event::Active,
        14..17 => Event::SuccessorServing { shares_listener: rng.random_bool(0.5) },
        17..20 => Event::SuccessorEnded,
        20..22 => Event::Terminate { longest_deadline: rng.random_range(0..20_000) * MS },
        22 => Event::Close,
        _ => Event::EndpointsListed(true),
    }
}

fn digest_answers(rng: &mut Pcg32, digest: &mut Digest, process: &Lifecycle, now: Micros) {
    digest.tag(match process.phase() {
        Phase::Starting => 1,
        Phase::Serving => 2,
        Phase::Standby => 3,
        Phase::Replaced => 4,
        Phase::Stopping => 5,
    });
    digest.flag(process.is_serving());
    digest.flag(process.is_ready());
    digest.flag(process.accepts_connections());
    digest.flag(process.sends_going_away());
    digest.flag(process.closes_partial_messages(now));
    digest.flag(process.admits_requests(now));
    digest.option(process.drain_deadline(), Digest::number);
    digest.number(process.exit_deadline(now));
    for (is_leaving, had_request) in [(false, false), (false, true), (true, false), (true, true)] {
        digest.flag(process.should_close(
            now,
            IdleConnection { is_leaving, had_request, idle: rng.random_range(0..1_500) * MS },
        ));
    }
    let mut random_flag = || rng.random_ratio(1, 3);
    let open = OpenWork { unanswered: random_flag(), incoming: random_flag(), clients: random_flag() };
    digest.flag(process.may_exit(now, open));
}

fn run(seed: u64) -> u64 {
    let (mut rng, mut digest) = (Pcg32::seed_from_u64(seed), Digest::new());
    for _ in 0..300 {
        let (mut process, mut now) = (Lifecycle::default(), 1_000 * MS);
        for _ in 0..40 {
            now += rng.random_range(0..1_500) * MS;
            if rng.random_ratio(1, 3) {
                let refused = process.handle(now, random_event(&mut rng)).err();
                digest.option(refused, |digest, refused| match refused {
                    CallRefused::Replaced => digest.tag(1),
                    CallRefused::Stopping => digest.tag(2),
                });
            }
            digest_answers(&mut rng, &mut digest, &process, now);
        }
        let mut retries = Retries::new(now);
        for _ in 0..30 {
            now += rng.random_range(0..2_000) * MS;
            let cause = [
                Cause::Resource,
                Cause::AddressInUse,
                Cause::Resource,
                Cause::AddressInUse,
                Cause::Permanent,
            ][rng.random_range(0..5)];
            digest.option(retries.failed(now, cause), Digest::number);
        }
    }
    digest.finish()
}

#[test]
fn lifecycle_decisions_match_the_recorded_digests() {
    expect("the lifecycle of a process", run, &[0x232e9c78f10eecd6, 0x89b72f49c950998d]);
}
