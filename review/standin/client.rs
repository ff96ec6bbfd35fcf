//! A client that reads a stream and takes it up again after a broken connection.

use std::io::BufReader;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::http::{connect, read_chunk, read_head};
use crate::names;
use crate::record::Record;
use std::io::Write;

/// An event as a client got it.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub number: u64,
    /// The software version of the engine that wrote it.
    pub version: String,
}

/// How one try ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The whole stream is there.
    Whole,
    /// The stream broke off, or the connection did.
    Broken,
    /// The node answered with another status; the wait that it asked for.
    Status(u16, Option<Duration>),
    /// No connection.
    Refused,
    /// The client closed the connection.
    Left,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    pub path: &'static str,
    pub model: &'static str,
    /// The tokens of the prompt, and the most of the answer.
    pub tokens: (u64, u64),
    /// The client's estimate of the output tokens.
    pub hint: Option<u64>,
}

/// A stream over all tries of its client.
pub struct StreamClient {
    pub name: String,
    pub events: Vec<Event>,
    /// The attempt that brought the first event.
    first_attempt: Option<String>,
    attempts: u32,
    deadline: Instant,
    ask: Ask,
    record: Record,
}

impl StreamClient {
    pub fn new(name: String, ask: Ask, time: Duration, record: &Record) -> Self {
        Self {
            name,
            events: Vec::new(),
            first_attempt: None,
            attempts: 0,
            deadline: Instant::now() + time,
            ask,
            record: record.clone(),
        }
    }

    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the versions whose events the stream holds.
    pub fn versions(&self) -> Vec<String> {
        let mut versions: Vec<String> =
            self.events.iter().map(|event| event.version.clone()).collect();
        versions.sort();
        versions.dedup();
        versions
    }

    /// Makes one try at a node, from the last event on that the client has, and leaves at `leave_at`.
    pub fn attempt(&mut self, address: &str, leave_at: Option<Instant>) -> End {
        self.attempts += 1;
        let id = format!("{}x{:02}", self.name, self.attempts);
        let last = self.events.last().map(|event| event.number);
        let before = self.events.len();
        let resumes = self.first_attempt.clone();
        self.record.note(format!(
            "client {} sends attempt {id} to {address}, last event {last:?}, resumes {resumes:?}",
            self.name
        ));
        let end = self.read(address, &id, leave_at);
        let got = self.events.len() - before;
        self.record.note(format!("client {} attempt {id}: {got} events, {end:?}", self.name));
        end
    }

    /// Makes a try of which nothing is recorded.
    pub fn attempt_quietly(&mut self, address: &str) -> End {
        self.attempts += 1;
        let id = format!("{}x{:02}", self.name, self.attempts);
        self.read(address, &id, None)
    }

    fn read(&mut self, address: &str, id: &str, leave_at: Option<Instant>) -> End {
        let Ok(mut reader) = connect(address) else {
            return End::Refused;
        };
        let Ask { path, model, tokens: (prompt, most), hint } = self.ask;
        let deadline_ms = self.time_left().as_millis();
        let prompt_parts = format!("5c1e07a2:300,{:x}:{}", short_hash(&self.name), prompt - 300);
        let mut text = format!("POST {path} HTTP/1.1\r\nHost: host.example\r\n");
        let mut add = |name: &str, value: &str| text.push_str(&format!("{name}: {value}\r\n"));
        add(names::ATTEMPT_ID, id);
        add(names::MODEL, model);
        add(names::TOKEN_COUNTS, &format!("{prompt},{most}"));
        add(names::PROMPT_PREFIX, &prompt_parts);
        add(names::DEADLINE_MS, &deadline_ms.to_string());
        add("Content-Length", "0");
        if let Some(hint) = hint {
            add(names::LENGTH_HINT, &hint.to_string());
        }
        if let Some(event) = self.events.last() {
            add(names::LAST_EVENT_ID, &event.number.to_string());
        }
        if let Some(first) = &self.first_attempt {
            add(names::RESUMES[0], first);
        }
        text.push_str("\r\n");
        if reader.get_mut().write_all(text.as_bytes()).is_err() {
            return End::Broken;
        }
        let until = leave_at.map_or(self.deadline, |at| at.min(self.deadline));
        self.read_answer(&mut reader, id, until)
    }

    fn read_answer(&mut self, reader: &mut BufReader<TcpStream>, id: &str, until: Instant) -> End {
        set_time(reader, until);
        let head = match read_head(reader) {
            Ok(Some(head)) => head,
            _ if Instant::now() >= until => return End::Left,
            _ => return End::Broken,
        };
        if head.status() != 200 {
            let wait = head.header("retry-after").and_then(|text| text.parse::<f64>().ok());
            return End::Status(head.status(), wait.map(Duration::from_secs_f64));
        }
        let mut text = String::new();
        loop {
            set_time(reader, until);
            if Instant::now() >= until {
                return End::Left;
            }
            match read_chunk(reader) {
                Ok(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
                Ok(None) => return End::Whole,
                Err(_) if Instant::now() >= until => return End::Left,
                Err(_) => return End::Broken,
            }
            while let Some(end) = text.find("\n\n") {
                let event: String = text.drain(..end + 2).collect();
                if let Some(event) = parse_event(&event) {
                    self.first_attempt.get_or_insert_with(|| id.to_owned());
                    self.events.push(event);
                }
            }
        }
    }
}

fn set_time(reader: &mut BufReader<TcpStream>, until: Instant) {
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = reader.get_mut().set_read_timeout(Some(left));
}

fn parse_event(text: &str) -> Option<Event> {
    let number = text.lines().find_map(|line| line.strip_prefix("id: "))?.parse().ok()?;
    let data = text.lines().find_map(|line| line.strip_prefix("data: "))?;
    Some(Event { number, version: data.split(' ').next()?.to_owned() })
}

fn short_hash(text: &str) -> u32 {
    text.bytes()
        .fold(2_166_136_261, |hash: u32, byte| (hash ^ u32::from(byte)).wrapping_mul(16_777_619))
}
