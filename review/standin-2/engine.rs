//! A stand-in for an engine or a server of a plain service.

use std::collections::BTreeSet;
use std::io;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};
use crate::names::{self, ATTEMPT_ID, INSTANCE_ID, NOT_EXECUTED, RESPONSE_SIGNATURE};
use crate::record::{Record, Run};
use crate::store::Store;

/// How long an engine is away after a crash.
pub const DOWNTIME: Duration = Duration::from_millis(2_000);

/// The time after which the row of an engine goes that has said nothing: three heartbeats.
const ROW_TIME: Duration = Duration::from_millis(3_600);

/// The time between two events of a stream.
const EVENT_TIME: Duration = Duration::from_millis(15);

/// The models that the engines hold.
pub const MODEL: &str = "m1";

/// What an engine does with requests, beside answering them.
#[derive(Clone, Debug, Default)]
pub struct Behaviour {
    /// The body of a request that crashes every engine that runs it.
    pub deadly_body: Option<String>,
    /// The part of a prompt that crashes every engine that begins to answer on it.
    pub deadly_part: Option<String>,
    /// How long it works on a request.
    pub work: Option<Duration>,
    /// Further headers of its answers, and of how many answers one has them.
    pub headers: Option<(String, u64)>,
}

pub struct Engine {
    name: String,
    service: String,
    address: String,
    zone: String,
    has_model: bool,
    store: Arc<Store>,
    record: Arc<Record>,
    starts: AtomicU64,
    is_up: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    pub behaviour: Mutex<Behaviour>,
    answered: AtomicU64,
}

impl Engine {
    pub fn start(
        ip: &str,
        name: &str,
        service: &str,
        zone: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
        let address = listener.local_addr().expect("bound").to_string();
        let engine = Arc::new(Self {
            name: name.into(),
            service: service.into(),
            address,
            zone: zone.into(),
            has_model: service == "text",
            store: store.clone(),
            record: record.clone(),
            starts: AtomicU64::new(1),
            is_up: AtomicBool::new(true),
            streams: Mutex::default(),
            behaviour: Mutex::default(),
            answered: AtomicU64::new(0),
        });
        engine.store.put("servers", &engine.id(), Some(&engine.row()));
        engine.serve_on(listener);
        engine
    }

    /// Returns the identifier of the present incarnation.
    pub fn id(&self) -> String {
        format!("{}-{}", self.name, self.starts.load(Ordering::SeqCst))
    }

    fn models(&self) -> &'static str {
        match self.has_model {
            true => r#"[{"name":"m1","version":1,"adapters":[]}]"#,
            false => "[]",
        }
    }

    fn row(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold-remaining-ms\":0,\"stage\":\"both\",\"models\":{},\"sequence\":0}}",
            self.service,
            self.address,
            self.zone,
            self.models()
        )
    }

    fn serve_on(self: &Arc<Self>, listener: TcpListener) {
        let engine = self.clone();
        listener.set_nonblocking(true).expect("a listener");
        thread::spawn(move || {
            while engine.is_up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    engine.streams.lock().unwrap().push(copy);
                }
                let engine = engine.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while engine.serve(&mut connection).is_ok() {}
                    let _ = connection.stream.shutdown(Shutdown::Both);
                });
            }
        });
    }

    /// Ends with all that it runs, says nothing, and is back after a while as a new incarnation.
    pub fn crash(self: &Arc<Self>) -> bool {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return false;
        }
        let crashed = self.id();
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(DOWNTIME);
            let listener = TcpListener::bind(&engine.address).expect("its own port");
            engine.starts.fetch_add(1, Ordering::SeqCst);
            engine.is_up.store(true, Ordering::SeqCst);
            engine.serve_on(listener);
            engine.store.put("servers", &engine.id(), Some(&engine.row()));
            thread::sleep(ROW_TIME - DOWNTIME);
            engine.store.put("servers", &crashed, None);
        });
        true
    }

    fn serve(self: &Arc<Self>, connection: &mut Connection) -> io::Result<()> {
        let head = connection.head()?;
        let body = connection.body(&head)?;
        let id = self.id();
        let attempt = head.header(names::ATTEMPT_ID).unwrap_or_default().to_owned();
        let echo = format!("{ATTEMPT_ID}: {attempt}\r\n");
        let expected = head.header(names::EXPECTED_INSTANCE);
        if expected.is_some_and(|expected| expected != id) {
            let headers = format!("{echo}{NOT_EXECUTED}: 1\r\n{INSTANCE_ID}: {id}\r\n");
            return connection.answer(421, &headers, "");
        }
        match head.first[1].as_str() {
            "/health" => {
                let headers = format!("{INSTANCE_ID}: {id}\r\n");
                return connection.answer(200, &headers, "");
            }
            names::REPORT_PATH => {
                let text = format!(
                    "{{\"stage\":\"both\",\"models\":{},\"busy\":false,\"sequence\":0,\"waiting\":0,\
                     \"running\":0,\"kv-used\":0,\"kv-total\":100000,\"handles\":0}}",
                    self.models()
                );
                return connection.answer(200, "content-type: application/json\r\n", &text);
            }
            // These engines hold all that there is, so that no order is needed.
            names::ORDER_PATH => return connection.answer(400, "", ""),
            _ => {}
        }
        let model = head.header(names::MODEL);
        if self.has_model && model != Some(MODEL) {
            return connection.answer(421, &format!("{echo}{NOT_EXECUTED}: 1\r\n"), "");
        }
        self.run(connection, &head, &body, &attempt, &id)
    }

    fn run(
        self: &Arc<Self>,
        connection: &mut Connection,
        head: &Head,
        body: &[u8],
        attempt: &str,
        id: &str,
    ) -> io::Result<()> {
        let behaviour = self.behaviour.lock().unwrap().clone();
        let prompt = head.header(names::PROMPT_PREFIX).unwrap_or_default();
        let parts: BTreeSet<&str> =
            prompt.split(',').filter_map(|part| part.split(':').next()).collect();
        let is_deadly = behaviour.deadly_body.is_some_and(|deadly| deadly.as_bytes() == body)
            || behaviour.deadly_part.is_some_and(|deadly| parts.contains(deadly.as_str()));
        let at = Instant::now();
        self.record.run(Run { attempt: attempt.into(), engine: id.into(), at, is_deadly });
        thread::sleep(behaviour.work.unwrap_or(EVENT_TIME));
        if is_deadly {
            if self.crash() {
                self.record.crash(id);
            }
            return Err(io::Error::other("it crashed"));
        }
        let number = self.answered.fetch_add(1, Ordering::SeqCst);
        let signed = format!(
            "{ATTEMPT_ID}: {attempt}\r\n{RESPONSE_SIGNATURE}: {id}.{attempt}\r\n{}",
            behaviour
                .headers
                .filter(|(_, every)| number % every == 0)
                .map_or(String::new(), |(text, _)| text)
        );
        if !self.has_model {
            return connection.answer(200, &signed, &format!("the answer to {attempt}"));
        }
        let counts = head.header(names::TOKEN_COUNTS).unwrap_or("1,1");
        let events =
            counts.split(',').nth(1).and_then(|text| text.parse::<u64>().ok()).unwrap_or(1);
        let text = format!(
            "HTTP/1.1 200 OK\r\n{signed}content-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n"
        );
        connection.send(text.as_bytes())?;
        for event in 0..events {
            thread::sleep(EVENT_TIME);
            let text = format!("id: {event}\ndata: {attempt} {event}\n\n");
            connection.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        connection.send(b"0\r\n\r\n")
    }
}
