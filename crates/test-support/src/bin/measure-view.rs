//! The figures of the fleet's view: aim beside figure, status not 0 where an aim is missed. Simulated network and
//! time, datagrams of 1 to 10 ms, seeded: the same figures every time.

use fault_injection::{Rule, Schedule};
use larchdale::gossip::{message, Config};
use larchdale_test_support::fleet::Fleet;
use std::process::ExitCode;

const S: u64 = 1_000_000;
/// Delays as between instances.
const DELAY: [f64; 2] = [1.0, 10.0];

fn fleet(many: usize, seed: u64, loss: f64) -> Fleet {
    let mut fleet = Fleet::new(many, seed, Config::new);
    fleet.follow(&Schedule { seed, rules: vec![Rule { delay_ms: DELAY, ..Rule::loss(loss, 0, 0) }] });
    fleet.run(5 * S);
    fleet
}

/// What a member says of itself: as long as it may be, each time another.
fn note(member: usize, time: u8) -> Vec<u8> {
    let mut note = vec![time; message::Note::MAX_BYTES];
    note[0] = member as u8;
    note
}

/// A fleet in which all have said something for a while.
fn noted(many: usize, seed: u64, loss: f64) -> Fleet {
    let mut fleet = fleet(many, seed, loss);
    (0..many).for_each(|member| fleet.note(member, &note(member, 0)));
    fleet.run(30 * S);
    fleet
}

fn at(sorted: &[u64], part: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * part) as usize] as f64 / S as f64
}

fn main() -> ExitCode {
    let mut missed = 0;
    println!("{:<62} {:>8} {:>9} {:>9} {:>9}", "what", "aim", "5", "20", "100");
    let mut row = |what: &str, aim: Option<f64>, figures: [f64; 3]| {
        let told = aim.map_or("-".to_owned(), |a| format!("<= {a}"));
        let kept = aim.is_none_or(|a| figures.iter().all(|&f| f.is_nan() || f <= a));
        missed += usize::from(!kept);
        let [five, twenty, hundred] =
            figures.map(|f| if f.is_nan() { "-".to_owned() } else { format!("{f:.2}") });
        let mark = if kept { "" } else { "  MISSED" };
        println!("{what:<62} {told:>8} {five:>9} {twenty:>9} {hundred:>9}{mark}");
    };
    let sizes = [(5, 60), (20, 15), (100, 3)];
    let detected = sizes.map(|(many, plays)| {
        let mut spans = Vec::new();
        for seed in 0..plays {
            let mut fleet = fleet(many, seed, 0.0);
            let (victim, since) = (seed as usize % many, fleet.now);
            fleet.kill(victim);
            fleet.run(15 * S);
            spans.extend(fleet.detections(victim, since));
        }
        spans.sort_unstable();
        (at(&spans, 0.5), at(&spans, 0.99))
    });
    // The aim is for fleets as they stand today; a suspicion lasts longer where more have to hear of it.
    let [five, twenty, _] = detected;
    row("a member killed is dead to the others after, median, s", Some(3.0), [five.0, twenty.0, f64::NAN]);
    row("the same, all sizes", None, detected.map(|d| d.0));
    row("the same, 99 of 100, s", None, detected.map(|d| d.1));
    // So many member-hours are played that one false death would show.
    for (loss, aim, loose) in [(0.1, Some(0.0), None), (0.3, None, Some(0.1))] {
        let deaths = [(5, 1_800), (20, 900), (100, 120)].map(|(many, seconds)| {
            let mut fleet = fleet(many, 7, loss);
            fleet.run(seconds * S);
            fleet.false_deaths() as f64 / (seconds as f64 / 3_600.0)
        });
        row(&format!("live members held to be dead an hour, {:.0}% loss", loss * 100.0), aim, deaths);
        // It counts once for each that holds it: the more look, the more it is.
        let pairs = [5.0, 20.0, 100.0].map(|many: f64| many * (many - 1.0));
        let each = std::array::from_fn(|n| deaths[n] / pairs[n]);
        row("the same for each that looks and each that is looked at", loose, each);
    }
    let calm = sizes.map(|(many, _)| {
        let mut fleet = fleet(many, 3, 0.0);
        let before = fleet.sent;
        fleet.run(60 * S);
        let each = |sent: u64| sent as f64 / 60.0 / many as f64;
        (each(fleet.sent.0 - before.0), each(fleet.sent.1 - before.1), fleet.sent.2 as f64)
    });
    row("datagrams a second a member", None, calm.map(|c| c.0));
    row("bytes a second a member", None, calm.map(|c| c.1));
    row("the longest datagram, bytes", Some(message::MAX_DATAGRAM_BYTES as f64), calm.map(|c| c.2));
    let healed = sizes.map(|(many, _)| {
        let mut fleet = fleet(many, 5, 0.0);
        let half: Vec<usize> = (0..many / 2).collect();
        let others: Vec<usize> = (many / 2..many).collect();
        fleet.follow(&Schedule { seed: 5, rules: vec![Rule::partition(&half, &others, 0, 0)] });
        fleet.run(10 * S);
        fleet.follow(&Schedule { seed: 5, rules: vec![Rule { delay_ms: DELAY, ..Rule::default() }] });
        let since = fleet.now;
        while !fleet.agree() && fleet.now < since + 60 * S {
            fleet.run(S / 10);
        }
        (fleet.now - since) as f64 / S as f64
    });
    row("all agree after a partition of 10 s into halves, s", None, healed);
    // In time for those who use them: what others say counts for nothing once it is 4 s old.
    let spread = |loss| {
        sizes.map(|(many, plays)| {
            let mut spans = Vec::new();
            for seed in 0..plays.min(30) {
                let mut fleet = noted(many, seed, loss);
                let (who, since) = (seed as usize % many, fleet.now);
                fleet.note(who, &note(who, 1));
                let is = |member| if member == who { note(who, 1) } else { Vec::new() };
                while fleet.noted(is) < many - 1 && fleet.now < since + 60 * S {
                    fleet.run(S / 50);
                }
                spans.push(fleet.now - since);
            }
            spans.sort_unstable();
            (at(&spans, 0.5), at(&spans, 1.0))
        })
    };
    for loss in [0.0, 0.1, 0.3] {
        let spans = spread(loss);
        let what = format!("a changed note of 64 bytes is with all, s, {:.0}% loss", loss * 100.0);
        row(&format!("{what}, median"), None, spans.map(|s| s.0));
        row("the same, longest", Some(4.0), spans.map(|s| s.1));
    }
    let (mut parts, mut loads) = ([[0.0; 3]; 3], [0.0; 3]);
    for (n, (many, _)) in sizes.into_iter().enumerate() {
        let mut fleet = noted(many, 9, 0.1);
        (0..many).for_each(|member| fleet.note(member, &note(member, 1)));
        let before = fleet.sent.0;
        for (part, span) in [S, S, 2 * S].into_iter().enumerate() {
            fleet.run(span);
            let held = fleet.noted(|member| note(member, 1)) as f64;
            parts[part][n] = held / (many * (many - 1)) as f64;
        }
        loads[n] = (fleet.sent.0 - before) as f64 / 4.0 / many as f64;
    }
    for (part, after) in parts.into_iter().zip([1, 2, 4]) {
        row(&format!("all change at once: part held after {after} s, 10% loss"), None, part);
    }
    row("datagrams a second a member in these 4 s", None, loads);
    println!("CPU of one datagram: see the bench below (aim: under 5 us)");
    if missed > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
