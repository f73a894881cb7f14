//! Several real instances on loopback, which talk to each other through a relay that can lose, delay and cut off what
//! they say. Whoever drops them ends them.

use fault_injection::datagram_relay::Relay;
use fault_injection::Schedule;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a process may take for its start, and for an answer: only a hang gets there.
const HANG: Duration = Duration::from_secs(30);
/// Between two looks at what is awaited.
const LOOK: Duration = Duration::from_millis(20);

/// One line that a process logged, with when it came here.
#[derive(Clone, Debug)]
pub struct Line {
    /// When.
    pub at: Instant,
    /// The JSON object.
    pub fields: Value,
}

/// An instance's process.
pub struct Process {
    child: Child,
    door: SocketAddr,
    lines: Arc<Mutex<Vec<Line>>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// The lines that it logged so far with this message.
    pub fn logged(&self, message: &str) -> Vec<Line> {
        let lines = self.lines.lock().unwrap_or_else(|e| e.into_inner());
        lines.iter().filter(|l| l.fields["msg"] == message).cloned().collect()
    }

    /// Its figures, by name.
    pub fn figures(&self) -> io::Result<HashMap<String, u64>> {
        let mut door = TcpStream::connect(self.door)?;
        door.set_read_timeout(Some(HANG))?;
        writeln!(door, "stats")?;
        let mut text = String::new();
        door.read_to_string(&mut text)?;
        let figure = |line: &str| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.strip_prefix("proxy_")?.to_owned(), value.parse().ok()?))
        };
        Ok(text.lines().filter_map(figure).collect())
    }

    /// Sends it a signal by its id.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        Command::new("kill").args([signal, &self.child.id().to_string()]).status().map(drop)
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> io::Result<()> {
        self.child.wait().map(drop)
    }
}

/// The fleet.
pub struct Processes {
    program: PathBuf,
    folder: PathBuf,
    configs: Vec<Value>,
    doors: Vec<SocketAddr>,
    /// The product's script of those that are started from now on; empty: they have none.
    pub script: String,
    /// Those that run, by number.
    pub running: Vec<Option<Process>>,
    /// What is between them.
    pub relay: Relay,
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.running.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An address that nobody else has: of a loopback network of this run's own, not among those that the system gives
/// to connections.
pub fn free(port: u16) -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let (run, next) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let octets = [127, 1 + (run % 250) as u8, (run / 250 % 250) as u8, (next % 250) as u8];
    SocketAddr::from((octets, port + (next / 250) as u16))
}

impl Processes {
    /// So many instances of one tier, none of which runs yet; `change` makes each configuration what it is to be.
    pub fn new(
        program: &str,
        name: &str,
        many: usize,
        schedule: &Schedule,
        change: impl Fn(usize, &mut Value),
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("larchdale-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let listen: Vec<SocketAddr> = (0..many).map(|_| free(7946)).collect();
        let relay = Relay::start(&listen, schedule)?;
        let example: Value = serde_json::from_str(include_str!("../../../examples/config.json"))?;
        let mut configs = Vec::new();
        for (number, own) in listen.iter().enumerate() {
            let mut config = example.clone();
            config["name"] = format!("n{number}").into();
            config["listen"] = free(9090).to_string().into();
            config["channel"] = "127.0.0.1:9".into();
            config["seed"] = format!("{number:x}").into();
            config["peer_listen"] = own.to_string().into();
            config["peers"] = json!(relay.peers(number));
            config["peers_all"] = json!(relay.broadcast(number));
            config["settings"]["balancers"] = many.into();
            config["settings"]["slot-no"] = number.into();
            config["settings"]["limits"]["may-tell"] = true.into();
            change(number, &mut config);
            configs.push(config);
        }
        let doors = (0..many).map(|_| free(9190)).collect();
        let running = (0..many).map(|_| None).collect();
        let (program, script) = (program.into(), String::new());
        Ok(Processes { program, folder, configs, doors, script, running, relay })
    }

    /// Starts one and waits until it listens.
    pub fn start(&mut self, number: usize) -> io::Result<()> {
        self.running[number] = Some(self.launch(number, self.doors[number])?);
        Ok(())
    }

    /// Starts a second process of one that runs, which takes over; gives back the first.
    pub fn replace(&mut self, number: usize) -> io::Result<Option<Process>> {
        let next = self.launch(number, free(9190))?;
        Ok(self.running[number].replace(next))
    }

    fn launch(&self, number: usize, door: SocketAddr) -> io::Result<Process> {
        let own = self.folder.join(number.to_string());
        std::fs::create_dir_all(&own)?;
        let config = own.join("config.json");
        std::fs::write(&config, self.configs[number].to_string())?;
        let mut command = Command::new(&self.program);
        if !self.script.is_empty() {
            let script = own.join("product.star");
            std::fs::write(&script, &self.script)?;
            command.arg("run").arg("--product").arg(script);
        }
        let mut child = command
            .env("PROXY_CONFIG", config)
            .env("PROXY_MANAGEMENT", door.to_string())
            .env("TMPDIR", &own)
            .env("LARCHDALE_LOG", "debug")
            .env("LARCHDALE_LOG_FORMAT", "json")
            .stderr(Stdio::piped())
            .spawn()?;
        let log = child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let lines = Arc::<Mutex<Vec<Line>>>::default();
        let kept = lines.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                let fields = serde_json::from_str(&line).unwrap_or_default();
                kept.lock().unwrap_or_else(|e| e.into_inner()).push(Line { at: Instant::now(), fields });
            }
        });
        let process = Process { child, door, lines };
        let listens = || (!process.logged("listening").is_empty()).then_some(());
        until(HANG, listens).ok_or_else(|| io::Error::other(format!("doorman {number} does not listen")))?;
        Ok(process)
    }

    /// Changes the configuration of one, and has its process read it again.
    pub fn reconfigure(&mut self, number: usize, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        change(&mut self.configs[number]);
        let Some(process) = &self.running[number] else { return Ok(()) };
        let config = self.folder.join(number.to_string()).join("config.json");
        std::fs::write(config, self.configs[number].to_string())?;
        process.signal("-HUP")
    }

    /// Where one takes clients.
    pub fn listens(&self, number: usize) -> Option<SocketAddr> {
        self.configs.get(number)?["listen"].as_str()?.parse().ok()
    }

    /// Starts all.
    pub fn start_all(&mut self) -> io::Result<()> {
        (0..self.running.len()).try_for_each(|n| self.start(n))
    }

    /// Ends one at once, as SIGKILL does.
    pub fn kill(&mut self, number: usize) {
        self.running[number] = None;
    }

    /// What all that run see of each other: alive, suspect, dead, left.
    pub fn views(&self) -> io::Result<Vec<[u64; 4]>> {
        let view = |p: &Process| {
            let figures = p.figures()?;
            let of = |state| figures.get(&format!("peers{{state=\"{state}\"}}")).copied().unwrap_or(0);
            Ok(["alive", "suspect", "dead", "left"].map(of))
        };
        self.running.iter().flatten().map(view).collect()
    }

    /// Waits until all see this; whether they did, and after how long.
    pub fn see(&self, view: [u64; 4], within: Duration) -> Option<Duration> {
        let began = Instant::now();
        until(within, || self.views().ok().filter(|v| v.iter().all(|v| *v == view)).map(|_| began.elapsed()))
    }

    /// A socket that sends to one of them from an address that is nobody's.
    pub fn stranger(&self, to: usize) -> io::Result<(UdpSocket, SocketAddr)> {
        let listen = self.configs[to]["peer_listen"].as_str().and_then(|a| a.parse().ok());
        let listen = listen.ok_or(io::ErrorKind::InvalidData)?;
        Ok((UdpSocket::bind("127.0.0.1:0")?, listen))
    }
}

/// Looks again and again until there is something to see.
pub fn until<T>(within: Duration, mut look: impl FnMut() -> Option<T>) -> Option<T> {
    let began = Instant::now();
    loop {
        match look() {
            None if began.elapsed() < within => std::thread::sleep(LOOK),
            seen => return seen,
        }
    }
}
