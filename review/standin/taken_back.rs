//! Edits that a client takes back while the router does not read from its connection: KNOWN-RED.txt has such a failure.

use crate::client::{request_frame, take_frame};
use crate::endpoint::{Run, Runs};
use crate::record::Record;
use crate::router::Router;
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Reads and edits together are the 32 requests that may be open on a connection.
const READS: u32 = 27;
const EDITS: u32 = 5;
/// The largest write of the protocol page.
const EDIT_BYTES: usize = 48_000;
const PATIENCE_MS: &str = "3000";
const LONG_PATIENCE_MS: &str = "9000";
const EDITS_AFTER: Duration = Duration::from_millis(500);
const TAKEN_BACK_AFTER: Duration = Duration::from_millis(1_000);
const READ_CHUNK_BYTES: usize = 16 * 1024;
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Time for which everything is watched.
const OBSERVED: Duration = Duration::from_secs(16);
const GOES_ON_AFTER: Duration = Duration::from_millis(1_200);
const OBSERVED_AFTER_PAUSE: Duration = Duration::from_secs(4);
/// What may pass between a type 9 and the moment from which no attempt may begin: twice the 50 ms by which every limit
/// is longer on sockets.
const TOLERANCE_MS: u64 = 100;

/// A slow reader: has reads open, and the router does not read from it meanwhile. Returns how many edits came to an
/// endpoint after they had been taken back.
pub fn play_slow_reader(
    address: SocketAddr,
    rate: Option<u64>,
    runs: &Runs,
    record: &Record,
) -> io::Result<usize> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let reading = stream.try_clone()?;
    let reader_record = record.clone();
    let reader = thread::spawn(move || read_answers(reading, rate, &reader_record));
    for number in 1..=READS {
        let (trace, object) = (trace(number), format!("0b{number:014x}"));
        let fields = fields("clip-parts", &trace, LONG_PATIENCE_MS, &object, "240", None);
        stream.write_all(&request_frame(number, &fields, &[]))?;
    }
    record.line(&format!("client: sent {READS} reads"));
    thread::sleep(EDITS_AFTER);
    let taken_back = send_and_take_back(&mut stream, record)?;
    let answered = reader.join().unwrap_or_default();
    record.say(&format!("{answered} answers were read"));
    Ok(begun_late(&taken_back, &runs.all(), record))
}

/// A client of a router that is stopped and goes on, if `router` says so.
pub fn play_paused(router: &Router, has_pause: bool, runs: &Runs, record: &Record) -> io::Result<usize> {
    let mut stream = TcpStream::connect(router.address)?;
    stream.set_nodelay(true)?;
    thread::sleep(EDITS_AFTER);
    if has_pause {
        router.signal("STOP")?;
    }
    let taken_back = send_and_take_back(&mut stream, record)?;
    thread::sleep(GOES_ON_AFTER);
    if has_pause {
        router.signal("CONT")?;
    }
    thread::sleep(OBSERVED_AFTER_PAUSE);
    Ok(begun_late(&taken_back, &runs.all(), record))
}

/// Sends the edits and takes them back; returns when each was taken back.
fn send_and_take_back(stream: &mut TcpStream, record: &Record) -> io::Result<HashMap<String, u64>> {
    for number in READS + 1..=READS + EDITS {
        let (trace, key) = (trace(number), format!("{number:032x}"));
        let fields = fields("record-edits", &trace, PATIENCE_MS, "0c00000000000001", "48", Some(&key));
        stream.write_all(&request_frame(number, &fields, &[7; EDIT_BYTES]))?;
        record.line(&format!("client: sent edit {trace}"));
    }
    thread::sleep(TAKEN_BACK_AFTER);
    let mut taken_back = HashMap::new();
    for number in READS + 1..=READS + EDITS {
        let mut frame = 5u32.to_be_bytes().to_vec();
        frame.push(9);
        frame.extend(number.to_be_bytes());
        stream.write_all(&frame)?;
        taken_back.insert(trace(number), record.now_ms());
        record.line(&format!("client: took back edit {} (type 9)", trace(number)));
    }
    Ok(taken_back)
}

fn trace(number: u32) -> String {
    format!("{number:016x}")
}

fn fields<'a>(
    class: &'a str,
    trace: &'a str,
    patience: &'a str,
    object: &'a str,
    size: &'a str,
    key: Option<&'a str>,
) -> Vec<(&'a str, &'a str)> {
    let mut fields = vec![
        ("route", class),
        ("trace", trace),
        ("patience", patience),
        ("entity", object),
        ("nth", "0"),
        ("batch", "1"),
        ("size", size),
    ];
    fields.extend(key.map(|key| ("nonce", key)));
    fields
}

/// Reads answers at the rate, for the time of the case; returns their number.
fn read_answers(mut stream: TcpStream, rate: Option<u64>, record: &Record) -> usize {
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    let (started_at, mut read_bytes, mut input, mut answers) = (Instant::now(), 0u64, Vec::new(), 0);
    while started_at.elapsed() < OBSERVED {
        if let Some(rate) = rate {
            let due = Duration::from_secs_f64(read_bytes as f64 / rate as f64);
            thread::sleep(due.saturating_sub(started_at.elapsed()));
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        match stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => {
                read_bytes += count as u64;
                input.extend_from_slice(&chunk[..count]);
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => {
                record.line(&format!("client: connection ended: {error}"));
                break;
            }
        }
        while let Some((_, number, payload)) = take_frame(&mut input) {
            answers += 1;
            let code = payload.first().copied().unwrap_or_default();
            record.line(&format!("client: answer on stream {number}, code {code}"));
        }
    }
    answers
}

fn begun_late(taken_back: &HashMap<String, u64>, runs: &[Run], record: &Record) -> usize {
    let mut late = 0;
    for run in runs {
        let Some(taken_back_ms) = taken_back.get(&run.id) else { continue };
        let limit_ms = taken_back_ms + TOLERANCE_MS;
        if run.at_ms > limit_ms {
            late += 1;
            let after_ms = run.at_ms - taken_back_ms;
            record.say(&format!(
                "edit {} RAN at {}, {after_ms} ms after it was taken back",
                run.id, run.endpoint
            ));
        }
    }
    late
}
