//! New settings by SIGHUP: a class is added whose entry lacks a key that may be absent.

use crate::base::{sleep_ms, unix_ms, Record, Res, BROKEN, HELD};
use crate::client::{Ask, Client, Reading};
use crate::depot::{good, Behaviour};
use crate::doorman::{free_address, Doorman, Folder, SIGHUP};
use crate::judge::{judge, judge_sent_again};
use crate::site::{Options, Site};
use std::sync::Arc;

/// From SIGHUP until clients name the new class: 1.2 s by the page, and as much again to be on the safe side.
const NAMED_AFTER_MS: u64 = 2_400;
const SIGHUP_AFTER_MS: u64 = 2_000;
const CLIENTS: u64 = 3;
const ROUNDS: u64 = 10;
const ROUND_MS: u64 = 300;
const PART_BYTES: usize = 4_000;
const SIZE_KB: f64 = PART_BYTES as f64 * 8_500.0 / 310_000.0;
const EDIT_BYTES: usize = 1_000;
const DEPOT_MS: u64 = 50;
const PATIENCE_MS: u64 = 2_000;

fn edit(number: u64, round: u64) -> Ask {
    let mut ask = Ask::of("record-edits", 0x3000_0000 + number, 0, PATIENCE_MS, 1.0);
    ask.key = Some(format!("{:032x}", (number << 32) | round));
    ask.body = vec![b'e'; EDIT_BYTES];
    ask
}

/// The connections of the usual clients, and those on which a request was sent again.
#[derive(Default)]
struct Connections {
    first: Vec<Client>,
    again: Vec<Client>,
}

/// Asks for an image and for an edit in turn, on a new connection where the last has ended. A request that crossed the end
/// of its connection is sent again, once, on a new connection.
fn ask_both(connections: &mut Connections, doorman: &Doorman, number: u64, record: &Record) -> Res<()> {
    let connect = |name: String| Client::connect(&name, doorman.listen, Reading::Full, record);
    let mut client = connect(format!("c{number}-0"))?;
    for round in 0..ROUNDS {
        let _ = client.ask(&Ask::of("images", 0x2000_0000 + number, round, PATIENCE_MS, SIZE_KB));
        sleep_ms(ROUND_MS);
        let asked = client.ask(&edit(number, round));
        sleep_ms(ROUND_MS);
        if client.has_ended() {
            if asked.is_ok_and(|stream| !client.has_answer(stream)) {
                let again = connect(format!("c{number}-again{round}"))?;
                let _ = again.ask(&edit(number, round));
                connections.again.push(again);
            }
            let next = connect(format!("c{number}-{}", round + 1))?;
            connections.first.push(std::mem::replace(&mut client, next));
        }
    }
    connections.first.push(client);
    Ok(())
}

pub fn run(record: &Record, trouble: bool) -> Res<i32> {
    let behaviour: Behaviour = Arc::new(|want| Some(good(DEPOT_MS, want, PART_BYTES)));
    let with_edits = Options::default();
    let at_start = Options { record_edits: !trouble, ..Options::default() };
    let folder = Folder::create("review-new-class")?;
    let site = Site::start(&with_edits, &behaviour, record)?;
    let listen = free_address()?;
    site.write_config(&folder.0, listen, &at_start)?;
    let mut doorman = Doorman::start(listen, &folder.0, "doorman.log", &[], record)?;
    doorman.wait_ready()?;
    sleep_ms(SIGHUP_AFTER_MS);
    if trouble {
        site.write_config(&folder.0, listen, &with_edits)?;
        doorman.signal(SIGHUP);
        sleep_ms(NAMED_AFTER_MS);
    }
    let mut connections = Connections::default();
    for number in 0..CLIENTS {
        ask_both(&mut connections, &doorman, number, record)?;
    }
    let until = unix_ms() + PATIENCE_MS + 1_000;
    let waits = |client: &Client| client.open() > 0 && !client.has_ended();
    while unix_ms() < until && connections.first.iter().chain(&connections.again).any(waits) {
        sleep_ms(50);
    }
    let lost = judge(&connections.first, record).lost() + judge_sent_again(&connections.again, record).lost();
    let edits = site.depots.iter().map(|depot| {
        depot
            .wants
            .lock()
            .map_or(0, |wants| wants.iter().filter(|want| want.field("c") == Some("record-edits")).count())
    });
    record.say(&format!("edits that reached a depot: {}", edits.sum::<usize>()));
    if !doorman.runs() {
        return Err("the doorman has ended".into());
    }
    let log = std::fs::read_to_string(folder.0.join("doorman.log")).unwrap_or_default();
    log.lines().for_each(|line| record.line(&format!("doorman: {line}")));
    Ok(if lost > 0 { BROKEN } else { HELD })
}
