//! What was sent, answered and run, with the time since the start.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    pub fn note(&self, text: String) {
        let at = self.started.elapsed().as_secs_f64();
        self.lines.lock().unwrap().push(format!("{at:8.3} s  {text}"));
    }

    pub fn save(&self, path: &str) {
        let lines = self.lines.lock().unwrap();
        if let Ok(mut file) = std::fs::File::create(path) {
            let _ = file.write_all((lines.join("\n") + "\n").as_bytes());
        }
    }
}
