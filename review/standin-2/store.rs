//! A stand-in for the platform's metadata store: rows, transactions and feeds, as PROTOCOL.md tells them.

use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};
use crate::json::{Json, kebab, parse, quote};
use crate::names;

/// The table, the part and the key of a row.
type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    ver: u64,
    /// The value, `None` once the row is gone, and the version.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    /// The machine that last wrote a row under a condition, and the row's key.
    last_writer: Option<(usize, String)>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    /// The addresses, one for each machine, which shows who calls.
    pub addresses: Vec<String>,
    started: Instant,
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let byte = |at: usize| u32::from(three.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for sign in 0..4 {
            match sign <= three.len() {
                true => text.push(SIGNS[(bits >> (18 - 6 * sign) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

impl Store {
    pub fn start(ip: &str, machines: usize) -> Arc<Self> {
        let bind = |_| TcpListener::bind(format!("{ip}:0")).expect("a free port");
        let listeners: Vec<TcpListener> = (0..machines).map(bind).collect();
        let address = |listener: &TcpListener| listener.local_addr().expect("bound").to_string();
        let addresses = listeners.iter().map(address).collect();
        let (rows, changed) = (Mutex::default(), Condvar::new());
        let store = Arc::new(Self { rows, changed, addresses, started: Instant::now() });
        for (machine, listener) in listeners.into_iter().enumerate() {
            let shared = store.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = shared.clone();
                    thread::spawn(move || {
                        let mut connection = Connection::new(stream);
                        while store.serve(&mut connection, machine).is_ok() {}
                    });
                }
            });
        }
        store
    }

    /// Writes or removes a row as the operator or an engine does.
    pub fn put(&self, table: &str, key: &str, json: Option<&str>) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        rows.rows.insert(key, (json.map(|text| base64(text.as_bytes())), ver));
        drop(rows);
        self.changed.notify_all();
    }

    /// Returns the machine that last wrote a row under a condition, and the row's key.
    pub fn last_writer(&self) -> Option<(usize, String)> {
        self.rows.lock().unwrap().last_writer.clone()
    }

    fn serve(&self, connection: &mut Connection, from: usize) -> io::Result<()> {
        let head = connection.head()?;
        let body = connection.body(&head)?;
        let (status, text) = self.answer(&head, &body, from);
        connection.answer(status, "content-type: application/json\r\n", &text)
    }

    fn answer(&self, head: &Head, body: &[u8], from: usize) -> (u16, String) {
        let (path, query) = head.first[1].split_once('?').unwrap_or((&head.first[1], ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        thread::sleep(Duration::from_millis(4));
        match path {
            names::ROWS_GET_PATH => self.get(&query),
            names::ROWS_PARTS_PATH => self.parts(&query),
            names::ROWS_FEED_PATH => self.feed(&query),
            names::ROWS_TX_PATH => self.commit(&String::from_utf8_lossy(body), from),
            _ => (404, "{}".into()),
        }
    }

    fn tail(&self, ver: u64) -> String {
        format!("\"ver\":{ver},\"now_ms\":{}}}", self.started.elapsed().as_millis())
    }

    fn get(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, source) = (text("table"), text("part"), text("source"));
        let until = query.get("target-version");
        let limit = text("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.lock().unwrap();
        let found: Vec<_> = rows
            .rows
            .iter()
            .filter(|((t, p, key), (value, _))| {
                let is_in = *key >= source && until.is_none_or(|until| key < until);
                *t == table && *p == part && is_in && value.is_some()
            })
            .collect();
        let more = found.len() > limit;
        let found: Vec<String> =
            found.iter().take(limit).map(|(key, row)| show(key, row)).collect();
        (200, format!("{{\"rows\":[{}],\"more\":{more},{}", found.join(","), self.tail(rows.ver)))
    }

    fn parts(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let table = query.get("table").cloned().unwrap_or_default();
        let after = query.get("after");
        let rows = self.rows.lock().unwrap();
        let present =
            rows.rows.iter().filter(|((t, _, _), (value, _))| *t == table && value.is_some());
        let mut parts: Vec<String> = present.map(|((_, part, _), _)| part.clone()).collect();
        parts.dedup();
        parts.retain(|part| after.is_none_or(|after| part > after));
        let more = parts.len() > 1_000;
        let parts: Vec<String> = parts.iter().take(1_000).map(|part| quote(part)).collect();
        (200, format!("{{\"parts\":[{}],\"more\":{more},{}", parts.join(","), self.tail(rows.ver)))
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> (u16, String) {
        let table = query.get("table").cloned().unwrap_or_default();
        let number =
            |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, wait) = (number("after"), Duration::from_millis(number("wait-ms").min(30_000)));
        let until = Instant::now() + wait;
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut found: Vec<_> = rows
                .rows
                .iter()
                .filter(|((t, _, _), (_, ver))| *t == table && *ver > after)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort_by_key(|(_, (_, ver))| *ver);
                let found: Vec<String> = found.iter().map(|(key, row)| show(key, row)).collect();
                return (200, format!("{{\"rows\":[{}],{}", found.join(","), self.tail(rows.ver)));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn commit(&self, body: &str, from: usize) -> (u16, String) {
        let Some(transaction) = parse(body) else { return (400, "{}".into()) };
        let key = |entry: &Json| {
            (entry.text("table"), entry.text("part"), entry.text(&kebab("private_key")))
        };
        let conditions = transaction.list("expected-revision");
        let (put, remove) = (transaction.list("put"), transaction.list("remove"));
        if put.iter().chain(remove).any(|entry| entry.text("table") == "servers") {
            return (403, "{}".into());
        }
        let mut rows = self.rows.lock().unwrap();
        let version = |rows: &Rows, key: &Key| {
            rows.rows.get(key).filter(|(value, _)| value.is_some()).map_or(0, |(_, ver)| *ver)
        };
        if !conditions.iter().all(|entry| version(&rows, &key(entry)) == entry.number("ver")) {
            let found = conditions.iter().filter_map(|entry| {
                let key = key(entry);
                rows.rows.get(&key).map(|row| show(&key, row))
            });
            let found: Vec<String> = found.collect();
            return (412, format!("{{\"rows\":[{}],{}", found.join(","), self.tail(rows.ver)));
        }
        if !put.is_empty() || !remove.is_empty() {
            rows.ver += 1;
            let ver = rows.ver;
            for entry in put {
                rows.rows.insert(key(entry), (Some(entry.text("value")), ver));
            }
            for entry in remove {
                rows.rows.insert(key(entry), (None, ver));
            }
            if let Some(first) = put.iter().chain(remove).next().filter(|_| !conditions.is_empty())
            {
                rows.last_writer = Some((from, key(first).2));
            }
        }
        let answer = format!("{{{}", self.tail(rows.ver));
        drop(rows);
        self.changed.notify_all();
        (200, answer)
    }
}

fn show((table, part, key): &Key, (value, ver): &(Option<String>, u64)) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"gone\":true".into(),
    };
    let (table, part, key) = (quote(table), quote(part), quote(key));
    let name = kebab("private_key");
    format!("{{\"table\":{table},\"part\":{part},\"{name}\":{key},\"ver\":{ver},{rest}}}")
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: String = rest.by_ref().take(2).map(char::from).collect();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
