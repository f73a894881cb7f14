//! One real instance process: started with a script of the product's settings, and looked at from outside.

use super::{io, LoopbackError};
use procfs::process::Process;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// How long a start may take: only a hang gets there.
const HANG: Duration = Duration::from_secs(30);

/// A running instance. It is ended when this is dropped.
pub struct Proxy {
    child: Child,
    lines: Receiver<String>,
    folder: PathBuf,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What a process takes at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Taken {
    /// Resident bytes.
    pub resident: f64,
    /// Processor time of all its threads so far, in microseconds.
    pub cpu_us: f64,
    /// Threads.
    pub threads: f64,
    /// Descriptors.
    pub descriptors: f64,
}

/// Processor time of all threads of a process, or of those that `fits`, in microseconds: what the kernel tells to the
/// nanosecond, not in ticks.
///
/// # Errors
/// The process is gone.
pub fn cpu_us(id: i32, fits: impl Fn(i32) -> bool) -> Result<f64, LoopbackError> {
    let proc = |why| LoopbackError::Proc { id, why };
    let tasks = Process::new(id).and_then(|p| p.tasks()).map_err(proc)?;
    let mut sum = 0.0;
    for task in tasks.flatten().filter(|t| fits(t.tid)) {
        // A thread that has ended since is no error.
        sum += task.schedstat().map_or(0.0, |s| s.sum_exec_runtime as f64 / 1e3);
    }
    Ok(sum)
}

/// The threads of this process.
///
/// # Errors
/// /proc can't be read.
pub fn threads() -> Result<Vec<i32>, LoopbackError> {
    let proc = |why| LoopbackError::Proc { id: std::process::id() as i32, why };
    let tasks = Process::myself().and_then(|p| p.tasks()).map_err(proc)?;
    Ok(tasks.flatten().map(|t| t.tid).collect())
}

impl Proxy {
    /// Starts one with the example's configuration, on a port of its own, and waits until it listens. An empty script:
    /// everything is off.
    ///
    /// # Errors
    /// It does not start.
    pub fn start(program: &Path, script: &str) -> Result<Self, LoopbackError> {
        static STARTED: AtomicU64 = AtomicU64::new(0);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("larchdale-fleet-simulation-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(io("folder"))?;
        let mut config: serde_json::Value =
            serde_json::from_str(include_str!("../../../../examples/config.json")).unwrap_or_default();
        config["listen"] = "127.0.0.1:0".into();
        config["channel"] = "127.0.0.1:9".into();
        let file = folder.join("config.json");
        std::fs::write(&file, config.to_string()).map_err(io("configuration"))?;
        let mut command = Command::new(program);
        command.env("PROXY_CONFIG", file).env("TMPDIR", &folder).stderr(Stdio::piped());
        if !script.is_empty() {
            let file = folder.join("product.star");
            std::fs::write(&file, script).map_err(io("script"))?;
            command.arg("--product").arg(file);
        }
        let mut child = command.spawn().map_err(io("doorman"))?;
        let log = child.stderr.take().ok_or(std::io::ErrorKind::BrokenPipe.into()).map_err(io("log"))?;
        let (send, lines) = channel();
        std::thread::spawn(move || {
            BufReader::new(log).lines().map_while(Result::ok).try_for_each(|l| send.send(l))
        });
        let instance = Proxy { child, lines, folder };
        instance.logs("listening")?;
        Ok(instance)
    }

    /// Waits until it logs a line with this text.
    ///
    /// # Errors
    /// It does not in time.
    pub fn logs(&self, text: &str) -> Result<String, LoopbackError> {
        let (until, mut seen) = (Instant::now() + HANG, Vec::new());
        loop {
            match self.lines.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(line) if line.contains(text) => return Ok(line),
                Ok(line) => {
                    seen.push(line);
                    seen.drain(..seen.len().saturating_sub(20));
                }
                Err(_) => {
                    let seen = seen.join("\n");
                    return Err(LoopbackError::Silent { text: text.to_owned(), within: HANG, seen });
                }
            }
        }
    }

    /// What it takes now.
    ///
    /// # Errors
    /// It is gone.
    pub fn taken(&self) -> Result<Taken, LoopbackError> {
        let id = self.child.id() as i32;
        let proc = |why| LoopbackError::Proc { id, why };
        let process = Process::new(id).map_err(proc)?;
        let status = process.status().map_err(proc)?;
        Ok(Taken {
            resident: status.vmrss.unwrap_or(0) as f64 * 1024.0,
            cpu_us: cpu_us(id, |_| true)?,
            threads: status.threads as f64,
            descriptors: process.fd_count().map_err(proc)? as f64,
        })
    }

    /// Its memory by kind, in bytes: what of the program's file is resident, what of libraries, heap and stacks, and the
    /// rest.
    ///
    /// # Errors
    /// It is gone.
    pub fn memory(&self) -> Result<[(&'static str, f64); 4], LoopbackError> {
        use procfs::process::MMapPath;
        let id = self.child.id() as i32;
        let proc = |why| LoopbackError::Proc { id, why };
        let process = Process::new(id).map_err(proc)?;
        let program = process.exe().map_err(proc)?;
        let (mut own, mut library, mut heap, mut rest) = (0.0, 0.0, 0.0, 0.0);
        for map in process.smaps().map_err(proc)? {
            let resident = map.extension.map.get("Rss").copied().unwrap_or(0) as f64;
            match &map.pathname {
                MMapPath::Path(p) if *p == program => own += resident,
                MMapPath::Path(_) => library += resident,
                MMapPath::Heap | MMapPath::Stack | MMapPath::Anonymous => heap += resident,
                _ => rest += resident,
            }
        }
        Ok([("program", own), ("libraries", library), ("heap and stacks", heap), ("rest", rest)])
    }
}
