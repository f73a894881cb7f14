//! A new configuration moves discovery to an address where it is slow to begin; an object is purged meanwhile.

use crate::base::{sleep_ms, unix_ms, Record, Res, BROKEN, HELD};
use crate::channel::Channel;
use crate::client::{Ask, Client};
use crate::depot::{Behaviour, Reply, Want};
use crate::doorman::{free_address, Doorman, Folder, SIGHUP};
use crate::judge::judge;
use crate::site::{Options, Site};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// From a doorman's first bytes on the new command channel to its first frame there.
const FIRST_FRAME_AFTER_MS: u64 = 2_100;
/// "What the command channel has to tell counts as told 4 s after SIGHUP."
const TOLD_AFTER_MS: u64 = 4_000;
/// `domain.purge-slack-us` of the settings, and the 50 ms that every limit is longer on sockets.
const PURGE_SLACK_MS: u64 = 500 + 50;
/// Depots drop older copies in their own time, within `domain.purge-done-us`: 6 s.
const DROPPED_AFTER_MS: u64 = 5_900;
const OBJECT: u64 = 0x7f3a_0001;
/// Age of the copy that the depots hold at the start; a copy of this class is good until it is purged.
const COPY_AGE_MS: u64 = 30_000;
const PART_BYTES: usize = 4_000;
const SIZE_KB: f64 = PART_BYTES as f64 * 8_500.0 / 310_000.0;
const DEPOT_MS: u64 = 20;
const PATIENCE_MS: u64 = 3_000;
const PACE_MS: u64 = 50;
const SIGHUP_AFTER_MS: u64 = 3_000;
const RUN_MS: u64 = 14_000;

/// An answer of a depot.
struct Given {
    id: String,
    wanted_ms: u64,
    minted_ms: u64,
}

/// Depots with a copy of the object: each gives the copy that it holds unless that is too old for `fresh`, and fetches a
/// new one otherwise.
fn depots(purged_ms: Arc<AtomicU64>, given: Arc<Mutex<Vec<Given>>>) -> Behaviour {
    let begun_ms = unix_ms();
    let copies: Mutex<HashMap<String, u64>> = Mutex::default();
    Arc::new(move |want: &Want| {
        let mut copies = copies.lock().ok()?;
        let held_ms = copies.entry(want.depot.clone()).or_insert(begun_ms - COPY_AGE_MS);
        let fresh_ms = want.field("fresh").and_then(|text| text.parse().ok()).unwrap_or(0);
        let purged_ms = purged_ms.load(Ordering::SeqCst);
        let is_too_old = fresh_ms > 0 && want.at_ms - *held_ms > fresh_ms;
        let is_dropped = purged_ms > 0 && *held_ms < purged_ms && want.at_ms >= purged_ms + DROPPED_AFTER_MS;
        let note = if is_too_old || is_dropped { "filled" } else { "hit" };
        if note == "filled" {
            *held_ms = want.at_ms;
        }
        let minted_ms = *held_ms;
        given.lock().ok()?.push(Given { id: want.id.clone(), wanted_ms: want.at_ms, minted_ms });
        let fields = format!("tag={minted_ms:016x},minted={minted_ms},note={note}");
        let mut body = format!("copy of {minted_ms} ").into_bytes();
        body.resize(PART_BYTES, b'.');
        Some(Reply { after_ms: DEPOT_MS, word: "ok", fields, body })
    })
}

pub fn run(record: &Record, trouble: bool) -> Res<i32> {
    let (purged_ms, given) = (Arc::new(AtomicU64::new(0)), Arc::<Mutex<Vec<Given>>>::default());
    let options = Options::default();
    let folder = Folder::create("review-slow-discovery")?;
    let mut site = Site::start(&options, &depots(purged_ms.clone(), given.clone()), record)?;
    let listen = free_address()?;
    site.write_config(&folder.0, listen, &options)?;
    let mut doorman = Doorman::start(listen, &folder.0, "doorman.log", &[], record)?;
    doorman.wait_ready()?;
    let client = Client::connect("c0", listen, record)?;
    let begun = unix_ms();
    let mut moved_ms = 0;
    while unix_ms() < begun + RUN_MS {
        if moved_ms == 0 && unix_ms() >= begun + SIGHUP_AFTER_MS {
            // The numbers continue: event 2 is the first that the doorman does not have.
            let slow_ms = if trouble { FIRST_FRAME_AFTER_MS } else { 0 };
            site.channel = Channel::start(2, slow_ms, record)?;
            site.write_config(&folder.0, listen, &options)?;
            moved_ms = unix_ms();
            purged_ms.store(moved_ms, Ordering::SeqCst);
            site.channel.tell_purge(OBJECT, moved_ms);
            doorman.signal(SIGHUP);
        }
        client.ask(&Ask::of("clip-parts", OBJECT, 0, PATIENCE_MS, SIZE_KB))?;
        sleep_ms(PACE_MS);
    }
    sleep_ms(500);
    let verdict = judge(&[client], record);
    let binds_ms = moved_ms + TOLD_AFTER_MS + PURGE_SLACK_MS;
    let given = given.lock().map_err(|_| "lock")?;
    let stale: Vec<&Given> =
        given.iter().filter(|answer| answer.wanted_ms > binds_ms && answer.minted_ms < moved_ms).collect();
    for Given { id, wanted_ms, minted_ms } in &stale {
        record.line(&format!(
            "purged copy id={id}: sent {} ms after SIGHUP, answered from a copy made {} ms before the purge",
            wanted_ms - moved_ms,
            moved_ms - minted_ms
        ));
    }
    let last = given.iter().filter(|answer| answer.minted_ms < moved_ms).map(|answer| answer.wanted_ms).max();
    record.say(&format!(
        "requests after the purge bound that got an older copy: {}; the last request with an older copy: {:?} ms after SIGHUP",
        stale.len(),
        last.map(|at_ms| at_ms as i64 - moved_ms as i64)
    ));
    if !doorman.runs() {
        return Err("the doorman has ended".into());
    }
    let log = std::fs::read_to_string(folder.0.join("doorman.log")).unwrap_or_default();
    log.lines().for_each(|line| record.line(&format!("doorman: {line}")));
    Ok(if stale.is_empty() && verdict.lost() == 0 { HELD } else { BROKEN })
}
