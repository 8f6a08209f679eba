//! What was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Record of one case; each line is written at once.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Lines>>,
}

struct Lines {
    file: File,
    written: Vec<String>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Self> {
        let lines = Lines {
            file: File::create(path)?,
            written: Vec::new(),
        };
        Ok(Self {
            started: Instant::now(),
            lines: Arc::new(Mutex::new(lines)),
        })
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut lines = self.lines.lock().unwrap();
        let _ = writeln!(lines.file, "{seconds:8.3} {text}");
        lines.written.push(text.to_owned());
    }

    /// Writes one line, and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    /// Number of lines that begin with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        let lines = self.lines.lock().unwrap();
        let matching = lines.written.iter().filter(|line| line.starts_with(prefix));
        matching.count()
    }

    /// Seconds since the start of the case.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}
