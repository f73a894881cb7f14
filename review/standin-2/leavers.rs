//! A hundred clients. One of them gives up early on two of its three requests, one at a time, and waits for the others.

use crate::base::{sleep_ms, sleep_until, unix_ms, Record, Res, BROKEN, HELD};
use crate::client::{Ask, Client};
use crate::depot::{good, Behaviour};
use crate::doorman::{free_address, Doorman, Folder};
use crate::judge::judge;
use crate::site::{Options, Site};
use std::sync::Arc;

const PART_BYTES: usize = 20_000;
/// Time that a depot takes for one part ...
const DEPOT_MS: u64 = 300;
/// ... and for one that it has to fetch first. The client under observation waits for such a part in one round of this many.
const FETCH_MS: u64 = 1_500;
const FETCHED_EACH: u64 = 5;
const FETCHED_OBJECT: u64 = 0x7f3a_0002;
const PATIENCE_MS: u64 = 6_000;
const SIZE_KB: f64 = 600.0;
/// Clients that wait for all their answers; each asks once in this time.
const STEADY_CLIENTS: u64 = 99;
const STEADY_MS: u64 = 2_000;
/// The early leaver asks for a part it waits for once in this time ...
const ROUND_MS: u64 = 200;
/// ... and, in between, for two parts that it takes back after this time.
const LEAVES_AFTER_MS: u64 = 80;
const LEAVES_A_ROUND: u64 = 2;
const ROUNDS: u64 = 150;

/// Plays the client under observation: one connection, at most six requests open.
fn ask_and_leave(client: &Client, trouble: bool) {
    for round in 0..ROUNDS {
        let begun = unix_ms();
        let part = |number| Ask::of("clip-parts", 0x7f3a_0001, number, PATIENCE_MS, SIZE_KB);
        let fetched = Ask::of("clip-parts", FETCHED_OBJECT, round, PATIENCE_MS, SIZE_KB);
        let waited_for = if round % FETCHED_EACH == 0 { fetched } else { part(10 * round) };
        if client.has_ended() || client.ask(&waited_for).is_err() {
            return;
        }
        for step in 1..=LEAVES_A_ROUND {
            let Ok(stream) = client.ask(&part(10 * round + step)) else { return };
            sleep_ms(LEAVES_AFTER_MS);
            if trouble && !client.has_answer(stream) && client.cancel(stream).is_err() {
                return;
            }
        }
        sleep_until(begun + ROUND_MS);
    }
}

fn ask_steadily(client: &Client, number: u64, until_ms: u64) {
    sleep_ms(number * STEADY_MS / STEADY_CLIENTS);
    let mut part = 0;
    while unix_ms() < until_ms && !client.has_ended() {
        part += 1;
        if client.ask(&Ask::of("clip-parts", 0x5500_0000 + number, part, PATIENCE_MS, SIZE_KB)).is_err() {
            return;
        }
        sleep_ms(STEADY_MS);
    }
}

pub fn run(record: &Record, trouble: bool) -> Res<i32> {
    let fetched = format!("{FETCHED_OBJECT:016x}");
    let behaviour: Behaviour = Arc::new(move |want| {
        let is_fetched = want.field("k") == Some(fetched.as_str());
        Some(good(if is_fetched { FETCH_MS } else { DEPOT_MS }, want, PART_BYTES))
    });
    let options = Options::default();
    let folder = Folder::create("review-leavers")?;
    let site = Site::start(&options, &behaviour, record)?;
    let listen = free_address()?;
    site.write_config(&folder.0, listen, &options)?;
    let mut doorman = Doorman::start(listen, &folder.0, "doorman.log", &[], record)?;
    doorman.wait_ready()?;
    let until_ms = unix_ms() + ROUNDS * ROUND_MS;
    let mut clients = Vec::new();
    for number in 0..STEADY_CLIENTS {
        let client = Client::connect(&format!("steady{number}"), listen, record)?;
        let asking = client.clone();
        std::thread::spawn(move || ask_steadily(&asking, number, until_ms));
        clients.push(client);
    }
    let leaver = Client::connect("leaver", listen, record)?;
    ask_and_leave(&leaver, trouble);
    clients.push(leaver);
    let until = unix_ms() + PATIENCE_MS + 1_000;
    while unix_ms() < until && clients.iter().any(|client| client.open() > 0 && !client.has_ended()) {
        sleep_ms(50);
    }
    let verdict = judge(&clients, record);
    if !doorman.runs() {
        return Err("the doorman has ended".into());
    }
    let log = std::fs::read_to_string(folder.0.join("doorman.log")).unwrap_or_default();
    log.lines().for_each(|line| record.line(&format!("doorman: {line}")));
    Ok(if verdict.lost() > 0 { BROKEN } else { HELD })
}
