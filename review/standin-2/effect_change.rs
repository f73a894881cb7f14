//! New settings by SIGHUP change a class from safe to keyed while clients write edits that they began before they knew.

use crate::base::{sleep_ms, sleep_until, unix_ms, Record, Res, BROKEN, HELD};
use crate::client::{Ask, Client};
use crate::depot::{good, Behaviour};
use crate::doorman::{free_address, Doorman, Folder, SIGHUP};
use crate::judge::judge;
use crate::site::{Options, Site};
use std::sync::Arc;
use std::time::Duration;

const CLIENTS: u64 = 5;
const SIGHUP_AFTER_MS: u64 = 2_000;
/// Clients know the new settings 1.2 s after SIGHUP. These begin to write before that, in the form of the old settings.
const BEGIN_AFTER_SIGHUP_MS: u64 = 700;
const BEGIN_APART_MS: u64 = 90;
/// "some take 2 s to write".
const WRITE_OVER: Duration = Duration::from_millis(1_900);
const PIECES: u32 = 20;
/// "one write carries up to 48,000".
const EDIT_BYTES: usize = 40_000;
const PART_BYTES: usize = 4_000;
const SIZE_KB: f64 = PART_BYTES as f64 * 8_500.0 / 310_000.0;
const DEPOT_MS: u64 = 50;
/// A part that a depot has to fetch first; the client waits for it on the same connection while it writes.
const FETCH_MS: u64 = 2_400;
const FETCHED_OBJECT: u64 = 0x1000_0000;
const FETCH_PATIENCE_MS: u64 = 6_000;
const PATIENCE_MS: u64 = 2_500;

fn edit(number: u64) -> Ask {
    let mut ask = Ask::of("record-edits", 0x3000_0000 + number, 0, PATIENCE_MS, 1.0);
    ask.body = vec![b'e'; EDIT_BYTES];
    ask
}

pub fn run(record: &Record, trouble: bool) -> Res<i32> {
    let fetched = format!("{FETCHED_OBJECT:016x}");
    let behaviour: Behaviour = Arc::new(move |want| {
        let is_fetched = want.field("k") == Some(fetched.as_str());
        Some(good(if is_fetched { FETCH_MS } else { DEPOT_MS }, want, PART_BYTES))
    });
    let safe = Options { edits: "idempotent", ..Options::default() };
    let keyed = Options { edits: "deduplicated", ..Options::default() };
    let folder = Folder::create("review-effect-change")?;
    let site = Site::start(&safe, &behaviour, record)?;
    let listen = free_address()?;
    site.write_config(&folder.0, listen, &safe)?;
    let mut doorman = Doorman::start(listen, &folder.0, "doorman.log", &[], record)?;
    doorman.wait_ready()?;
    sleep_ms(SIGHUP_AFTER_MS);
    let clients: Vec<Client> = (0..CLIENTS)
        .map(|number| Client::connect(&format!("c{number}"), listen, record))
        .collect::<Res<_>>()?;
    for (number, client) in clients.iter().enumerate() {
        // None of the edits is the first request of its connection.
        client.ask(&Ask::of("images", 0x2000_0000, number as u64, PATIENCE_MS, SIZE_KB))?;
    }
    sleep_ms(500);
    let changed_ms = unix_ms();
    if trouble {
        site.write_config(&folder.0, listen, &keyed)?;
        doorman.signal(SIGHUP);
    }
    let writers: Vec<_> = clients
        .iter()
        .enumerate()
        .map(|(number, client)| {
            let (client, record) = (client.clone(), record.clone());
            std::thread::spawn(move || {
                sleep_until(changed_ms + BEGIN_AFTER_SIGHUP_MS + number as u64 * BEGIN_APART_MS);
                let part = Ask::of("clip-parts", FETCHED_OBJECT, number as u64, FETCH_PATIENCE_MS, SIZE_KB);
                client.ask(&part).map_err(|error| error.to_string())?;
                record.line(&format!("begins to write client={}", client.name));
                client.ask_slowly(&edit(number as u64), PIECES, WRITE_OVER).map_err(|error| error.to_string())
            })
        })
        .collect();
    for writer in writers {
        if let Err(error) = writer.join().map_err(|_| "writer")? {
            record.line(&format!("not written whole: {error}"));
        }
    }
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
