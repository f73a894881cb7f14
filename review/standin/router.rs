//! The program under test, started by the command of the deploy file.

use crate::channel::Listed;
use crate::endpoint::own_address;
use crate::record::Record;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use std::{fs, thread};

const START_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const READY_CODE: u8 = 20;

pub struct Router {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
    record: Record,
}

/// What the configuration names.
#[derive(Clone)]
pub struct Setup {
    pub listed: Vec<Listed>,
    pub channel: SocketAddr,
    pub memory_mb: usize,
    pub classes: Vec<Class>,
}

/// A class of the settings.
#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    pub deadline_ms: u64,
    /// `aim-stretch`, which a class may lack.
    pub stretch: Option<f64>,
    pub semantics: &'static str,
    pub scope: &'static str,
    /// Whether its requests run at the origin and leave no copy.
    pub is_write: bool,
}

impl Class {
    fn to_json(&self) -> String {
        let Class { name, deadline_ms, semantics, scope, .. } = self;
        let stretch = self.stretch.map_or(String::new(), |stretch| format!(r#""aim-stretch":{stretch},"#));
        format!(
            r#"{{{stretch}"name":"{name}","promise-us":400000,"deadline-us":{},"semantics":"{semantics}","dedup-scope":"{scope}","window-us":6000000}}"#,
            deadline_ms * 1000
        )
    }
}

/// Id of the program's process, for the watchdog; 0: none was started.
static PROCESS: AtomicU32 = AtomicU32::new(0);

/// Ends the program and the run, as one that could not be played, once a run has taken too long.
pub fn watch(longest: Duration) {
    thread::spawn(move || {
        thread::sleep(longest);
        let process = PROCESS.load(Ordering::SeqCst);
        if process != 0 {
            let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {process}")]).status();
        }
        eprintln!("the run took too long");
        std::process::exit(2);
    });
}

impl Router {
    /// Starts the program and waits until it says that it is ready.
    pub fn start(run: &str, setup: &Setup, record: &Record) -> io::Result<Self> {
        let address = TcpListener::bind(own_address())?.local_addr()?;
        let folder = std::env::temp_dir().join(format!("larchdale-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let config = folder.join("config.json");
        fs::write(&config, configuration(address, setup))?;
        let log = fs::File::create(folder.join("router.log"))?;
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .env("PROXY_NAME", "n1")
            .env("PROXY_LISTEN", address.to_string())
            .env("PROXY_CONFIG", &config)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        PROCESS.store(child.id(), Ordering::SeqCst);
        let mut router = Router { child, address, folder, record: record.clone() };
        router.await_ready()?;
        record.line(&format!("router: ready at {address}"));
        Ok(router)
    }

    fn await_ready(&mut self) -> io::Result<()> {
        let started_at = Instant::now();
        while started_at.elapsed() < START_TIMEOUT && self.is_running() {
            if self.is_ready().unwrap_or(false) {
                return Ok(());
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(io::Error::other("the router is not ready"))
    }

    fn is_ready(&self) -> io::Result<bool> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(&[0, 0, 0, 6, 1, 0, 0, 0, 0, 0])?;
        let mut answer = [0; 10];
        stream.read_exact(&mut answer)?;
        Ok(answer[9] == READY_CODE)
    }

    /// Sends a signal to the program, by its id.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        self.record.line(&format!("platform: SIG{name}"));
        Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status().map(drop)
    }

    /// Whether the program still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Puts a new configuration in the place of the old one, and sends SIGHUP to the program, by its id.
    pub fn reconfigure(&self, setup: &Setup) -> io::Result<()> {
        let (new, config) = (self.folder.join("config.new"), self.folder.join("config.json"));
        fs::write(&new, configuration(self.address, setup))?;
        fs::rename(&new, &config)?;
        let names: Vec<&str> = setup.classes.iter().map(|class| class.name).collect();
        self.record.line(&format!(
            "platform: new configuration, channel {}, classes {}",
            setup.channel,
            names.join(" ")
        ));
        self.signal("HUP")
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        copy_log(&self.folder.join("router.log"), &self.record);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn copy_log(path: &Path, record: &Record) {
    for line in fs::read_to_string(path).unwrap_or_default().lines() {
        record.line(&format!("router log: {line}"));
    }
}

const ZONES: [&str; 3] = ["hub", "branch", "other-branch"];
const KINDS: [&str; 3] = ["small-box", "parent", "origin"];

fn instance(listed: &Listed) -> String {
    let Listed { id, address, zone, kind } = listed;
    let (zone, kind) = (ZONES[usize::from(*zone)], KINDS[usize::from(*kind)]);
    format!(
        r#"{{"instanceId":"s-{id:08x}","hostPort":"{address}","zone":"{zone}","machineType":"{kind}","cell":0,"lifecycle":"SERVING","weight":20,"startedAtMs":0}}"#
    )
}

/// The configuration of a small deployment: two branches with their caches, one parent and the origin.
fn configuration(listen: SocketAddr, setup: &Setup) -> String {
    let instances = setup.listed.iter().map(instance).collect::<Vec<_>>().join(",");
    let Setup { channel, memory_mb, .. } = setup;
    let classes = setup.classes.iter().map(Class::to_json).collect::<Vec<_>>().join(",");
    let by_class =
        |value: &dyn Fn(&Class) -> String| setup.classes.iter().map(value).collect::<Vec<_>>().join(",");
    let (no_time, writes) = (by_class(&|_| "0".to_owned()), by_class(&|class| class.is_write.to_string()));
    format!(
        r#"{{"name":"n1","listen":"{listen}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":512}},
 "channel":"{channel}","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
 "known":{{"cursor":1,"cmds":[{{"cursor":1,"nodes":{{"generation":1,"reset":true,"instances":[{instances}]}}}}]}},
 "settings":{{
  "balancers":2,"zone":1,"discovery":"push","weight-source":"rough",
  "failure-domains":["hub","branch","other-branch"],"kinds":["small-box","parent","origin"],
  "classes":[{classes}],
  "domain":{{"can-join":false,"crew-by-zone":[0,1,1],"detail":"hit","direct":true,"flow-kb-per-s":8500.0,
   "inlet-kb-per-s":[0.0,0.0,0.0],"max-age-us":[{no_time}],"stale-for-us":[{no_time}],"pass-on":[{writes}],
   "parent-breaks-at":2.0,"parent-cold-from":0.079,"parent-ramp-us":20000000,"purge-done-us":6000000,
   "purge-slack-us":500000,"source-kind":2,"upper-kind":1}},
  "limits":{{"conn-idle-us":15000000,"dial-timeout-us":400000,"max-attempts":6,"max-open":20000,
   "may-cancel":true,"multiplex":32,"retry-after":true,"max-retry-after-us":2000000}},
  "rules":{{"answer-slack-us":8000,"drain-grace-us":1000000,"fall-us":1000000,"start-capacity":0.19,
   "tip-multiple":3.0,"warm-within-us":15000000}}}}}}"#
    )
}
