//! The record of a run: one line for each thing sent, answered or done, with the milliseconds since the start.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Record { file, started_at: Instant::now() })
    }

    /// Milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Writes one line to the record.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(file, "{:>7} {text}", self.started_at.elapsed().as_millis());
        let _ = file.flush();
    }

    /// Writes one line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
