//! The program under review as a process of its own, started with the `run` command of the deploy file.

use crate::base::{sleep_ms, unix_ms, Record, Res};
use crate::client::{Client, SERVED};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::Mutex;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
const READY_WITHIN_MS: u64 = 30_000;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Processes that this run has started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that this run has started, by their ids.
pub fn end_all() {
    let started = STARTED.lock().map(|processes| processes.clone()).unwrap_or_default();
    // SAFETY: `kill` takes two numbers; the processes are children that were not waited for.
    for process in started {
        unsafe { kill(process as i32, SIGKILL) };
    }
}

/// Returns an address on which nothing listens. It is on a loopback address of this run's own: on a common one, another
/// program could take the port between this call and the start of the doorman.
pub fn free_address() -> Res<SocketAddr> {
    let [high, middle, low, _] = std::process::id().rotate_left(8).to_be_bytes();
    let own = Ipv4Addr::new(127, 1 | high, middle, low.max(1));
    Ok(TcpListener::bind((own, 0))?.local_addr()?)
}

/// Returns the `run` command of the deploy file.
fn run_command() -> Res<String> {
    let text = std::fs::read_to_string("deploy/balancer.toml")?;
    let line = text.lines().find(|line| line.starts_with("run ")).ok_or("no run command")?;
    Ok(line.split('"').nth(1).ok_or("no run command")?.to_owned())
}

/// A process of the doorman. It is killed when this is dropped.
pub struct Doorman {
    pub listen: SocketAddr,
    child: Child,
    record: Record,
}

impl Doorman {
    /// Starts the program in a folder with the file `config.json`; `environment` holds further variables.
    pub fn start(
        listen: SocketAddr,
        folder: &Path,
        log: &str,
        environment: &[(&str, String)],
        record: &Record,
    ) -> Res<Doorman> {
        let log = File::create(folder.join(log))?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()?).env("PROXY_CONFIG", folder.join("config.json"));
        command.env("PROXY_NAME", "n1").env("PROXY_LISTEN", listen.to_string()).env("TMPDIR", folder);
        command.envs(environment.iter().map(|(name, value)| (*name, value)));
        let child = command.stdout(log.try_clone()?).stderr(log).spawn()?;
        record.line(&format!("doorman started process={}", child.id()));
        if let Ok(mut started) = STARTED.lock() {
            started.push(child.id());
        }
        Ok(Doorman { listen, child, record: record.clone() })
    }

    /// Waits until the doorman answers that it is ready.
    pub fn wait_ready(&mut self) -> Res<()> {
        let deadline = unix_ms() + READY_WITHIN_MS;
        while unix_ms() < deadline {
            if self.child.try_wait()?.is_some() {
                return Err("the doorman ended at its start".into());
            }
            if let Ok(client) = Client::connect("front", self.listen, &self.record) {
                let _ = client.ask_ready();
                sleep_ms(100);
                let is_ready = |codes: &[(u64, u8)]| codes.iter().any(|(_, code)| *code == SERVED);
                let ready = client.seen.lock().is_ok_and(|seen| is_ready(&seen.ready_codes));
                client.close();
                if ready {
                    return Ok(());
                }
            }
            sleep_ms(50);
        }
        Err("the doorman is not ready in time".into())
    }

    pub fn signal(&self, signal: i32) {
        self.record.line(&format!("signal {signal} to process={}", self.child.id()));
        // SAFETY: `kill` takes two numbers; the process is a child that was not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns the memory of the process's own (no files) that it holds now, in KB; 0 if the system does not say.
    pub fn own_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let own = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        own.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Doorman {
    fn drop(&mut self) {
        if let Ok(mut started) = STARTED.lock() {
            started.retain(|process| *process != self.child.id());
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A temporary folder that is removed when this is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> Res<Folder> {
        let folder = std::env::temp_dir().join(format!("{name}-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&folder)?;
        Ok(Folder(folder))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
