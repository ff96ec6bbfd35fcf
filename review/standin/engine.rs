//! A model engine: writes streams of events, and keeps its row in the store.

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Head, read_body, read_head, respond};
use crate::json::Json;
use crate::names;
use crate::record::Record;
use crate::store::Store;

/// The slots of an engine.
pub const SLOTS: u64 = 64;

/// The time to load a model from the weight store.
const LOAD_TIME: Duration = Duration::from_secs(9);

/// The tokens in an event.
pub const TOKENS_PER_EVENT: u64 = 2;

pub struct Engine {
    pub id: String,
    address: String,
    /// The version of its software.
    version: &'static str,
    service: &'static str,
    events: u64,
    event_gap: Duration,
    /// Whether each run is recorded; a case with thousands of them counts them instead.
    records_runs: bool,
    store: Arc<Store>,
    record: Record,
    models: Mutex<BTreeSet<String>>,
    is_busy: AtomicBool,
    is_listed: AtomicBool,
    sequence: AtomicU64,
    running: AtomicU64,
    runs: AtomicU64,
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// What an engine is like.
pub struct EngineSpec {
    pub id: String,
    pub address: String,
    pub version: &'static str,
    pub service: &'static str,
    pub models: [&'static str; 2],
    pub events: u64,
    pub event_gap: Duration,
    pub records_runs: bool,
}

impl Engine {
    /// Starts an engine, which does not write its row yet.
    pub fn start(spec: EngineSpec, store: &Arc<Store>, record: &Record) -> Arc<Engine> {
        let listener = TcpListener::bind(&spec.address).expect("the engine's address is free");
        let EngineSpec { id, address, version, service, models, events, event_gap, records_runs } =
            spec;
        let engine = Arc::new(Engine {
            id,
            address,
            version,
            service,
            events,
            event_gap,
            records_runs,
            store: store.clone(),
            record: record.clone(),
            models: Mutex::new(models.map(str::to_owned).into()),
            is_busy: AtomicBool::new(false),
            is_listed: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            running: AtomicU64::new(0),
            runs: AtomicU64::new(0),
            has_ended: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let served = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let engine = served.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Writes the row for the first time.
    pub fn join(&self) {
        self.is_listed.store(true, Ordering::SeqCst);
        self.write_row();
        self.record.note(format!("engine {} of version {} is in the list", self.id, self.version));
    }

    /// Records how many requests the engine has begun to run.
    pub fn record_runs(&self) {
        let runs = self.runs.load(Ordering::SeqCst);
        self.record.note(format!("engine {} has run {runs} requests", self.id));
    }

    fn write_row(&self) {
        if !self.is_listed.load(Ordering::SeqCst) {
            return;
        }
        let sequence = self.sequence.load(Ordering::SeqCst);
        let row = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"hall-1\",\"version\":\"{}\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":{sequence},\
             \"stage\":\"both\",\"models\":{}}}",
            self.service,
            self.address,
            self.version,
            self.listed_models()
        );
        self.store.put("servers", &self.id, Some(&row));
    }

    /// Removes the row; the engine serves on.
    pub fn leave(&self) {
        self.is_listed.store(false, Ordering::SeqCst);
        self.store.put("servers", &self.id, None);
        self.record.note(format!("the entry of engine {} goes; it serves on", self.id));
    }

    /// Ends the engine with its connections.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        self.record.note(format!("engine {} ends", self.id));
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let _ = TcpStream::connect(&self.address);
    }

    fn listed_models(&self) -> String {
        let models = self.models.lock().unwrap();
        let model =
            |name: &String| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}");
        format!("[{}]", models.iter().map(model).collect::<Vec<_>>().join(","))
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read_half) = stream.try_clone() else { return };
        if let Ok(kept) = stream.try_clone() {
            self.connections.lock().unwrap().push(kept);
        }
        let mut reader = BufReader::new(read_half);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else { return };
            if self.answer(&mut stream, &head, &body).is_err() {
                return;
            }
        }
    }

    fn answer(
        self: &Arc<Self>,
        stream: &mut TcpStream,
        head: &Head,
        body: &[u8],
    ) -> std::io::Result<()> {
        let own = [(names::INSTANCE_ID, self.id.clone())];
        if head.header(names::EXPECTED_INSTANCE).is_some_and(|id| id != self.id) {
            return respond(stream, "421 Misdirected Request", &own, b"");
        }
        match head.target() {
            "/health" => respond(stream, "200 OK", &own, b""),
            names::REPORT_PATH => {
                let (sequence, running) =
                    (self.sequence.load(Ordering::SeqCst), self.running.load(Ordering::SeqCst));
                let report = format!(
                    "{{\"stage\":\"both\",\"models\":{},\"busy\":{},\"sequence\":{sequence},\
                     \"waiting\":0,\"running\":{running},\"kv-used\":0,\"kv-total\":132029,\
                     \"handles\":0}}",
                    self.listed_models(),
                    self.is_busy.load(Ordering::SeqCst)
                );
                respond(stream, "200 OK", &own, report.as_bytes())
            }
            names::ORDER_PATH => {
                let status = self.take_order(&String::from_utf8_lossy(body));
                respond(stream, status, &own, b"{}")
            }
            _ => self.run(stream, head),
        }
    }

    /// Takes an order to load or unload a model; there are no adapters.
    fn take_order(self: &Arc<Self>, text: &str) -> &'static str {
        let Some(order) = Json::parse(text) else {
            return "400 Bad Request";
        };
        let operation = order.get("operation").str();
        self.record.note(format!(
            "engine {} gets the order to {operation} {}",
            self.id,
            order.get("model").str()
        ));
        let model = order.get("model").str().to_owned();
        let is_load = operation == "load";
        if self.models.lock().unwrap().contains(&model) == is_load {
            return "200 OK";
        }
        let expected = order.get("expected-revision");
        let differs =
            *expected != Json::Null && expected.num() != self.sequence.load(Ordering::SeqCst);
        if differs || self.is_busy.swap(true, Ordering::SeqCst) {
            return "409 Conflict";
        }
        self.sequence.fetch_add(1, Ordering::SeqCst);
        let engine = self.clone();
        thread::spawn(move || {
            if is_load {
                thread::sleep(LOAD_TIME);
                engine.models.lock().unwrap().insert(model);
            } else {
                engine.models.lock().unwrap().remove(&model);
            }
            engine.is_busy.store(false, Ordering::SeqCst);
            engine.write_row();
        });
        "202 Accepted"
    }

    /// Runs a request: writes the events after the last one that the client has.
    fn run(&self, stream: &mut TcpStream, head: &Head) -> std::io::Result<()> {
        let Some(id) = head.header(names::ATTEMPT_ID) else {
            let headers = [(names::NOT_EXECUTED, "1".to_owned())];
            return respond(stream, "400 Bad Request", &headers, b"");
        };
        let model = head.header(names::MODEL).unwrap_or_default();
        if !self.models.lock().unwrap().contains(model) {
            let headers = [(names::ATTEMPT_ID, id.to_owned())];
            return respond(stream, "421 Misdirected Request", &headers, b"");
        }
        let first = head.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0) + 1;
        if self.records_runs {
            self.record.note(format!(
                "engine {} of version {} runs attempt {id} from event {first} on",
                self.id, self.version
            ));
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        self.runs.fetch_add(1, Ordering::SeqCst);
        // A short answer is one event.
        let events = if head.target().ends_with("/short") { 1 } else { self.events };
        let written = self.write_events(stream, id, first..=events);
        self.running.fetch_sub(1, Ordering::SeqCst);
        written
    }

    fn write_events(
        &self,
        stream: &mut TcpStream,
        id: &str,
        events: RangeInclusive<u64>,
    ) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: {}.{id}\r\n{}: {},0,{SLOTS}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            names::ATTEMPT_ID,
            names::RESPONSE_SIGNATURE,
            self.id,
            names::SERVER_LOAD,
            self.running.load(Ordering::SeqCst)
        );
        stream.write_all(head.as_bytes())?;
        let gap = if *events.end() == 1 { Duration::from_millis(2) } else { self.event_gap };
        for number in events {
            thread::sleep(gap);
            let event = format!("id: {number}\ndata: {} {}\n\n", self.version, self.id);
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
