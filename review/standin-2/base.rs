//! Time, the record of a run, and the failure "this case can't run here".

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// Exit status where the rule held.
pub const HELD: i32 = 0;
/// Exit status where the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status where the case could not run.
pub const NOT_RUN: i32 = 2;

/// Why a case could not run.
pub type Res<T> = Result<T, Box<dyn std::error::Error>>;

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Waits until a Unix time in milliseconds.
pub fn sleep_until(at_ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(at_ms.saturating_sub(unix_ms())));
}

/// Waits.
pub fn sleep_ms(span_ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(span_ms));
}

/// The file `record.txt` of a case: what was sent, answered and run, with the time of each since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub started_ms: u64,
}

impl Record {
    pub fn create(folder: &Path) -> Res<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { file: Arc::new(Mutex::new(file)), started_ms: unix_ms() })
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let at_ms = unix_ms().saturating_sub(self.started_ms);
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:>6}.{:03} {text}", at_ms / 1_000, at_ms % 1_000);
        }
    }

    /// Adds a line, and shows it on standard output too.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
