//! Aim beside figure for the registry. Started by `make measure-registry`; the status is not 0 if a promise breaks.
//!
//! The instance is a process of its own (its path is the first argument), the registry and the endpoints are stand-ins
//! in this one. Chaos and the loss of the registry by a thousand sessions are in virtual time.

use hdrhistogram::Histogram;
use larchdale::registry::record::{State, StoredRecord};
use larchdale_test_support::clients::Client;
use larchdale_test_support::endpoints::{Endpoint, Notes};
use larchdale_test_support::registry::chaos::{run, Plan};
use larchdale_test_support::registry::{Fault, Registry};
use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::{Duration, Instant};

const PREFIX: &str = "/larchdale/measure/";
const HANG: Duration = Duration::from_secs(30);
const SEEDS: u64 = 10_000;
const SESSIONS: usize = 1_000;
const CHANGES: u64 = 2_000;

type Failure = Box<dyn std::error::Error>;

/// Rows that hold and rows that do not.
#[derive(Default)]
struct Table {
    broken: u32,
}

impl Table {
    fn row(&mut self, what: &str, aim: &str, figure: String, holds: Option<bool>) {
        let word = match holds {
            None => "",
            Some(true) => "holds",
            Some(false) => "BROKEN",
        };
        self.broken += u32::from(holds == Some(false));
        println!("{what:<66} {aim:>16} {figure:>20}  {word}");
    }
}

struct Proxy {
    child: Child,
    lines: Receiver<String>,
    address: SocketAddr,
    folder: PathBuf,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Proxy {
    /// Starts one; without a registry it is switched off.
    fn start(program: &Path, registry: Option<&Registry>) -> Result<Self, Failure> {
        static STARTED: AtomicU64 = AtomicU64::new(0);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("larchdale-measure-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut config: serde_json::Value =
            serde_json::from_str(include_str!("../../../../examples/config.json"))?;
        config["listen"] = "127.0.0.1:0".into();
        config["channel"] = "127.0.0.1:9".into();
        std::fs::write(folder.join("config.json"), config.to_string())?;
        let mut command = Command::new(program);
        command.env("PROXY_CONFIG", folder.join("config.json")).stderr(Stdio::piped());
        if let Some(registry) = registry {
            let endpoints: Vec<String> = registry.addresses.iter().map(|a| format!("{a:?}")).collect();
            let endpoints = endpoints.iter().map(|e| format!("\"{e}\"")).collect::<Vec<_>>().join(", ");
            let script = format!("registry(endpoints = [{endpoints}], prefix = \"{PREFIX}\")\n");
            std::fs::write(folder.join("product.star"), script)?;
            command.arg("--product").arg(folder.join("product.star"));
        }
        let mut child = command.spawn()?;
        let log = BufReader::new(child.stderr.take().ok_or("no log")?);
        let (send, lines) = channel();
        std::thread::spawn(move || log.lines().map_while(Result::ok).try_for_each(|l| send.send(l)));
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut instance = Proxy { child, lines, address, folder };
        let first = instance.logs("listening")?;
        instance.address = value(&first, "address: ").ok_or("no address")?.parse()?;
        Ok(instance)
    }

    fn logs(&self, text: &str) -> Result<String, Failure> {
        let (until, mut seen) = (Instant::now() + HANG, Vec::new());
        loop {
            let line = self.lines.recv_timeout(until.saturating_duration_since(Instant::now()));
            let line = line.map_err(|_| format!("never logged: {text}; but:\n{}", seen.join("\n")))?;
            if line.contains(text) {
                return Ok(line);
            }
            seen.truncate(20);
            seen.push(line);
        }
    }

    fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or_default();
        line.trim().trim_end_matches(" kB").parse().unwrap_or(0)
    }

    fn counts(&self) -> (usize, usize) {
        let count = |what: &str| {
            std::fs::read_dir(format!("/proc/{}/{what}", self.child.id())).map_or(0, |d| d.count())
        };
        (count("task"), count("fd"))
    }
}

/// What stands behind a name in a log line, up to a comma.
fn value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split_once(name).map(|p| p.1.split([',', ' ', '}']).next().unwrap_or_default())
}

fn number(line: &str, name: &str) -> u64 {
    value(line, name).and_then(|v| v.parse().ok()).unwrap_or(u64::MAX)
}

fn record(address: SocketAddr, kind: &str, zone: &str, weight: f64) -> Vec<u8> {
    let (kind, zone) = (kind.to_owned(), zone.to_owned());
    let record = StoredRecord { address, kind, zone, state: State::Ready, cell: 0, weight, started_ms: 1 };
    serde_json::to_vec(&record).unwrap_or_default()
}

/// A box of another branch: it is listed, but never asked.
fn far(n: usize, weight: f64) -> (Vec<u8>, Vec<u8>) {
    let address = SocketAddr::from(([127, 1, (n >> 8) as u8, n as u8], 9));
    (format!("{PREFIX}far-{n:05}").into_bytes(), record(address, "small-box", "hub", weight))
}

fn main() {
    let code = match measure() {
        Ok(broken) => i32::from(broken > 0),
        Err(e) => {
            eprintln!("measure-registry: {e}");
            2
        }
    };
    std::process::exit(code);
}

fn measure() -> Result<u32, Failure> {
    let program =
        PathBuf::from(std::env::args().nth(1).ok_or("usage: measure-registry DOORMAN [EARLIER DOORMAN]")?);
    let mut table = Table::default();
    println!("{:<66} {:>16} {:>20}", "what", "aim", "figure");
    off(&mut table, &program, std::env::args().nth(2).map(PathBuf::from))?;
    for boxes in [100, 1_000, 10_000] {
        lists(&mut table, &program, boxes)?;
    }
    stampede(&mut table);
    chaos(&mut table);
    changes(&mut table, &program)?;
    println!("{} promises broken", table.broken);
    Ok(table.broken)
}

fn off(table: &mut Table, program: &Path, before: Option<PathBuf>) -> Result<(), Failure> {
    let idle = |program: &Path| -> Result<_, Failure> {
        let instance = Proxy::start(program, None)?;
        std::thread::sleep(Duration::from_millis(300));
        let size = std::fs::metadata(program)?.len() / 1024;
        Ok((size, instance.resident_kb(), instance.counts()))
    };
    let (size, resident, counts) = idle(program)?;
    table.row("switched off: size of the program, KB", "-", size.to_string(), None);
    table.row("switched off: resident, idle, KB", "-", resident.to_string(), None);
    table.row("switched off: threads, descriptors", "-", format!("{counts:?}"), None);
    if let Some(before) = before {
        let (old_size, old_resident, old_counts) = idle(&before)?;
        table.row("the earlier program: size, KB", "-", old_size.to_string(), None);
        let more = resident.saturating_sub(old_resident);
        table.row(
            "resident more than the earlier program, KB",
            "< 4096",
            more.to_string(),
            Some(more < 4096),
        );
        let same = counts == old_counts;
        table.row(
            "threads, descriptors of the earlier program",
            "the same",
            format!("{old_counts:?}"),
            Some(same),
        );
    }
    Ok(())
}

fn lists(table: &mut Table, program: &Path, boxes: usize) -> Result<(), Failure> {
    let registry = Registry::start(3)?;
    let empty = {
        let instance = Proxy::start(program, Some(&registry))?;
        instance.logs("list taken")?;
        std::thread::sleep(Duration::from_millis(300));
        instance.resident_kb()
    };
    registry.with(|s| {
        for n in 0..boxes {
            let (key, value) = far(n, 1.0);
            s.put(&key, &value, 0);
        }
    });
    let before = registry.written.load(Ordering::Relaxed);
    let instance = Proxy::start(program, Some(&registry))?;
    let line = instance.logs("list taken")?;
    let name = format!("{boxes} boxes: ");
    table.row(
        &format!("{name}first list, ms"),
        "-",
        format!("{:.1}", number(&line, "took_us: ") as f64 / 1e3),
        None,
    );
    let bytes = registry.written.load(Ordering::Relaxed) - before;
    table.row(&format!("{name}bytes of a first list"), "-", bytes.to_string(), None);
    std::thread::sleep(Duration::from_millis(500));
    (0..3).for_each(|m| registry.fault(m, Fault::Down));
    instance.logs("connection lost")?;
    registry.with(|s| {
        let (key, value) = far(0, 2.0);
        let now = s.put(&key, &value, 0);
        s.compact(now);
    });
    let before = registry.written.load(Ordering::Relaxed);
    (0..3).for_each(|m| registry.fault(m, Fault::None));
    let line = instance.logs("list taken")?;
    let took = format!("{:.1}", number(&line, "took_us: ") as f64 / 1e3);
    table.row(&format!("{name}resync after compaction, ms"), "-", took, None);
    let changed = number(&line, "changes: ");
    table.row(&format!("{name}what a resync finds changed"), "1", changed.to_string(), Some(changed == 1));
    let bytes = registry.written.load(Ordering::Relaxed) - before;
    table.row(&format!("{name}bytes of a resync"), "-", bytes.to_string(), None);
    let each = instance.resident_kb().saturating_sub(empty) * 1024 / boxes as u64;
    table.row(&format!("{name}memory for one, bytes"), "-", each.to_string(), None);
    // The first line of figures comes at the start, the next has what happened since.
    let mut longest = 0;
    for _ in 0..2 {
        longest = number(&instance.logs("longest_turn")?, "longest_turn: ").max(longest);
    }
    let figure = format!("{:.2}", longest as f64 / 1e3);
    table.row(
        &format!("{name}longest hold of the loop in one turn, ms"),
        "< 5",
        figure,
        Some(longest < 5_000),
    );
    Ok(())
}

fn stampede(table: &mut Table) {
    let (from, to) = (5_000_000, 35_000_000);
    let outcome = run(&Plan { seed: 1, sessions: SESSIONS, endpoints: 3, span: to, away: Some((from, to)) });
    let dials: Vec<u64> = outcome.dials.iter().copied().filter(|d| *d >= from).collect();
    let peak = dials.iter().enumerate().map(|(n, d)| dials[n..].partition_point(|o| *o < d + 10_000)).max();
    let peak = peak.unwrap_or(0);
    let name = format!("{SESSIONS} sessions lose the registry: ");
    let holds = peak * 20 < SESSIONS;
    table.row(&format!("{name}most tries in 10 ms"), "< 50", peak.to_string(), Some(holds));
    let rate = dials.iter().filter(|d| **d < to).count() as f64 / (to - from) as f64 * 1e6;
    table.row(&format!("{name}tries a second"), "-", format!("{rate:.0}"), None);
    let took = outcome.current.saturating_sub(to) as f64 / 1e6;
    let holds = outcome.broken.is_empty() && outcome.current > to && took < 10.0;
    table.row(&format!("{name}all current after, s"), "< 10", format!("{took:.2}"), Some(holds));
}

fn chaos(table: &mut Table) {
    let next = AtomicU64::new(0);
    let outcomes = std::thread::scope(|scope| {
        let play = || {
            let mut all = Vec::new();
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= SEEDS {
                    return all;
                }
                all.push(run(&Plan { seed, sessions: 3, endpoints: 20, span: 12_000_000, away: None }));
            }
        };
        let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
        let running: Vec<_> = (0..threads).map(|_| scope.spawn(play)).collect();
        running.into_iter().flat_map(|r| r.join().unwrap_or_default()).collect::<Vec<_>>()
    });
    let broken: Vec<&String> = outcomes.iter().flat_map(|o| &o.broken).collect();
    let figure =
        format!("{} of {}", outcomes.iter().filter(|o| !o.broken.is_empty()).count(), outcomes.len());
    let whole = outcomes.len() as u64 == SEEDS;
    table.row("chaos: seeds that break a promise", "0", figure, Some(broken.is_empty() && whole));
    broken.iter().take(5).for_each(|b| println!("    {b}"));
    let mut delays: Vec<u64> = outcomes.iter().flat_map(|o| o.delays.iter().copied()).collect();
    delays.sort_unstable();
    let at = |part: f64| delays.get(((delays.len() as f64 * part) as usize).min(delays.len() - 1));
    for (name, part) in [("half", 0.5), ("99%", 0.99), ("99.9%", 0.999), ("all", 1.0)] {
        let Some(delay) = at(part).filter(|_| !delays.is_empty()) else { continue };
        let holds = (part == 1.0).then_some(*delay <= 1_000_000);
        let aim = if part == 1.0 { "<= 1000" } else { "-" };
        let figure = format!("{:.1}", *delay as f64 / 1e3);
        table.row(
            &format!("chaos: commit, once it can be heard, to last work: {name} within, ms"),
            aim,
            figure,
            holds,
        );
    }
}

/// The p99 of requests beside many changes, against the same without them, by turns.
fn changes(table: &mut Table, program: &Path) -> Result<(), Failure> {
    let registry = Arc::new(Registry::start(3)?);
    let notes = Notes::default();
    let archive = Endpoint::start("archive", &notes)?;
    registry.with(|s| {
        s.put(format!("{PREFIX}archive").as_bytes(), &record(archive.address, "origin", "hub", 20.0), 0)
    });
    let mut boxes = Vec::new();
    for n in 0..4 {
        let endpoint = Endpoint::start(&format!("box-{n}"), &notes)?;
        let value = record(endpoint.address, "small-box", "branch", 20.0);
        registry.with(|s| s.put(format!("{PREFIX}box-{n}").as_bytes(), &value, 0));
        boxes.push(endpoint);
    }
    registry.with(|s| {
        for n in 0..1_000 {
            let (key, value) = far(n, 1.0);
            s.put(&key, &value, 0);
        }
    });
    let instance = Proxy::start(program, Some(&registry))?;
    instance.logs("list taken")?;
    let (changing, end) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
    let made = Arc::<AtomicU64>::default();
    let writer = {
        let (registry, changing, end, made) = (registry.clone(), changing.clone(), end.clone(), made.clone());
        std::thread::spawn(move || {
            let (mut n, mut next) = (0u64, Instant::now());
            while !end.load(Ordering::Relaxed) {
                next += Duration::from_millis(5);
                std::thread::sleep(next.saturating_duration_since(Instant::now()));
                if !changing.load(Ordering::Relaxed) {
                    continue;
                }
                registry.with(|s| {
                    for _ in 0..CHANGES / 200 {
                        n += 1;
                        let (key, value) = far(n as usize % 1_000, 1.0 + (n % 7) as f64);
                        s.put(&key, &value, 0);
                    }
                    if n % 20_000 == 0 {
                        let now = s.revision;
                        s.compact(now - 4_000);
                    }
                });
                made.fetch_add(CHANGES / 200, Ordering::Relaxed);
            }
        })
    };
    let mut client = Client::connect(instance.address)?;
    let mut both = [Histogram::<u64>::new(3)?, Histogram::new(3)?];
    let (mut trace, mut spent) = (0, 0.0);
    for turn in 0..10 {
        let with = turn % 2;
        changing.store(with == 1, Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(200));
        let began = Instant::now();
        requests(&mut client, &mut trace, &mut both[with], Duration::from_secs(4))?;
        if with == 1 {
            spent += began.elapsed().as_secs_f64();
        }
    }
    end.store(true, Ordering::Relaxed);
    let _ = writer.join();
    let rate = made.load(Ordering::Relaxed) as f64 / (spent + 1.0);
    table.row(
        "changes a second, held",
        "2000",
        format!("{rate:.0} for {spent:.0} s"),
        Some(rate > 1_500.0 && spent >= 20.0),
    );
    let p99 = |h: &Histogram<u64>| h.value_at_quantile(0.99) as f64 / 1e3;
    let figure = format!("{:.2} and {:.2}", p99(&both[0]), p99(&both[1]));
    table.row("p99 of requests without and with them, ms", "-", figure, None);
    let ratio = p99(&both[1]) / p99(&both[0]).max(0.001);
    table.row("p99 with changes to that without", "< 1.2", format!("{ratio:.2}"), Some(ratio < 1.2));
    let answered = client.answers.values().filter(|codes| codes.len() == 1).count() as u64;
    table.row(
        "requests with exactly one final answer",
        "all",
        format!("{answered} of {trace}"),
        Some(answered == trace),
    );
    Ok(())
}

/// Open loop, 400 a second: each request counts from when it was to be sent.
fn requests(
    client: &mut Client,
    trace: &mut u64,
    histogram: &mut Histogram<u64>,
    span: Duration,
) -> Result<(), Failure> {
    const EACH: Duration = Duration::from_micros(2_500);
    let began = Instant::now();
    let (mut sent, mut due) = (0, HashMap::new());
    loop {
        let now = Instant::now();
        let next = began + EACH * sent;
        if now.duration_since(began) < span && now >= next {
            *trace += 1;
            sent += 1;
            let stream = client.ask("images", *trace, trace.wrapping_mul(0x9e37_79b9_7f4a_7c15), 1_500)?;
            due.insert(stream, next);
            continue;
        }
        if due.is_empty() && now.duration_since(began) >= span {
            return Ok(());
        }
        if now.duration_since(began) > span + HANG {
            return Err("requests without an answer".into());
        }
        std::thread::sleep(Duration::from_micros(50));
        if !client.poll()? {
            return Err("the doorman left".into());
        }
        let at = Instant::now();
        for stream in &client.fresh {
            if let Some(from) = due.remove(stream) {
                histogram.record(at.duration_since(from).as_micros() as u64)?;
            }
        }
    }
}
