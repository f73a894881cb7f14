//! The program while discovery is down: idle clients that take every descriptor, and starts under load. Every wait ends
//! with what is awaited; `HANG` is far longer than any of it takes. Nothing leaves loopback: each test has an address
//! there of its own, so that a port which is closed stays closed until the test opens it.
#![cfg(unix)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const HANG: Duration = Duration::from_secs(60);
/// The front wants a restarted instance within this.
const READY_WITHIN: Duration = Duration::from_secs(10);
const PACE: Duration = Duration::from_millis(5);
/// The last event in the configuration.
const KNOWN: u64 = 1;

/// A loopback address of this test's own.
fn own_address(test: u8) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{}", 64 + test, pid >> 8 & 127, (pid & 255).clamp(1, 254))
}

struct Program {
    child: Child,
    log: BufReader<ChildStderr>,
    listen: String,
    path: PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// The example's configuration, in which all endpoints refuse and so does discovery, unless the test listens there.
fn config(listen: &str, at: &str, sockets: usize) -> String {
    let text = include_str!("../examples/config.json");
    let mut config: serde_json::Value = serde_json::from_str(text).unwrap();
    config["listen"] = listen.into();
    config["channel"] = format!("{at}:9379").into();
    config["limits"]["sockets"] = sockets.into();
    for endpoint in config["known"]["cmds"][0]["nodes"]["instances"].as_array_mut().unwrap() {
        endpoint["hostPort"] = format!("{at}:1").into();
    }
    config.to_string()
}

impl Program {
    fn start(name: &str, shell: &str, config: &str) -> Program {
        let path = std::env::temp_dir().join(format!("larchdale-{}-{name}.json", std::process::id()));
        std::fs::write(&path, config).unwrap();
        let mut child = Command::new("/bin/sh")
            .args(["-c", &format!("{shell} exec \"$0\""), env!("CARGO_BIN_EXE_larchdale")])
            .env("PROXY_CONFIG", &path)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (mut line, mut listen) = (String::new(), None);
        while listen.is_none() {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "it ended before it listened");
            let after = line.split_once("address: ").filter(|_| line.contains("listening"));
            listen = after.and_then(|p| p.1.split([',', '\n']).next()).map(str::to_owned);
        }
        Program { child, log, listen: listen.unwrap(), path }
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Ends it; all that it logged after its first line.
    fn end(mut self) -> String {
        self.signal("-TERM");
        assert_eq!(self.child.wait().unwrap().code(), Some(0));
        let mut rest = String::new();
        self.log.read_to_string(&mut rest).unwrap();
        rest
    }
}

fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut out = (payload.len() as u32 + 5).to_be_bytes().to_vec();
    out.push(kind);
    out.extend(stream.to_be_bytes());
    out.extend(payload);
    out
}

/// A client's connection.
struct Client(TcpStream);

impl Client {
    fn connect(listen: &str) -> std::io::Result<Client> {
        let stream = TcpStream::connect(listen)?;
        stream.set_read_timeout(Some(HANG))?;
        Ok(Client(stream))
    }

    /// Type and code of the next answer.
    fn answer(&mut self) -> std::io::Result<(u8, u8)> {
        let mut head = [0; 9];
        self.0.read_exact(&mut head)?;
        let length = u32::from_be_bytes(head[..4].try_into().unwrap()) as usize;
        let mut payload = vec![0; length - 5];
        self.0.read_exact(&mut payload)?;
        Ok((head[4], payload.first().copied().unwrap_or_default()))
    }

    fn is_ready(&mut self) -> std::io::Result<bool> {
        self.0.write_all(&frame(1, 9, &[0]))?;
        Ok(self.answer()? == (2, 20))
    }

    /// Asks for a part; the code of the answer.
    fn asks(&mut self, number: u32) -> std::io::Result<u8> {
        let trace = format!("{:08x}{number:08x}", std::process::id());
        let fields = [
            ("route", "images"),
            ("trace", &trace),
            ("patience", "1500"),
            ("batch", "17"),
            ("entity", "7f3a9c21e0b4d655"),
            ("nth", "3"),
            ("size", "40.5"),
        ];
        let mut payload = vec![fields.len() as u8];
        for (name, value) in fields {
            payload.push(name.len() as u8);
            payload.extend(name.as_bytes());
            payload.extend((value.len() as u16).to_be_bytes());
            payload.extend(value.as_bytes());
        }
        self.0.write_all(&frame(7, number, &payload))?;
        loop {
            let (kind, code) = self.answer()?;
            if kind == 8 {
                return Ok(code);
            }
        }
    }
}

/// The words of the next command that an endpoint is sent.
fn command(from: &mut impl BufRead) -> Option<Vec<String>> {
    let mut line = String::new();
    let mut number = |from: &mut dyn BufRead| {
        line.clear();
        from.read_line(&mut line).ok()?;
        line.trim_end().get(1..)?.parse::<usize>().ok()
    };
    let count = number(from)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let mut word = vec![0; number(from)? + 2];
        from.read_exact(&mut word).ok()?;
        words.push(String::from_utf8(word[..word.len() - 2].to_vec()).ok()?);
    }
    Some(words)
}

/// An endpoint that serves whatever is asked; where it listens.
fn endpoint() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut out = stream.try_clone().unwrap();
                let mut from = BufReader::new(stream);
                while let Some(words) = command(&mut from) {
                    if words[0] == "want" {
                        let minted = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis();
                        let fields = format!("tag=4be0c1927d55a6f3,minted={minted},note=hit");
                        let words = [&words[1], "ok", &fields, "bytes"];
                        let bulk = words.map(|w| format!("${}\r\n{w}\r\n", w.len())).concat();
                        let _ = out.write_all(format!("*4\r\n{bulk}").as_bytes());
                    }
                }
            });
        }
    });
    address
}

/// Discovery comes up: whoever has not heard of event 2 is told of a whole list, a new box and a new origin. Gives the
/// cursors that come in.
fn discovery(listener: TcpListener) -> Receiver<u64> {
    let (told, cursors) = channel();
    let mut list = Vec::new();
    for (id, kind, zone) in [(0x101u32, 0, 1), (0x102, 2, 0)] {
        let port: u16 = endpoint().rsplit_once(':').unwrap().1.parse().unwrap();
        list.extend(id.to_be_bytes());
        list.extend([127, 0, 0, 1]);
        list.extend(port.to_be_bytes());
        list.extend([0, zone, kind, 0, 0]);
        list.extend(20_000u32.to_be_bytes());
        list.extend([0; 8]);
    }
    let mut event = (list.len() as u32 + 9).to_be_bytes().to_vec();
    event.extend((KNOWN + 1).to_be_bytes());
    event.push(1);
    event.extend(list);
    thread::spawn(move || {
        let mut held = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let mut cursor = [0; 8];
            if stream.read_exact(&mut cursor).is_err() {
                continue;
            }
            let cursor = u64::from_be_bytes(cursor);
            if cursor <= KNOWN {
                let _ = stream.write_all(&event);
            }
            held.push(stream);
            if told.send(cursor).is_err() {
                return;
            }
        }
    });
    cursors
}

/// Asks until an endpoint of the new list has answered; `between` comes before each try.
fn served(listen: &str, mut between: impl FnMut()) -> bool {
    let began = Instant::now();
    (1..).take_while(|_| began.elapsed() < HANG).any(|number| {
        between();
        let mut client = Client::connect(listen).unwrap();
        assert!(client.is_ready().unwrap(), "the health answer");
        let code = client.asks(number).unwrap();
        thread::sleep(PACE);
        code == 20
    })
}

/// Idle clients that have all asked something take what there is for clients, and more keep coming, while discovery
/// refuses or says nothing. Then it is back: it is dialed, its list taken, the endpoint in it dialed, a new client served,
/// and a SIGHUP's file read.
///
/// Fails on the program before where `limits.sockets` is above what the process may open: it ran out ("accept failed").
/// With no descriptors in reserve (`RESERVED` 0) it fails at the smallest limit; at 64, the endpoints' unused share hides it.
#[test]
fn idle_clients_never_take_the_descriptors_of_discovery_endpoints_and_new_clients() {
    for (n, (descriptors, sockets, silent)) in [
        (64, 64, false),
        (64, 64, true),
        (64, 1024, false),
        (64, 1024, true),
        (24, 24, false),
        (24, 1024, true),
    ]
    .into_iter()
    .enumerate()
    {
        let what = format!("{descriptors} {sockets} {silent}");
        let at = own_address(n as u8);
        let quiet = silent.then(|| TcpListener::bind(format!("{at}:9379")).unwrap());
        let settings = config("127.0.0.1:0", &at, sockets);
        let program = Program::start(&format!("flood-{n}"), &format!("ulimit -n {descriptors};"), &settings);
        let (mut held, listen) = (Vec::new(), program.listen.clone());
        let mut more = |count: usize| {
            for _ in 0..count {
                let mut client = Client::connect(&listen).unwrap();
                assert!(client.is_ready().unwrap(), "{what}");
                held.push(client);
            }
        };
        more(3 * descriptors);
        let open = program.descriptors();
        assert!(open + 3 <= descriptors, "{what}: {open} are open");
        // The file is read with all clients' descriptors taken.
        std::fs::write(&program.path, &settings).unwrap();
        program.signal("-HUP");
        let up = quiet.unwrap_or_else(|| TcpListener::bind(format!("{at}:9379")).unwrap());
        let cursors = discovery(up);
        assert_eq!(cursors.recv_timeout(HANG), Ok(KNOWN), "{what}");
        assert!(served(&program.listen, || more(2)), "{what}");
        // Those that went were the oldest, and some are still there.
        let ended = held.iter_mut().map(|c| {
            c.0.set_nonblocking(true).unwrap();
            matches!(c.0.read(&mut [0; 64]), Ok(0))
        });
        let ended: Vec<bool> = ended.collect();
        let first = ended.iter().position(|e| !e).unwrap_or(ended.len());
        assert!(ended[first..].iter().all(|e| !e), "{what}: the oldest first: {ended:?}");
        assert!(first >= 2 * descriptors, "{what}: {first}");
        let log = program.end();
        assert!(
            !log.contains("accept failed") && !log.contains("command channel dial failed"),
            "{what}: {log}"
        );
        assert!(log.contains("configuration reloaded"), "{what}: {log}");
        assert!(!log.contains("no descriptor was free"), "{what}: {log}");
    }
}

/// Guards the front, which takes an instance in once it has said that it is ready: that must rest on the configuration
/// alone. Ten starts each with discovery refusing, silent, and late, while clients come from the first moment.
/// Planted fault: ready only once a watch has told something (`is_current`); then none of the first ten is.
#[test]
fn restarted_under_load_it_is_ready_whatever_discovery_does() {
    for (n, what) in ["refused", "silent", "late"].into_iter().enumerate() {
        let mut ready = 0;
        for round in 0..10 {
            let at = own_address(32 + 10 * n as u8 + round);
            let quiet = (what != "refused").then(|| TcpListener::bind(format!("{at}:9379")).unwrap());
            let listen = format!("{at}:9090");
            let over = Arc::new(AtomicBool::new(false));
            let clients: Vec<_> = (0..4)
                .map(|client| {
                    let (listen, over) = (listen.clone(), over.clone());
                    thread::spawn(move || {
                        for number in 1..100_000 {
                            if over.load(Ordering::Relaxed) {
                                return;
                            }
                            let Ok(mut c) = Client::connect(&listen) else {
                                thread::sleep(PACE);
                                continue;
                            };
                            let _ = c.is_ready().and_then(|_| c.asks(client << 20 | number));
                        }
                    })
                })
                .collect();
            let began = Instant::now();
            let program = Program::start(&format!("{what}-{round}"), "", &config(&listen, &at, 1024));
            let mut client = Client::connect(&listen).unwrap();
            let is_ready = client.is_ready().unwrap();
            ready += usize::from(is_ready && began.elapsed() < READY_WITHIN);
            if what == "late" {
                let cursors = discovery(quiet.unwrap());
                assert_eq!(cursors.recv_timeout(HANG), Ok(KNOWN));
                assert!(served(&listen, || ()), "the list that came late is taken");
            }
            over.store(true, Ordering::Relaxed);
            drop(program);
            clients.into_iter().for_each(|c| c.join().unwrap());
        }
        assert!(ready == 10, "{what}: {ready} of 10");
    }
}
