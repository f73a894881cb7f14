//! Hundreds of clients whose message never ends, beside usual clients; a platform that kills a doorman over its memory.

use crate::base::{sleep_ms, unix_ms, Record, Res, BROKEN, HELD};
use crate::client::{Ask, Client};
use crate::depot::{good, Behaviour};
use crate::doorman::{free_address, Doorman, Folder, SIGKILL};
use crate::judge::judge;
use crate::site::{Options, Site};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// The doorman's limits: the least memory and the most descriptors that the pages give.
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 1_024;
const BAD_CLIENTS: usize = 600;
/// A bad client claims a message of this length, which the protocol allows (5 to 262,144) ...
const CLAIMED_BYTES: u32 = 64_000;
/// ... sends this much of it at full speed, and then a byte once in a while: the message never ends.
const SENT_BYTES: usize = 63_000;
const TRICKLE_MS: u64 = 400;
const TRICKLES: usize = 6;
/// "Is the doorman ready?", on stream 1, without fields.
const READY_QUESTION: [u8; 10] = [0, 0, 0, 6, 1, 0, 0, 0, 1, 0];
const REQUEST: u8 = 7;

const USUAL_CLIENTS: u64 = 20;
const USUAL_PAUSE_MS: u64 = 250;
const PART_BYTES: usize = 20_000;
const SIZE_KB: f64 = PART_BYTES as f64 * 8_500.0 / 310_000.0;
const DEPOT_MS: u64 = 100;
const PATIENCE_MS: u64 = 6_000;
const RUN_MS: u64 = 10_000;
const BAD_AFTER_MS: u64 = 2_000;
const SAMPLE_MS: u64 = 10;

/// Connects the bad clients; each asks first whether the doorman is ready, as the front does.
fn connect_bad_clients(listen: SocketAddr) -> Res<Vec<TcpStream>> {
    let mut clients = Vec::new();
    for _ in 0..BAD_CLIENTS {
        let mut stream = TcpStream::connect(listen)?;
        stream.set_nodelay(true)?;
        stream.write_all(&READY_QUESTION)?;
        clients.push(stream);
        sleep_ms(1);
    }
    Ok(clients)
}

/// Sends nearly a whole message on each connection, then a byte each.
fn send_unfinished(clients: &mut [TcpStream], record: &Record) {
    let mut begun = CLAIMED_BYTES.to_be_bytes().to_vec();
    begun.extend([REQUEST, 0, 0, 0, 2]);
    begun.resize(SENT_BYTES, 0);
    let written = |result: std::io::Result<usize>| result.unwrap_or(0);
    let mut sent = 0;
    for stream in clients.iter_mut() {
        let _ = stream.set_nonblocking(true);
        sent += written(stream.write(&begun));
    }
    record.line(&format!("bad clients sent {sent} bytes of {} unfinished messages", clients.len()));
    for _ in 0..TRICKLES {
        sleep_ms(TRICKLE_MS);
        clients.iter_mut().for_each(|stream| drop(stream.write(&[0])));
    }
}

/// Asks once in a while. The clients begin one after the other, so that some request is always open.
fn ask_steadily(client: &Client, number: u64, until_ms: u64) {
    sleep_ms(number * USUAL_PAUSE_MS / USUAL_CLIENTS);
    let mut part = 0;
    while unix_ms() < until_ms && !client.has_ended() {
        part += 1;
        if client.ask(&Ask::of("clip-parts", 0x5500_0000 + number, part, PATIENCE_MS, SIZE_KB)).is_err() {
            return;
        }
        sleep_ms(USUAL_PAUSE_MS);
    }
}

pub fn run(record: &Record, trouble: bool) -> Res<i32> {
    let behaviour: Behaviour = Arc::new(|want| Some(good(DEPOT_MS, want, PART_BYTES)));
    let options = Options { memory_mb: MEMORY_MB, sockets: SOCKETS, ..Options::default() };
    let folder = Folder::create("review-unfinished")?;
    let site = Site::start(&options, &behaviour, record)?;
    let listen = free_address()?;
    site.write_config(&folder.0, listen, &options)?;
    let mut doorman = Doorman::start(listen, &folder.0, "doorman.log", &[], record)?;
    doorman.wait_ready()?;
    let until_ms = unix_ms() + RUN_MS;
    let mut clients = Vec::new();
    for number in 0..USUAL_CLIENTS {
        let client = Client::connect(&format!("usual{number}"), listen, record)?;
        let asking = client.clone();
        std::thread::spawn(move || ask_steadily(&asking, number, until_ms));
        clients.push(client);
    }
    let bad = record.clone();
    let plays = std::thread::spawn(move || {
        sleep_ms(BAD_AFTER_MS);
        if let Ok(mut streams) = connect_bad_clients(listen) {
            sleep_ms(200);
            if trouble {
                send_unfinished(&mut streams, &bad);
            }
            sleep_ms(1_000);
        }
    });
    let (mut most_kb, mut killed) = (0, false);
    while unix_ms() < until_ms && !killed {
        sleep_ms(SAMPLE_MS);
        let held_kb = doorman.own_memory_kb();
        most_kb = most_kb.max(held_kb);
        if held_kb > u64::from(MEMORY_MB) * 1_024 {
            record.say(&format!(
                "the platform kills the doorman: it holds {held_kb} KB, its limit is {MEMORY_MB} MB"
            ));
            doorman.signal(SIGKILL);
            killed = true;
        }
    }
    let _ = plays.join();
    let until = unix_ms() + PATIENCE_MS + 1_000;
    while unix_ms() < until && clients.iter().any(|client| client.open() > 0 && !client.has_ended()) {
        sleep_ms(50);
    }
    record.say(&format!("most memory of the doorman's own in KB: {most_kb}"));
    let verdict = judge(&clients, record);
    let log = std::fs::read_to_string(folder.0.join("doorman.log")).unwrap_or_default();
    log.lines().for_each(|line| record.line(&format!("doorman: {line}")));
    if !killed && !doorman.runs() {
        return Err("the doorman has ended by itself".into());
    }
    Ok(if killed || verdict.lost() > 0 { BROKEN } else { HELD })
}
