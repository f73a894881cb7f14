//! Clients that read at most 1 MB a second, each with a few answers of the largest size on the way.

use crate::base::{sleep_ms, unix_ms, Record, Res, BROKEN, HELD};
use crate::client::{Ask, Client, Reading};
use crate::depot::{good, Behaviour};
use crate::doorman::{free_address, Doorman, Folder};
use crate::judge::judge;
use crate::site::{Options, Site};
use std::sync::Arc;

/// Limit of the doorman's memory; the pages give 32 to 192 MB.
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 256;
const CLIENTS: usize = 8;
/// Requests that each client has open; the protocol allows 32.
const REQUESTS: u64 = 32;
/// Bytes of one part; the protocol allows 240,000.
const PART_BYTES: usize = 240_000;
/// The reading rate: 20,000 bytes each 20 ms are 1 MB a second.
const BURST_BYTES: usize = 20_000;
const REST_MS: u64 = 20;
/// Time between two requests of all clients together: 160 a second; the pages give up to 170.
const PACE_MS: u64 = 6;
const DEPOT_MS: u64 = 100;
const PATIENCE_MS: u64 = 6_000;
/// Size of a part as the settings count it: 8,500 KB a second are 310,000 bytes a second on the socket.
const SIZE_KB: f64 = PART_BYTES as f64 * 8_500.0 / 310_000.0;
const LONGEST_MS: u64 = 15_000;

pub fn run(record: &Record, trouble: bool) -> Res<i32> {
    let behaviour: Behaviour = Arc::new(|want| Some(good(DEPOT_MS, want, PART_BYTES)));
    let options = Options { memory_mb: MEMORY_MB, sockets: SOCKETS, caches: 4, ..Options::default() };
    let folder = Folder::create("review-slow-readers")?;
    let site = Site::start(&options, &behaviour, record)?;
    let listen = free_address()?;
    site.write_config(&folder.0, listen, &options)?;
    let mut doorman = Doorman::start(listen, &folder.0, "doorman.log", &[], record)?;
    doorman.wait_ready()?;
    let reading =
        if trouble { Reading::Bursts { bytes: BURST_BYTES, rest_ms: REST_MS } } else { Reading::Full };
    let connect = |number: usize| Client::connect(&format!("c{number}"), listen, reading, record);
    let clients: Vec<Client> = (0..CLIENTS).map(connect).collect::<Res<_>>()?;
    for part in 0..REQUESTS {
        for (number, client) in clients.iter().enumerate() {
            let ask = Ask::of("clip-parts", 0x7f3a_0000 + number as u64, part, PATIENCE_MS, SIZE_KB);
            if let Err(error) = client.ask(&ask) {
                record.line(&format!("not sent client={}: {error}", client.name));
            }
            sleep_ms(PACE_MS);
        }
    }
    let until = unix_ms() + LONGEST_MS;
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
