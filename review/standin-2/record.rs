//! What was sent, answered and run.

use std::collections::HashSet;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub engine: String,
    pub at: Instant,
    /// Whether it crashes the engine.
    pub is_deadly: bool,
}

pub struct Record {
    began: Instant,
    lines: Mutex<Vec<(Instant, String)>>,
    pub runs: Mutex<Vec<Run>>,
    /// The crashes, with the engines.
    pub crashes: Mutex<Vec<(Instant, String)>>,
    /// The attempts that got their whole answer with status 200.
    pub served: Mutex<HashSet<String>>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            began: Instant::now(),
            lines: Mutex::default(),
            runs: Mutex::default(),
            crashes: Mutex::default(),
            served: Mutex::default(),
        }
    }
}

impl Record {
    pub fn note(&self, text: impl Into<String>) {
        self.lines.lock().unwrap().push((Instant::now(), text.into()));
    }

    /// Notes a line and shows it.
    pub fn tell(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:8.3} {text}", self.began.elapsed().as_secs_f64());
        self.note(text);
    }

    pub fn run(&self, run: Run) {
        self.note(format!(
            "{} runs {}{}",
            run.engine,
            run.attempt,
            if run.is_deadly { ", which crashes it" } else { "" }
        ));
        self.runs.lock().unwrap().push(run);
    }

    pub fn crash(&self, engine: &str) {
        self.tell(format!("{engine} crashes"));
        self.crashes.lock().unwrap().push((Instant::now(), engine.to_owned()));
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let line = |(at, text): &(Instant, String)| {
            format!("{:8.3} {text}\n", at.duration_since(self.began).as_secs_f64())
        };
        let text: String = lines.iter().map(line).collect();
        std::fs::write(path, text).expect("the record can be written");
    }
}
